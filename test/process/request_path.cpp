#include "request_scene.hpp"

#include <gtest/gtest.h>

#include <string>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

// Guards against a caller that gets an answer other than the upstream's whole answer to its own request.
TEST(request_path, answer_of_the_upstream_reaches_the_caller)
{
    request_scene scene;
    scene.add_upstream();
    scene.add_entry_vm();
    const auto answer = scene.send({"r1"});
    EXPECT_EQ(answer.m_body, "done r1 40 brackets");
    EXPECT_EQ(answer.m_outcome, "answered");
    ASSERT_TRUE(answer.m_response);
    EXPECT_EQ((*answer.m_response)["X-Request-Id"], "r1");
    EXPECT_EQ((*answer.m_response)["traceparent"].size(), 55U);
}

// Guards against a caller that has to find the faults of its request one at a time, and against running such a request.
TEST(request_path, all_faults_of_a_request_are_reported_together)
{
    request_scene scene;
    scene.add_upstream();
    scene.add_entry_vm();
    const auto answer =
        scene.send({"r1", "x", {{"X-Deadline-Ms", "soon"}, {"X-Priority", "high"}, {"X-Ticket", "none"}}});
    EXPECT_EQ(answer.m_status, 400U);
    EXPECT_EQ(answer.m_outcome, "not-run");
    const auto found = nlohmann::json::parse(answer.m_body).at("findings");
    ASSERT_GE(found.size(), 3U);
    EXPECT_EQ(found[0].at("place"), "X-Deadline-Ms");
    EXPECT_EQ(found[1].at("place"), "X-Priority");
    EXPECT_EQ(found[2].at("place"), "X-Ticket");
    const auto unknown_service = scene.send({"r2", "x", {}, "/v1/services/none/requests"});
    EXPECT_EQ(unknown_service.m_status, 404U);
    EXPECT_EQ(unknown_service.m_outcome, "not-run");
    const auto large = scene.send({"r3", std::string(1'100'000, 'x')});
    EXPECT_EQ(large.m_status, 413U);
    EXPECT_EQ(large.m_outcome, "not-run");
    EXPECT_TRUE(scene.executions().empty());
}

// Guards against telling "not-run" of a request that ran: the upstream refuses most of what the entry VM sends.
TEST(request_path, not_run_was_not_run)
{
    request_scene scene;
    scene.add_upstream({"--slots", "2"});
    scene.add_upstream({"--slots", "1", "--run-ms", "60"});
    scene.add_entry_vm();
    const auto replies = scene.send_many(300, 24, {{}, {}, {{"X-Deadline-Ms", "1000"}}});
    expect_truthful(replies, scene.executions());
    EXPECT_GT(scene.control({}).at("refused").get<int>() + scene.control({}, 1).at("refused").get<int>(), 0);
    EXPECT_GT(count_outcome(replies, "answered"), 0);
    EXPECT_EQ(count_outcome(replies, "closed"), 0);
    for (const auto& [id, answer] : replies) {
        EXPECT_TRUE(answer.m_outcome != "not-run" || !(*answer.m_response)["Retry-After"].empty()) << id;
    }
}

// Guards against a connection for each request, and against more connections than slots in use.
TEST(request_path, connections_are_reused)
{
    request_scene scene;
    scene.add_upstream();
    scene.add_entry_vm();
    const auto replies = scene.send_many(100, 4);
    expect_truthful(replies, scene.executions());
    EXPECT_LE(scene.control({}).at("connections_seen").get<int>(), 8);
}

// Guards against a disconnected caller that keeps its place in the queue, or whose queued request still runs.
TEST(request_path, disconnected_caller_frees_its_place)
{
    request_scene scene;
    scene.add_upstream({"--run-ms", "400"});
    scene.add_entry_vm({"--slots", "1"});
    std::map<std::string, reply> replies;
    std::thread first{[&] {
        replies["r1"] = scene.send({"r1", "body of r1"});
    }};
    ASSERT_TRUE(scene.wait_for_executions(1));
    const auto gone = scene.send({"r2", "body of r2"}, 0, std::chrono::milliseconds{100});
    EXPECT_EQ(gone.m_outcome, "closed");
    const auto last = scene.send({"r3", "body of r3"});
    first.join();
    replies["r2"] = gone;
    replies["r3"] = last;
    EXPECT_EQ(replies["r1"].m_outcome, "answered");
    EXPECT_EQ(last.m_outcome, "answered");
    const auto executions = scene.executions();
    expect_truthful(replies, executions);
    EXPECT_FALSE(executions.contains("r2"));
}

// Guards against the slot of a running request being used again because its caller went away.
TEST(request_path, slot_of_a_running_request_stays_in_use_when_its_caller_leaves)
{
    request_scene scene;
    scene.add_upstream({"--run-ms", "300", "--slots", "4"});
    scene.add_entry_vm({"--slots", "1"});
    EXPECT_EQ(scene.send({"r1"}, 0, std::chrono::milliseconds{100}).m_outcome, "closed");
    EXPECT_EQ(scene.send({"r2"}).m_outcome, "answered");
    const auto executions = scene.executions();
    EXPECT_EQ(executions.at("r1"), 1);
    EXPECT_EQ(executions.at("r2"), 1);
    EXPECT_EQ(scene.control({}).at("most_running"), 1);
}

// Guards against a job that is sent from upstream to upstream although it can never run.
TEST(request_path, job_that_can_never_run_is_not_retried)
{
    request_scene scene;
    scene.add_upstream({"--never-runs"});
    scene.add_upstream({"--never-runs"});
    scene.add_entry_vm();
    const auto answer = scene.send({"r1", "x", {{"Idempotent", "true"}}});
    EXPECT_EQ(answer.m_outcome, "not-run");
    EXPECT_EQ(answer.m_status, 400U);
    EXPECT_EQ(scene.control({}).at("refused").get<int>() + scene.control({}, 1).at("refused").get<int>(), 1);
    EXPECT_TRUE(scene.executions().empty());
}

} // namespace
