#include "request_scene.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <string>
#include <vector>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

// Guards against a second run of an order whose caller repeats it at another entry VM.
TEST(request_orders, repeat_at_another_entry_vm_gets_the_kept_answer)
{
    request_scene scene{2};
    scene.add_upstream();
    scene.add_entry_vm();
    scene.add_entry_vm();
    const auto ticket = scene.take_ticket();
    ASSERT_FALSE(ticket.empty());
    const auto first = scene.send({"r1", "order", {{"X-Ticket", ticket}}}, 1);
    EXPECT_EQ(first.m_body, "done r1 order");
    const auto repeat = scene.send({"r2", "order", {{"X-Ticket", ticket}}}, 0);
    EXPECT_EQ(repeat.m_outcome, "answered");
    EXPECT_EQ(repeat.m_body, "done r1 order");
    EXPECT_EQ(scene.executions().size(), 1U);
}

// Guards against two runs of an order that is presented many times at once.
TEST(request_orders, concurrent_repeats_run_once)
{
    request_scene scene{2};
    scene.add_upstream({"--run-ms", "100"});
    scene.add_entry_vm();
    scene.add_entry_vm();
    const auto ticket = scene.take_ticket();
    std::vector<std::future<reply>> repeats;
    for (std::size_t number = 0; number < 16; ++number) {
        repeats.push_back(std::async(std::launch::async, [&, number] {
            return scene.send({'r' + std::to_string(number), "order", {{"X-Ticket", ticket}}}, number % 2);
        }));
    }
    std::string body;
    for (auto& repeat : repeats) {
        const auto answer = repeat.get();
        EXPECT_EQ(answer.m_outcome, "answered");
        body = body.empty() ? answer.m_body : body;
        EXPECT_EQ(answer.m_body, body);
    }
    EXPECT_EQ(scene.executions().size(), 1U);
}

// Guards against a run at another entry VM while the fate of the first presentation is not known.
TEST(request_orders, order_of_a_killed_issuer_is_unknown)
{
    request_scene scene{2};
    scene.add_upstream({"--run-ms", "500"});
    scene.add_entry_vm();
    scene.add_entry_vm();
    const call order{"r1", "order", {{"X-Ticket", scene.take_ticket()}}};
    auto first = std::async(std::launch::async, [&] { return scene.send(order); });
    ASSERT_TRUE(scene.wait_for_executions(1));
    scene.entry_vm().signal(SIGKILL);
    EXPECT_EQ(first.get().m_outcome, "closed");
    const auto repeat = scene.send(order, 1);
    EXPECT_EQ(repeat.m_outcome, "unknown");
    EXPECT_EQ(repeat.m_status, 504U);
    EXPECT_EQ(scene.executions().at("r1"), 1);
}

// Guards against an order that is lost or run again because its caller went away and came back.
TEST(request_orders, order_is_finished_without_its_caller)
{
    request_scene scene;
    scene.add_upstream({"--run-ms", "300"});
    scene.add_entry_vm();
    const call order{"r1", "order", {{"X-Ticket", scene.take_ticket()}}};
    EXPECT_EQ(scene.send(order, 0, std::chrono::milliseconds{100}).m_outcome, "closed");
    const auto repeat = scene.send(order);
    EXPECT_EQ(repeat.m_outcome, "answered");
    EXPECT_EQ(repeat.m_body, "done r1 order");
    EXPECT_EQ(scene.executions().at("r1"), 1);
}

// Guards against a run of a bare key whose claim cannot be stored.
TEST(request_orders, bare_key_without_claims_is_not_run)
{
    request_scene scene;
    scene.add_upstream();
    scene.add_entry_vm();
    const auto answer = scene.send({"r1", "order", {{"Idempotency-Key", "k1"}}});
    EXPECT_EQ(answer.m_outcome, "not-run");
    EXPECT_EQ(answer.m_status, 503U);
    EXPECT_TRUE(scene.executions().empty());
}

} // namespace
