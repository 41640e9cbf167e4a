#include "scheduler_deployment.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

class scheduler_progress : public scheduler_deployment {};

// Guards against one job whose progress the store refuses, and without which no progress of others is written: no step
// is opened, no end is acknowledged, and no worker joins the list of leases.
TEST_F(scheduler_progress, a_job_whose_progress_is_refused_does_not_hold_up_others)
{
    // The progress takes 17 bytes a task, above the limit of the platform for a value.
    constexpr std::size_t too_many_tasks{70'000};
    submit(first_job, too_many_tasks);
    ASSERT_TRUE(wait_until([] { return state_of(first_job) == "queued"; }, patience));
    submit(second_job, 2);
    EXPECT_TRUE(wait_until([] { return state_of(second_job) == "completed"; }, patience)) << state_of(second_job);
    EXPECT_EQ(state_of(first_job), "queued");
}

// Guards against a cancelled job that stays set aside.
TEST_F(scheduler_progress, a_job_whose_progress_is_refused_can_be_cancelled)
{
    constexpr std::size_t too_many_tasks{70'000};
    submit(first_job, too_many_tasks);
    ASSERT_TRUE(wait_until([] { return state_of(first_job) == "queued"; }, patience));
    // The job is set aside by the time the next one is done.
    submit(second_job, 1);
    ASSERT_TRUE(wait_until([] { return state_of(second_job) == "completed"; }, patience));
    static_cast<void>(cancel(first_job, 0));
    EXPECT_TRUE(wait_until([] { return state_of(first_job) == "cancelled"; }, patience)) << state_of(first_job);
    const auto is_stored = [] {
        const auto key = std::string{"/cicadalug/kv-key?key=progress/"} + first_job;
        return call(http::verb::get, at_port(store_port, 0), key).m_status == 200;
    };
    EXPECT_TRUE(wait_until(is_stored, patience));
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
    ASSERT_TRUE(wait_until([&] { return started_tasks(control()) >= started + 10 * concurrent_tasks; }, patience));
    ASSERT_LT(started_tasks(control()), tasks);
    const auto killed = decider();
    ASSERT_LT(killed, entry_vm_count);
    kill(killed);
    control({{"refused_keys", json::array()}, {"delays_ms", {{"/cicadalug/kv-txn", 0}}}});
    EXPECT_TRUE(wait_until([&] { return state_of(first_job, 1 - killed) == "completed"; }, patience));
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
