#include "request_fixture.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;
using std::chrono::milliseconds;

// Guards against a killed entry VM whose callers see anything but a closed connection, and against a second run.
TEST(request_faults, killed_entry_vm_closes_the_connection)
{
    request_fixture fixture;
    fixture.add_upstream({"--run-ms", "500"});
    fixture.add_entry_vm();
    client_response response;
    std::thread caller{[&] {
        response = fixture.send({"r1"});
    }};
    ASSERT_TRUE(fixture.wait_for_executions(1));
    fixture.entry_vm().signal(SIGKILL);
    caller.join();
    EXPECT_EQ(response.m_outcome, "closed");
    std::this_thread::sleep_for(milliseconds{600});
    EXPECT_EQ(fixture.executions().at("r1"), 1);
}

// Guards against an entry VM that, right after a pause, sends requests based on stale state, or that loses the requests
// received during the pause.
TEST(request_faults, paused_entry_vm_sends_nothing_new_until_its_view_is_current)
{
    request_fixture fixture;
    fixture.add_upstream({"--run-ms", "300"});
    fixture.add_entry_vm();
    std::map<std::string, client_response> responses;
    std::thread running{[&] {
        responses["r1"] = fixture.send({"r1", "body of r1"});
    }};
    ASSERT_TRUE(fixture.wait_for_executions(1));
    // A running thread goes on for a moment after the signal has been sent.
    fixture.entry_vm().stop();
    client_response late;
    std::thread waiting{[&] {
        late = fixture.send({"r2", "body of r2"});
    }};
    std::this_thread::sleep_for(milliseconds{1'500});
    fixture.entry_vm().signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds{1'500});
    EXPECT_FALSE(fixture.executions().contains("r2"));
    running.join();
    waiting.join();
    responses["r2"] = late;
    EXPECT_EQ(responses["r1"].m_outcome, "answered");
    EXPECT_EQ(late.m_outcome, "answered");
    expect_consistent_outcomes(responses, fixture.executions());
}

// Guards against reusing open connections that have become unresponsive, which would lose one request after the other.
TEST(request_faults, unresponsive_open_connections_are_discarded)
{
    request_fixture fixture;
    fixture.add_upstream();
    fixture.add_entry_vm();
    EXPECT_EQ(count_outcome(fixture.send_many(40, 8), "answered"), 40);
    fixture.control_upstream({{"silence_open", true}});
    const auto lost = fixture.send({"s1", "body of s1", {{"X-Deadline-Ms", "500"}}});
    EXPECT_EQ(lost.m_outcome, "unknown");
    EXPECT_EQ(lost.m_status, 504U);
    // One unresponsive connection causes the others to be discarded too, so only the requests in flight then are lost.
    std::map<std::string, client_response> responses;
    for (int number = 0; number < 20; ++number) {
        const auto id = 't' + std::to_string(number);
        responses[id] = fixture.send({id, "body of " + id});
    }
    EXPECT_EQ(count_outcome(responses, "answered"), 20);
    expect_consistent_outcomes(responses, fixture.executions());
    EXPECT_EQ(fixture.control_upstream({}).at("swallowed"), 1);
}

class truncated_response : public ::testing::TestWithParam<std::string> {};

// Guards against a truncated response that is forwarded as a complete one, and against reusing its connection.
TEST_P(truncated_response, is_unknown)
{
    request_fixture fixture;
    fixture.add_upstream({"--cut", GetParam()});
    fixture.add_entry_vm();
    const auto truncated = fixture.send({"r1", "body of r1", {{"X-Deadline-Ms", "2000"}}});
    EXPECT_EQ(truncated.m_outcome, "unknown");
    EXPECT_EQ(truncated.m_status, 504U);
    EXPECT_EQ(fixture.executions().at("r1"), 1);
    fixture.control_upstream({{"cut", ""}});
    EXPECT_EQ(fixture.send({"r2", "body of r2"}).m_body, "done r2 body of r2");
}

INSTANTIATE_TEST_SUITE_P(request_faults, truncated_response, ::testing::Values("length", "chunked", "close"),
                         [](const auto& test) { return test.param; });

// Guards against a caller that gets the response to another request.
TEST(request_faults, response_to_another_request_is_unknown)
{
    request_fixture fixture;
    fixture.add_upstream();
    fixture.add_entry_vm();
    EXPECT_EQ(fixture.send({"r1"}).m_outcome, "answered");
    fixture.control_upstream({{"crossed", true}});
    const auto crossed = fixture.send({"r2"});
    EXPECT_EQ(crossed.m_outcome, "unknown");
    EXPECT_EQ(crossed.m_body.find("r1 40"), std::string::npos);
    fixture.control_upstream({{"crossed", false}});
    EXPECT_EQ(fixture.send({"r3"}).m_body, "done r3 40 brackets");
}

// Guards against a late response on an idle connection that is used as the response to the next request.
TEST(request_faults, late_response_is_dropped_with_its_connection)
{
    request_fixture fixture;
    fixture.add_upstream({"--twice"});
    fixture.add_entry_vm();
    const auto responses = fixture.send_many(40, 2);
    expect_consistent_outcomes(responses, fixture.executions());
    fixture.control_upstream({{"twice", false}, {"late_ms", 400}});
    const auto late = fixture.send({"s1", "x", {{"X-Deadline-Ms", "200"}}});
    EXPECT_EQ(late.m_outcome, "unknown");
    fixture.control_upstream({{"late_ms", 0}});
    std::this_thread::sleep_for(milliseconds{400});
    EXPECT_EQ(fixture.send({"s2"}).m_body, "done s2 40 brackets");
    EXPECT_EQ(fixture.executions().at("s1"), 1);
}

// Guards against an upstream that gets more work because it fails fast.
TEST(request_faults, upstream_that_fails_everything_does_not_attract_work)
{
    request_fixture fixture;
    fixture.add_upstream({"--fail"});
    fixture.add_upstream();
    fixture.add_upstream();
    fixture.add_entry_vm();
    const auto responses = fixture.send_many(600, 12);
    EXPECT_EQ(count_outcome(responses, "answered"), 600);
    expect_consistent_outcomes(responses, fixture.executions());
    // By its slots, the share of this upstream would be a third of the requests.
    EXPECT_LT(fixture.control_upstream({}).at("executions").get<int>(), 120);
}

// Guards against an idempotent request that is abandoned although another upstream works.
TEST(request_faults, idempotent_request_is_retried_on_another_upstream)
{
    request_fixture fixture;
    fixture.add_upstream({"--cut", "length"});
    fixture.add_upstream();
    fixture.add_entry_vm();
    int answered{0};
    for (int number = 0; number < 10; ++number) {
        const auto response = fixture.send({'r' + std::to_string(number), "x", {{"Idempotent", "true"}}});
        answered += response.m_outcome == "answered" ? 1 : 0;
        EXPECT_NE(response.m_outcome, "not-run");
    }
    EXPECT_GE(answered, 9);
}

// Guards against requests that are lost while an upstream is leaving, or that the leaving upstream still runs.
TEST(request_faults, leaving_upstream_loses_no_request)
{
    request_fixture fixture;
    fixture.add_upstream();
    fixture.add_upstream();
    fixture.add_entry_vm();
    const auto before = fixture.send_many(40, 4);
    fixture.control_upstream({{"leaving", true}});
    const auto ran = fixture.control_upstream({}).at("executions").get<int>();
    client_request request_template;
    request_template.m_target = "/v1/services/quotes/requests/after";
    const auto after = fixture.send_many(40, 4, request_template);
    EXPECT_EQ(count_outcome(before, "answered"), 40);
    EXPECT_EQ(count_outcome(after, "answered"), 40);
    EXPECT_EQ(fixture.control_upstream({}).at("executions").get<int>(), ran);
}

// Guards against a graceful stop that interrupts requests: each request that ran must get its response.
TEST(request_faults, graceful_stop_under_load_cuts_nothing)
{
    request_fixture fixture;
    fixture.add_upstream({"--run-ms", "40"});
    fixture.add_upstream({"--run-ms", "40"});
    fixture.add_entry_vm({"--balancer-delay-ms", "100"});
    std::thread stop{[&] {
        EXPECT_TRUE(fixture.wait_for_executions(100));
        fixture.entry_vm().signal(SIGTERM);
    }};
    const auto responses = fixture.send_many(2'000, 32);
    stop.join();
    EXPECT_EQ(fixture.entry_vm().wait(), 0);
    const auto executions = fixture.executions();
    expect_consistent_outcomes(responses, executions);
    EXPECT_GE(count_outcome(responses, "answered"), 100);
    EXPECT_EQ(static_cast<std::size_t>(count_outcome(responses, "answered")), executions.size());
    EXPECT_EQ(count_outcome(responses, "unknown"), 0);
}

} // namespace
