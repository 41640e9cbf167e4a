#include "scheduler_deployment.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

class scheduler_cancel : public scheduler_deployment {};

// Guards against a stop that is not sent and against waiting tasks that start on the workers that become free.
TEST_F(scheduler_cancel, a_cancelled_job_is_stopped_and_starts_nothing)
{
    control({{"run_ms", 60'000}});
    submit(first_job, 4 * concurrent_tasks);
    wait_until_workers_are_full();
    const auto acknowledged = cancel(first_job, 1);
    EXPECT_TRUE(wait_until([this] { return control()["running"] == 0; }, cancel_bound + stop_grace));
    std::this_thread::sleep_for(cancel_bound + stop_grace);
    const auto seen = control();
    EXPECT_GE(seen["stops"].size(), concurrent_tasks);
    EXPECT_EQ(seen["running"], 0);
    expect_no_late_start(seen, acknowledged);
    EXPECT_EQ(state_of(first_job), "cancelled");
}

// Guards against a scheduler that does not resume after its copy of the jobs was out of date.
TEST_F(scheduler_cancel, tasks_start_again_when_the_watch_of_jobs_is_back)
{
    constexpr milliseconds silence{5'000};
    submit(first_job, 5 * concurrent_tasks);
    wait_until_workers_are_full();
    control({{"silent_watch", "job/"}});
    submit(second_job, concurrent_tasks);
    std::this_thread::sleep_for(silence);
    control({{"silent_watch", ""}});
    EXPECT_TRUE(
        wait_until([] { return state_of(first_job) == "completed" && state_of(second_job) == "completed"; }, patience));
    EXPECT_EQ(started_tasks(control()), 6 * concurrent_tasks);
}

// Guards against tasks that a decider starts by an outdated copy of the jobs, because its watch gets no responses.
TEST_F(scheduler_cancel, no_task_starts_long_after_the_cancel_when_the_watch_of_jobs_is_silent)
{
    constexpr std::size_t tasks{10 * concurrent_tasks};
    submit(first_job, tasks);
    wait_until_workers_are_full();
    const auto current = decider();
    ASSERT_LT(current, entry_vm_count);
    control({{"silent_watch", "job/"}});
    const auto acknowledged = cancel(first_job, 1 - current);
    std::this_thread::sleep_for(observed_time);
    const auto seen = control();
    expect_no_late_start(seen, acknowledged);
    EXPECT_LT(started_tasks(seen), tasks) << "no task was left to start at the end";
}

// Guards against tasks that a new decider starts by a list of the jobs that is older than the cancellation.
TEST_F(scheduler_cancel, no_task_starts_long_after_a_cancel_during_a_takeover_with_slow_lists)
{
    constexpr std::size_t tasks{10 * concurrent_tasks};
    constexpr int list_delay_ms{450};
    submit(first_job, tasks);
    wait_until_workers_are_full();
    const auto lists_of_jobs = [this] {
        return control()["lists"].value("job/", 0);
    };
    const auto killed = decider();
    ASSERT_LT(killed, entry_vm_count);
    control({{"silent_watch", "job/"}, {"delays_ms", {{"/cicadalug/kv-range", list_delay_ms}}}});
    kill(killed);
    const auto lists_before = lists_of_jobs();
    ASSERT_TRUE(wait_until([&] { return lists_of_jobs() > lists_before; }, patience));
    const auto survivor = 1 - killed;
    const auto acknowledged = cancel(first_job, survivor);
    std::this_thread::sleep_for(observed_time);
    const auto seen = control();
    expect_no_late_start(seen, acknowledged);
    EXPECT_EQ(decider(), survivor);
    EXPECT_LT(started_tasks(seen), tasks) << "no task was left to start at the end";
}

// Guards against workers that carry out a start seconds after it was sent, although its job was cancelled meanwhile.
TEST_F(scheduler_cancel, no_task_starts_on_workers_that_carry_out_a_start_two_seconds_late)
{
    constexpr milliseconds command_delay{2'000};
    control({{"command_delay_ms", command_delay.count()}});
    submit(first_job, concurrent_tasks);
    ASSERT_TRUE(wait_until([this] { return control()["held"].get<std::size_t>() >= concurrent_tasks; }, patience));
    static_cast<void>(cancel(first_job, 1));
    std::this_thread::sleep_for(command_delay + stop_grace);
    control({{"command_delay_ms", 0}});
    EXPECT_EQ(control()["starts"].size(), 0U);
    submit(second_job, concurrent_tasks);
    EXPECT_TRUE(wait_until([] { return state_of(second_job) == "completed"; }, patience));
}

// Guards against tasks that a decider starts by an old copy of the jobs, which it takes for a recent one, because each
// response to its watch has only a part of the changes that were stored before.
TEST_F(scheduler_cancel, no_task_starts_long_after_the_cancel_when_a_watch_returns_a_part_of_the_changes)
{
    constexpr std::size_t tasks{10 * concurrent_tasks};
    constexpr int other_jobs{20};
    constexpr int delay_ms{300};
    submit(first_job, tasks);
    wait_until_workers_are_full();
    control({{"partial_watch", {{"prefix", "job/"}, {"changes", 1}, {"delay_ms", delay_ms}}}});
    for (int number = 0; number < other_jobs; ++number) {
        submit("00000000000000" + std::to_string(10 + number), 1);
    }
    const auto acknowledged = cancel(first_job, 1);
    std::this_thread::sleep_for(observed_time);
    const auto seen = control();
    expect_no_late_start(seen, acknowledged, first_job);
    control({{"partial_watch", {{"prefix", ""}}}});
    EXPECT_TRUE(wait_until([] { return state_of("0000000000000029") == "completed"; }, patience))
        << "tasks do not start again after the copy has caught up";
    EXPECT_LT(started_tasks(seen), tasks) << "no task was left to start at the end";
}

// Guards against tasks that a decider starts by an old copy of the jobs, because its watch ends without the changes
// that were stored before.
TEST_F(scheduler_cancel, no_task_starts_long_after_the_cancel_when_a_watch_returns_no_changes)
{
    constexpr std::size_t tasks{10 * concurrent_tasks};
    submit(first_job, tasks);
    wait_until_workers_are_full();
    control({{"blind_watch", "job/"}});
    const auto acknowledged = cancel(first_job, 1);
    std::this_thread::sleep_for(observed_time);
    const auto seen = control();
    expect_no_late_start(seen, acknowledged, first_job);
    EXPECT_LT(started_tasks(seen), tasks) << "no task was left to start at the end";
    control({{"blind_watch", ""}});
    submit(second_job, concurrent_tasks);
    EXPECT_TRUE(wait_until([] { return state_of(second_job) == "completed"; }, patience));
}

// Guards against a decider that takes complete responses for partial ones, and starts nothing, while each response has
// few changes and nothing else is written to the store.
TEST_F(scheduler_cancel, tasks_start_when_each_response_of_a_watch_has_one_change)
{
    control({{"partial_watch", {{"prefix", "job/"}, {"changes", 1}, {"delay_ms", 0}}}, {"run_ms", 50}});
    for (int number = 0; number < 20; ++number) {
        submit("00000000000000" + std::to_string(10 + number), 1);
    }
    EXPECT_TRUE(wait_until([] { return state_of("0000000000000029") == "completed"; }, milliseconds{3'000}));
}

// Guards against starts that wait for a connection to their worker and are sent although their job was cancelled.
TEST_F(scheduler_cancel, no_start_that_waits_for_a_connection_is_sent_after_the_cancel)
{
    constexpr std::size_t connections{4};
    constexpr int small_task_cpu{100};
    control({{"command_delay_ms", 3'000}});
    submit(first_job, connections, small_task_cpu);
    ASSERT_TRUE(wait_until([this] { return control()["held"].get<std::size_t>() >= connections; }, patience));
    const auto current = decider();
    ASSERT_LT(current, entry_vm_count);
    const auto sent = [current] {
        return metric(current, "cicadalug_scheduler_starts_total");
    };
    const auto before = sent();
    // All tasks fit on the first worker, whose connections are in use until the first starts time out.
    std::this_thread::sleep_for(milliseconds{300});
    submit(second_job, connections, small_task_cpu);
    ASSERT_TRUE(wait_until([&] { return sent() > before; }, patience));
    static_cast<void>(cancel(second_job, current));
    std::this_thread::sleep_for(observed_time / 3);
    std::size_t sent_starts{0};
    const auto seen = control();
    for (const auto& task : seen["held_starts"]) {
        sent_starts += task.get<std::string>().starts_with(second_job) ? 1U : 0U;
    }
    EXPECT_EQ(sent_starts, 0U) << "starts of the cancelled job were sent to a worker";
}

} // namespace
