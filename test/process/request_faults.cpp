#include "request_scene.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;
using std::chrono::milliseconds;

// Guards against a killed entry VM whose callers are told anything but a closed connection, and against a second run.
TEST(request_faults, killed_entry_vm_closes_the_connection)
{
    request_scene scene;
    scene.add_upstream({"--run-ms", "500"});
    scene.add_entry_vm();
    reply answer;
    std::thread caller{[&] {
        answer = scene.send({"r1"});
    }};
    ASSERT_TRUE(scene.wait_for_executions(1));
    scene.entry_vm().signal(SIGKILL);
    caller.join();
    EXPECT_EQ(answer.m_outcome, "closed");
    std::this_thread::sleep_for(milliseconds{600});
    EXPECT_EQ(scene.executions().at("r1"), 1);
}

// Guards against an entry VM that sends by a stale view right after a pause, or that loses requests in it.
TEST(request_faults, paused_entry_vm_sends_nothing_new_until_its_view_is_current)
{
    request_scene scene;
    scene.add_upstream({"--run-ms", "300"});
    scene.add_entry_vm();
    std::map<std::string, reply> replies;
    std::thread running{[&] {
        replies["r1"] = scene.send({"r1", "body of r1"});
    }};
    ASSERT_TRUE(scene.wait_for_executions(1));
    scene.entry_vm().signal(SIGSTOP);
    reply late;
    std::thread waiting{[&] {
        late = scene.send({"r2", "body of r2"});
    }};
    std::this_thread::sleep_for(milliseconds{1'500});
    scene.entry_vm().signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds{1'500});
    EXPECT_FALSE(scene.executions().contains("r2"));
    running.join();
    waiting.join();
    replies["r2"] = late;
    EXPECT_EQ(replies["r1"].m_outcome, "answered");
    EXPECT_EQ(late.m_outcome, "answered");
    expect_truthful(replies, scene.executions());
}

// Guards against the reuse of connections that went silent, which would lose one request after the other.
TEST(request_faults, silent_open_connections_are_given_up)
{
    request_scene scene;
    scene.add_upstream();
    scene.add_entry_vm();
    EXPECT_EQ(count_outcome(scene.send_many(40, 8), "answered"), 40);
    scene.control({{"silence_open", true}});
    const auto lost = scene.send({"s1", "body of s1", {{"X-Deadline-Ms", "500"}}});
    EXPECT_EQ(lost.m_outcome, "unknown");
    EXPECT_EQ(lost.m_status, 504U);
    // One silent connection condemns the others, so that only requests in flight at that moment are lost.
    std::map<std::string, reply> replies;
    for (int number = 0; number < 20; ++number) {
        const auto id = 't' + std::to_string(number);
        replies[id] = scene.send({id, "body of " + id});
    }
    EXPECT_EQ(count_outcome(replies, "answered"), 20);
    expect_truthful(replies, scene.executions());
    EXPECT_EQ(scene.control({}).at("swallowed"), 1);
}

class cut_answer : public ::testing::TestWithParam<std::string> {};

// Guards against half an answer that is passed on as a whole one, and against the reuse of its connection.
TEST_P(cut_answer, is_unknown)
{
    request_scene scene;
    scene.add_upstream({"--cut", GetParam()});
    scene.add_entry_vm();
    const auto cut = scene.send({"r1", "body of r1", {{"X-Deadline-Ms", "2000"}}});
    EXPECT_EQ(cut.m_outcome, "unknown");
    EXPECT_EQ(cut.m_status, 504U);
    EXPECT_EQ(scene.executions().at("r1"), 1);
    scene.control({{"cut", ""}});
    EXPECT_EQ(scene.send({"r2", "body of r2"}).m_body, "done r2 body of r2");
}

INSTANTIATE_TEST_SUITE_P(request_faults, cut_answer, ::testing::Values("length", "chunked", "close"),
                         [](const auto& test) { return test.param; });

// Guards against a caller that gets the answer to another request.
TEST(request_faults, crossed_answer_is_unknown)
{
    request_scene scene;
    scene.add_upstream();
    scene.add_entry_vm();
    EXPECT_EQ(scene.send({"r1"}).m_outcome, "answered");
    scene.control({{"crossed", true}});
    const auto crossed = scene.send({"r2"});
    EXPECT_EQ(crossed.m_outcome, "unknown");
    EXPECT_EQ(crossed.m_body.find("r1 40"), std::string::npos);
    scene.control({{"crossed", false}});
    EXPECT_EQ(scene.send({"r3"}).m_body, "done r3 40 brackets");
}

// Guards against a late answer on an idle connection that is taken for the answer to the next request.
TEST(request_faults, late_answer_is_dropped_with_its_connection)
{
    request_scene scene;
    scene.add_upstream({"--twice"});
    scene.add_entry_vm();
    const auto replies = scene.send_many(40, 2);
    expect_truthful(replies, scene.executions());
    scene.control({{"twice", false}, {"late_ms", 400}});
    const auto late = scene.send({"s1", "x", {{"X-Deadline-Ms", "200"}}});
    EXPECT_EQ(late.m_outcome, "unknown");
    scene.control({{"late_ms", 0}});
    std::this_thread::sleep_for(milliseconds{400});
    EXPECT_EQ(scene.send({"s2"}).m_body, "done s2 40 brackets");
    EXPECT_EQ(scene.executions().at("s1"), 1);
}

// Guards against an upstream that attracts work because it fails fast.
TEST(request_faults, upstream_that_fails_everything_does_not_attract_work)
{
    request_scene scene;
    scene.add_upstream({"--fail"});
    scene.add_upstream();
    scene.add_upstream();
    scene.add_entry_vm();
    const auto replies = scene.send_many(600, 12);
    EXPECT_EQ(count_outcome(replies, "answered"), 600);
    expect_truthful(replies, scene.executions());
    // A third of the work would be its share by slots.
    EXPECT_LT(scene.control({}).at("executions").get<int>(), 120);
}

// Guards against an idempotent request that is given up although another upstream works.
TEST(request_faults, idempotent_request_is_retried_elsewhere)
{
    request_scene scene;
    scene.add_upstream({"--cut", "length"});
    scene.add_upstream();
    scene.add_entry_vm();
    int answered{0};
    for (int number = 0; number < 10; ++number) {
        const auto answer = scene.send({'r' + std::to_string(number), "x", {{"Idempotent", "true"}}});
        answered += answer.m_outcome == "answered" ? 1 : 0;
        EXPECT_NE(answer.m_outcome, "not-run");
    }
    EXPECT_GE(answered, 9);
}

// Guards against requests that are lost, or run by an upstream that is leaving.
TEST(request_faults, leaving_upstream_loses_no_request)
{
    request_scene scene;
    scene.add_upstream();
    scene.add_upstream();
    scene.add_entry_vm();
    const auto before = scene.send_many(40, 4);
    scene.control({{"leaving", true}});
    const auto ran = scene.control({}).at("executions").get<int>();
    call sample;
    sample.m_target = "/v1/services/quotes/requests/after";
    const auto after = scene.send_many(40, 4, sample);
    EXPECT_EQ(count_outcome(before, "answered"), 40);
    EXPECT_EQ(count_outcome(after, "answered"), 40);
    EXPECT_EQ(scene.control({}).at("executions").get<int>(), ran);
}

// Guards against a graceful stop that cuts requests: a request that ran has its answer.
TEST(request_faults, graceful_stop_under_load_cuts_nothing)
{
    request_scene scene;
    scene.add_upstream({"--run-ms", "40"});
    scene.add_upstream({"--run-ms", "40"});
    scene.add_entry_vm({"--balancer-delay-ms", "100"});
    std::thread stop{[&] {
        EXPECT_TRUE(scene.wait_for_executions(100));
        scene.entry_vm().signal(SIGTERM);
    }};
    const auto replies = scene.send_many(2'000, 32);
    stop.join();
    EXPECT_EQ(scene.entry_vm().wait(), 0);
    const auto executions = scene.executions();
    expect_truthful(replies, executions);
    EXPECT_GE(count_outcome(replies, "answered"), 100);
    EXPECT_EQ(static_cast<std::size_t>(count_outcome(replies, "answered")), executions.size());
    EXPECT_EQ(count_outcome(replies, "unknown"), 0);
}

} // namespace
