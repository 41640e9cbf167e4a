#include "request_fixture.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <string>
#include <vector>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

// Guards against a second run of an order that its caller repeats at another entry VM.
TEST(request_orders, repeat_at_another_entry_vm_gets_the_stored_response)
{
    request_fixture fixture{2};
    fixture.add_upstream();
    fixture.add_entry_vm();
    fixture.add_entry_vm();
    const auto ticket = fixture.request_ticket();
    ASSERT_FALSE(ticket.empty());
    const auto first = fixture.send({"r1", "order", {{"X-Ticket", ticket}}}, 1);
    EXPECT_EQ(first.m_body, "done r1 order");
    const auto repeat = fixture.send({"r2", "order", {{"X-Ticket", ticket}}}, 0);
    EXPECT_EQ(repeat.m_outcome, "answered");
    EXPECT_EQ(repeat.m_body, "done r1 order");
    EXPECT_EQ(fixture.executions().size(), 1U);
}

// Guards against two runs of an order that is sent many times concurrently.
TEST(request_orders, concurrent_repeats_run_once)
{
    request_fixture fixture{2};
    fixture.add_upstream({"--run-ms", "100"});
    fixture.add_entry_vm();
    fixture.add_entry_vm();
    const auto ticket = fixture.request_ticket();
    std::vector<std::future<client_response>> repeats;
    for (std::size_t number = 0; number < 16; ++number) {
        repeats.push_back(std::async(std::launch::async, [&, number] {
            return fixture.send({'r' + std::to_string(number), "order", {{"X-Ticket", ticket}}}, number % 2);
        }));
    }
    std::string body;
    for (auto& repeat : repeats) {
        const auto response = repeat.get();
        EXPECT_EQ(response.m_outcome, "answered");
        body = body.empty() ? response.m_body : body;
        EXPECT_EQ(response.m_body, body);
    }
    EXPECT_EQ(fixture.executions().size(), 1U);
}

// Guards against running an order at another entry VM while the outcome of its first attempt is not known.
TEST(request_orders, order_of_a_killed_issuer_is_unknown)
{
    request_fixture fixture{2};
    fixture.add_upstream({"--run-ms", "500"});
    fixture.add_entry_vm();
    fixture.add_entry_vm();
    const client_request order{"r1", "order", {{"X-Ticket", fixture.request_ticket()}}};
    auto first = std::async(std::launch::async, [&] { return fixture.send(order); });
    ASSERT_TRUE(fixture.wait_for_executions(1));
    fixture.entry_vm().signal(SIGKILL);
    EXPECT_EQ(first.get().m_outcome, "closed");
    const auto repeat = fixture.send(order, 1);
    EXPECT_EQ(repeat.m_outcome, "unknown");
    EXPECT_EQ(repeat.m_status, 504U);
    EXPECT_EQ(fixture.executions().at("r1"), 1);
}

// Guards against an order that is lost or run again because its caller disconnected and reconnected.
TEST(request_orders, order_is_finished_without_its_caller)
{
    request_fixture fixture;
    fixture.add_upstream({"--run-ms", "300"});
    fixture.add_entry_vm();
    const client_request order{"r1", "order", {{"X-Ticket", fixture.request_ticket()}}};
    EXPECT_EQ(fixture.send(order, 0, std::chrono::milliseconds{100}).m_outcome, "closed");
    const auto repeat = fixture.send(order);
    EXPECT_EQ(repeat.m_outcome, "answered");
    EXPECT_EQ(repeat.m_body, "done r1 order");
    EXPECT_EQ(fixture.executions().at("r1"), 1);
}

// Guards against running an order that has an idempotency key but no ticket when its claim cannot be stored.
TEST(request_orders, bare_key_without_claims_is_not_run)
{
    request_fixture fixture;
    fixture.add_upstream();
    fixture.add_entry_vm();
    const auto response = fixture.send({"r1", "order", {{"Idempotency-Key", "k1"}}});
    EXPECT_EQ(response.m_outcome, "not-run");
    EXPECT_EQ(response.m_status, 503U);
    EXPECT_TRUE(fixture.executions().empty());
}

} // namespace
