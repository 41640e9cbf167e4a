#include "request_fixture.hpp"

#include <gtest/gtest.h>

#include <string>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

// Guards against a caller that gets anything but the upstream's complete response to its own request.
TEST(request_path, response_of_the_upstream_reaches_the_caller)
{
    request_fixture fixture;
    fixture.add_upstream();
    fixture.add_entry_vm();
    const auto response = fixture.send({"r1"});
    EXPECT_EQ(response.m_body, "done r1 40 brackets");
    EXPECT_EQ(response.m_outcome, "answered");
    ASSERT_TRUE(response.m_response);
    EXPECT_EQ((*response.m_response)["X-Request-Id"], "r1");
    EXPECT_EQ((*response.m_response)["traceparent"].size(), 55U);
}

// Guards against reporting the errors of a request one at a time, and against running a request that has errors.
TEST(request_path, all_errors_of_a_request_are_reported_together)
{
    request_fixture fixture;
    fixture.add_upstream();
    fixture.add_entry_vm();
    const auto response =
        fixture.send({"r1", "x", {{"X-Deadline-Ms", "soon"}, {"X-Priority", "high"}, {"X-Ticket", "none"}}});
    EXPECT_EQ(response.m_status, 400U);
    EXPECT_EQ(response.m_outcome, "not-run");
    const auto errors = nlohmann::json::parse(response.m_body).at("findings");
    ASSERT_GE(errors.size(), 3U);
    EXPECT_EQ(errors[0].at("place"), "X-Deadline-Ms");
    EXPECT_EQ(errors[1].at("place"), "X-Priority");
    EXPECT_EQ(errors[2].at("place"), "X-Ticket");
    const auto unknown_service = fixture.send({"r2", "x", {}, "/v1/services/none/requests"});
    EXPECT_EQ(unknown_service.m_status, 404U);
    EXPECT_EQ(unknown_service.m_outcome, "not-run");
    const auto large = fixture.send({"r3", std::string(1'100'000, 'x')});
    EXPECT_EQ(large.m_status, 413U);
    EXPECT_EQ(large.m_outcome, "not-run");
    EXPECT_TRUE(fixture.executions().empty());
}

// Guards against the outcome "not-run" for a request that ran. The upstreams refuse most of what the entry VM sends.
TEST(request_path, requests_reported_not_run_did_not_run)
{
    request_fixture fixture;
    fixture.add_upstream({"--slots", "2"});
    fixture.add_upstream({"--slots", "1", "--run-ms", "60"});
    fixture.add_entry_vm();
    const auto responses = fixture.send_many(300, 24, {{}, {}, {{"X-Deadline-Ms", "1000"}}});
    expect_consistent_outcomes(responses, fixture.executions());
    EXPECT_GT(fixture.control_upstream({}).at("refused").get<int>() +
                  fixture.control_upstream({}, 1).at("refused").get<int>(),
              0);
    EXPECT_GT(count_outcome(responses, "answered"), 0);
    EXPECT_EQ(count_outcome(responses, "closed"), 0);
    for (const auto& [id, response] : responses) {
        EXPECT_TRUE(response.m_outcome != "not-run" || !(*response.m_response)["Retry-After"].empty()) << id;
    }
}

// Guards against opening a connection for each request, and against more connections than slots in use.
TEST(request_path, connections_are_reused)
{
    request_fixture fixture;
    fixture.add_upstream();
    fixture.add_entry_vm();
    const auto responses = fixture.send_many(100, 4);
    expect_consistent_outcomes(responses, fixture.executions());
    EXPECT_LE(fixture.control_upstream({}).at("connections_seen").get<int>(), 8);
}

// Guards against a disconnected caller whose request stays in the queue or still runs.
TEST(request_path, disconnected_caller_frees_its_queue_entry)
{
    request_fixture fixture;
    fixture.add_upstream({"--run-ms", "400"});
    fixture.add_entry_vm({"--slots", "1"});
    std::map<std::string, client_response> responses;
    std::thread first{[&] {
        responses["r1"] = fixture.send({"r1", "body of r1"});
    }};
    ASSERT_TRUE(fixture.wait_for_executions(1));
    const auto disconnected = fixture.send({"r2", "body of r2"}, 0, std::chrono::milliseconds{100});
    EXPECT_EQ(disconnected.m_outcome, "closed");
    const auto last = fixture.send({"r3", "body of r3"});
    first.join();
    responses["r2"] = disconnected;
    responses["r3"] = last;
    EXPECT_EQ(responses["r1"].m_outcome, "answered");
    EXPECT_EQ(last.m_outcome, "answered");
    const auto executions = fixture.executions();
    expect_consistent_outcomes(responses, executions);
    EXPECT_FALSE(executions.contains("r2"));
}

// Guards against reusing the slot of a running request because its caller disconnected.
TEST(request_path, slot_of_a_running_request_stays_in_use_when_its_caller_leaves)
{
    request_fixture fixture;
    fixture.add_upstream({"--run-ms", "300", "--slots", "4"});
    fixture.add_entry_vm({"--slots", "1"});
    EXPECT_EQ(fixture.send({"r1"}, 0, std::chrono::milliseconds{100}).m_outcome, "closed");
    EXPECT_EQ(fixture.send({"r2"}).m_outcome, "answered");
    const auto executions = fixture.executions();
    EXPECT_EQ(executions.at("r1"), 1);
    EXPECT_EQ(executions.at("r2"), 1);
    EXPECT_EQ(fixture.control_upstream({}).at("most_running"), 1);
}

// Guards against retrying a job at one upstream after the other although it can never run.
TEST(request_path, job_that_can_never_run_is_not_retried)
{
    request_fixture fixture;
    fixture.add_upstream({"--never-runs"});
    fixture.add_upstream({"--never-runs"});
    fixture.add_entry_vm();
    const auto response = fixture.send({"r1", "x", {{"Idempotent", "true"}}});
    EXPECT_EQ(response.m_outcome, "not-run");
    EXPECT_EQ(response.m_status, 400U);
    EXPECT_EQ(fixture.control_upstream({}).at("refused").get<int>() +
                  fixture.control_upstream({}, 1).at("refused").get<int>(),
              1);
    EXPECT_TRUE(fixture.executions().empty());
}

} // namespace
