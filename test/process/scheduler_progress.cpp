#include "scheduler_deployment.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

class scheduler_progress : public scheduler_deployment {
protected:
    using scheduler_deployment::scheduler_deployment;

    [[nodiscard]] static auto is_stored(const std::string& key) -> bool
    {
        return call(http::verb::get, at_port(store_port, 0), "/cicadalug/kv-key?key=" + key).m_status == 200;
    }
};

/** @brief A deployment whose store takes small values only. */
class scheduler_progress_parts : public scheduler_progress {
protected:
    scheduler_progress_parts() : scheduler_progress{1.0, 4'096} {}
};

// Guards against one job whose progress the store refuses, and without which no progress of others is written: no step
// is opened, no end is acknowledged, and no worker joins the list of leases.
TEST_F(scheduler_progress, a_job_whose_progress_is_refused_does_not_hold_up_others)
{
    control({{"refused_keys", {std::string{"progress/"} + first_job}}});
    submit(first_job, 2);
    ASSERT_TRUE(wait_until([] { return state_of(first_job) == "queued"; }, patience));
    submit(second_job, 2);
    EXPECT_TRUE(wait_until([] { return state_of(second_job) == "completed"; }, patience)) << state_of(second_job);
    EXPECT_TRUE(wait_until([this] { return control()["acknowledged_tasks"] == 2; }, patience));
    EXPECT_EQ(state_of(first_job), "queued");
}

// Guards against a cancelled job that stays set aside.
TEST_F(scheduler_progress, a_job_whose_progress_is_refused_can_be_cancelled)
{
    const auto key = std::string{"progress/"} + first_job;
    control({{"refused_keys", {key}}});
    submit(first_job, 2);
    ASSERT_TRUE(wait_until([] { return state_of(first_job) == "queued"; }, patience));
    // The job is set aside by the time the next one is done.
    submit(second_job, 1);
    ASSERT_TRUE(wait_until([] { return state_of(second_job) == "completed"; }, patience));
    static_cast<void>(cancel(first_job, 0));
    EXPECT_TRUE(wait_until([] { return state_of(first_job) == "cancelled"; }, patience)) << state_of(first_job);
    control({{"refused_keys", json::array()}});
    EXPECT_TRUE(wait_until([&key] { return is_stored(key); }, patience));
}

// Guards against an accepted job that never starts, as the store refuses its progress: 17 bytes a task exceed the limit
// for a value.
TEST_F(scheduler_progress, a_job_with_many_tasks_is_stored)
{
    constexpr std::size_t tasks{70'000};
    control({{"run_ms", 50}});
    submit(first_job, tasks);
    ASSERT_TRUE(wait_until([this] { return control()["acknowledged_tasks"] > 20; }, patience));
    const auto killed = decider();
    ASSERT_LT(killed, entry_vm_count);
    kill(killed);
    const auto acknowledged = control()["acknowledged_tasks"].get<std::size_t>();
    EXPECT_TRUE(wait_until([&] { return control()["acknowledged_tasks"] > acknowledged + 20; }, patience));
    EXPECT_EQ(control()["repeated_tasks"], 0);
    EXPECT_EQ(control()["doubled_runs"], 0);
}

// Guards against a job that is accepted although the store cannot hold it, and against one that is refused late.
TEST_F(scheduler_progress, a_job_that_cannot_be_stored_is_refused_at_once)
{
    constexpr std::size_t steps{8'000};
    json body{{"spec", "sort waggons"}, {"steps", json::array()}};
    for (std::size_t step = 0; step < steps; ++step) {
        body["steps"].push_back({{"count", 1}, {"cpu", task_cpu}});
    }
    const auto sent = std::chrono::steady_clock::now();
    const auto refused = call(http::verb::post, client_address(0), path_of(first_job), body);
    EXPECT_LT(std::chrono::steady_clock::now() - sent, milliseconds{2'000});
    EXPECT_EQ(refused.m_status, 400U);
    EXPECT_NE(refused.m_body.dump().find("bytes in the store"), std::string::npos) << refused.m_body.dump();
    EXPECT_EQ(call(http::verb::get, client_address(0), path_of(first_job)).m_status, 410U);
}

// Guards against a job that the store refuses and that is not accepted only after the time limit of its client,
// together with all jobs that come at the same time.
TEST_F(scheduler_progress, a_job_that_the_store_refuses_does_not_hold_up_others)
{
    control({{"refused_keys", {std::string{"job/"} + first_job}}});
    const json step{{"count", 1}, {"cpu", task_cpu}, {"mem_mb", 64}, {"est_runtime_ms", 1'000}};
    const json body{{"spec", "sort waggons"}, {"steps", json::array({step})}};
    unsigned refused{0};
    std::thread client{[&] {
        refused = call(http::verb::post, client_address(0), path_of(first_job), body).m_status;
    }};
    const auto accepted = call(http::verb::post, client_address(0), path_of(second_job), body).m_status;
    client.join();
    EXPECT_EQ(refused, 400U);
    EXPECT_EQ(accepted, 200U);
}

// Guards against done tasks that a successor starts again: their ends are acknowledged although the store refuses the
// progress of their job, which changes during each write.
TEST_F(scheduler_progress, ends_of_a_job_whose_progress_is_refused_are_not_acknowledged)
{
    constexpr std::size_t tasks{300};
    control({{"run_ms", 60}});
    submit(first_job, tasks);
    ASSERT_TRUE(wait_until([this] { return control()["acknowledged_tasks"] > 0; }, patience));
    // The job changes while the store has not responded.
    control({{"refused_keys", {std::string{"progress/"} + first_job}}, {"delays_ms", {{"/cicadalug/kv-txn", 100}}}});
    const auto started = started_tasks(control());
    // Either the job goes on, or nothing runs for longer than between two of its steps.
    auto last_run = std::chrono::steady_clock::now();
    const auto has_changed = [&] {
        const auto seen = control();
        const auto now = std::chrono::steady_clock::now();
        last_run = seen["running"] == 0 ? last_run : now;
        return started_tasks(seen) >= started + 10 * concurrent_tasks || now - last_run > milliseconds{1'500};
    };
    ASSERT_TRUE(wait_until(has_changed, patience));
    ASSERT_LT(started_tasks(control()), tasks);
    const auto killed = decider();
    ASSERT_LT(killed, entry_vm_count);
    kill(killed);
    control({{"refused_keys", json::array()}, {"delays_ms", {{"/cicadalug/kv-txn", 0}}}});
    EXPECT_TRUE(wait_until([&] { return state_of(first_job, 1 - killed) == "completed"; }, patience));
    EXPECT_EQ(control()["repeated_tasks"], 0);
    EXPECT_EQ(control()["doubled_runs"], 0);
}

// Guards against a successor that reads the progress of a job in part: it takes several values of the store.
TEST_F(scheduler_progress_parts, progress_in_several_values_survives_a_takeover)
{
    constexpr std::size_t tasks{36};
    control({{"run_ms", 1'100}, {"checkpoint_bytes", 3'000}});
    submit(first_job, tasks);
    const auto further = std::string{"progress/"} + first_job + "/1";
    // Tasks of different run times, so that some run while the ends of others are stored.
    int run_ms{1'100};
    const auto has_parts = [&] {
        run_ms = run_ms == 1'100 ? 1'700 : 1'100;
        return control({{"run_ms", run_ms}})["acknowledged_tasks"] > 6 && is_stored(further);
    };
    ASSERT_TRUE(wait_until(has_parts, patience));
    const auto killed = decider();
    ASSERT_LT(killed, entry_vm_count);
    kill(killed);
    control({{"run_ms", 100}});
    EXPECT_TRUE(wait_until([&] { return state_of(first_job, 1 - killed) == "completed"; }, 2 * patience));
    EXPECT_EQ(control()["repeated_tasks"], 0);
    EXPECT_EQ(control()["doubled_runs"], 0);
}

// Guards against a task that waits for as long as workers respond to renewals, but to no start and no stop.
TEST_F(scheduler_progress, a_task_is_started_again_when_neither_its_start_nor_its_stop_is_answered)
{
    control({{"command_delay_ms", 60'000}, {"run_ms", 3'000}});
    submit(first_job, 1);
    EXPECT_TRUE(wait_until([this] { return control()["held_starts"].size() >= 3; }, patience))
        << control()["held_starts"].size();
    control({{"command_delay_ms", 0}});
    EXPECT_TRUE(wait_until([] { return state_of(first_job) == "completed"; }, patience)) << state_of(first_job);
    EXPECT_EQ(control()["doubled_runs"], 0);
    EXPECT_EQ(control()["starts"].size(), 1U);
}

} // namespace
