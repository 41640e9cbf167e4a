#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/crash_suspicion.hpp>
#include <cicadalug/scheduler/unanswered_start.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

/** @brief Lets a start to the only worker of a pool remain without a response. @return The job. */
[[nodiscard]] auto begin_with_unanswered_start(scheduler_simulation& simulation) -> job_id
{
    simulation.begin_with("orders", 1);
    auto job = simulation.submit(make_long_running_job("orders", 1, 1));
    auto& state = simulation.m_state;
    // The first write opens the step, the second one stores the place of the run.
    simulation.dispatch_and_store(job);
    simulation.dispatch_and_store(job);
    EXPECT_EQ(state.m_starts.size(), 1U);
    apply_start_result(state, state.m_starts.front(), command_result::unknown, simulation.now() + milliseconds{800});
    state.m_starts.clear();
    return job;
}

/** @brief Applies the end of the leases at a time at which the term is guaranteed. */
auto expire_at(scheduler_state& state, const time_point now) -> void
{
    state.m_term_guaranteed_until = now + milliseconds{500};
    expire_runs(state, now);
}

} // namespace

// Guards against a second run of a task while the next incarnation of a worker carries out a start that was sent to the
// last one, whose lease has ended.
TEST(unanswered_start, a_start_without_a_response_does_not_end_with_the_lease_of_its_worker)
{
    scheduler_simulation simulation;
    const auto job = begin_with_unanswered_start(simulation);
    auto& state = simulation.m_state;
    const auto& worker = state.m_workers.front();
    const auto sent = worker.m_runs.front().m_sent;
    ASSERT_LT(lease_end(state, worker), sent + state.m_settings.m_late_start_time);
    expire_at(state, sent + state.m_settings.m_late_start_time - milliseconds{1});
    EXPECT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::starting);
    ASSERT_EQ(state.m_stops.size(), 1U) << "the next incarnation is to refuse the start";
    expire_at(state, sent + state.m_settings.m_late_start_time);
    EXPECT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::waiting);
    EXPECT_TRUE(is_suspect(*find_task(state, {job, 0, 0, 0}))) << "the start may have crashed the worker";
}

// Guards against a task that waits for as long as the next incarnation of its worker is registered and cannot be
// reached, and against a second run of the task while that incarnation may run it.
TEST(unanswered_start, a_start_without_a_response_waits_for_a_registered_incarnation_until_its_longest_lease_has_ended)
{
    scheduler_simulation simulation;
    const auto job = begin_with_unanswered_start(simulation);
    auto& state = simulation.m_state;
    const auto no_response_since = *state.m_workers.front().m_runs.front().m_no_response_since;
    auto entry = state.m_workers.front().m_entry;
    entry.m_incarnation_start_unix_ms = 1'000'000;
    register_worker(state, entry);
    const auto last_end = end_of_late_lease(state.m_settings, no_response_since);
    EXPECT_GE(last_end, no_response_since + state.m_settings.m_late_call_time + state.m_settings.m_longest_lease);
    expire_at(state, last_end - milliseconds{1});
    EXPECT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::starting);
    expire_at(state, last_end);
    EXPECT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::waiting);
}

// Guards against a second run of a task whose start is carried out by an incarnation that was registered, and is cut
// off before it has reported: its entry expires before the start can no longer arrive.
TEST(unanswered_start, a_start_without_a_response_outlasts_the_entry_of_the_next_incarnation)
{
    scheduler_simulation simulation;
    const auto job = begin_with_unanswered_start(simulation);
    auto& state = simulation.m_state;
    const auto no_response_since = *state.m_workers.front().m_runs.front().m_no_response_since;
    auto entry = state.m_workers.front().m_entry;
    entry.m_incarnation_start_unix_ms = 1'000'000;
    register_worker(state, entry);
    unregister_worker(state, entry.m_id);
    const auto last_end = end_of_late_lease(state.m_settings, no_response_since);
    expire_at(state, last_end - milliseconds{1});
    EXPECT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::starting);
    expire_at(state, last_end);
    EXPECT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::waiting);
}

// Guards against a bound that is dropped, as an older entry arrives after that of the next incarnation.
TEST(unanswered_start, a_start_without_a_response_outlasts_an_older_entry)
{
    scheduler_simulation simulation;
    const auto job = begin_with_unanswered_start(simulation);
    auto& state = simulation.m_state;
    record_term_write(state, store_revision{state.m_token.value() + 10});
    auto entry = state.m_workers.front().m_entry;
    const auto last_start = state.m_workers.front().m_incarnation_start_unix_ms;
    entry.m_incarnation_start_unix_ms = last_start;
    register_worker(state, entry);
    ++entry.m_incarnation_start_unix_ms;
    register_worker(state, entry);
    const auto last_end =
        end_of_unanswered_start(state, state.m_workers.front(), state.m_workers.front().m_runs.front());
    entry.m_incarnation_start_unix_ms = last_start;
    register_worker(state, entry);
    expire_at(state, last_end - milliseconds{1});
    EXPECT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::starting);
}

// Guards against a bound that follows from the start of the run alone: a later call to the worker extends the lease of
// all that runs there.
TEST(unanswered_start, a_start_without_a_response_outlasts_a_later_one_to_the_same_worker)
{
    scheduler_simulation simulation;
    static_cast<void>(begin_with_unanswered_start(simulation));
    auto& state = simulation.m_state;
    auto& worker = state.m_workers.front();
    auto later = worker.m_runs.front();
    ++later.m_task.m_index;
    later.m_no_response_since = *later.m_no_response_since + milliseconds{1'300};
    worker.m_runs.push_back(later);
    auto entry = worker.m_entry;
    entry.m_incarnation_start_unix_ms = 1'000'000;
    register_worker(state, entry);
    EXPECT_EQ(end_of_unanswered_start(state, worker, worker.m_runs.front()),
              end_of_late_lease(state.m_settings, *later.m_no_response_since));
}

// Guards against a second run of a task while the first one, from a start that was carried out as late as possible,
// holds the longest lease on the next incarnation, which is cut off before it has reported.
TEST(unanswered_start, a_late_start_on_the_next_incarnation_may_hold_the_longest_lease)
{
    scheduler_simulation simulation;
    const auto job = begin_with_unanswered_start(simulation);
    auto& state = simulation.m_state;
    const auto sent = state.m_workers.front().m_runs.front().m_sent;
    auto entry = state.m_workers.front().m_entry;
    entry.m_incarnation_start_unix_ms = 1'000'000;
    register_worker(state, entry);
    unregister_worker(state, entry.m_id);
    const auto& settings = state.m_settings;
    expire_at(state, sent + settings.m_late_call_time + settings.m_longest_lease - milliseconds{1});
    EXPECT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::starting);
}

// Guards against the same after the next incarnation has reported once, in response to a call with the old token.
TEST(unanswered_start, a_late_start_is_possible_after_a_report_without_the_raised_token)
{
    scheduler_simulation simulation;
    const auto job = begin_with_unanswered_start(simulation);
    auto& state = simulation.m_state;
    const auto sent = state.m_workers.front().m_runs.front().m_sent;
    worker_report report;
    report.m_incarnation_start_unix_ms = 1'000'000;
    report.m_clock_ms = 700;
    apply_report(state, 0, report, sent + milliseconds{1'400}, sent + milliseconds{1'410});
    ASSERT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::starting);
    const auto& settings = state.m_settings;
    expire_at(state, sent + settings.m_late_call_time + settings.m_longest_lease - milliseconds{1});
    EXPECT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::starting);
}

// Guards against a run that is kept as if it could start, although its worker has reported it and is lost.
TEST(unanswered_start, a_run_that_was_reported_ends_with_the_lease_of_its_worker)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    const auto job = simulation.submit(make_long_running_job("orders", 1, 1));
    simulation.run_for(milliseconds{100});
    auto& state = simulation.m_state;
    ASSERT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::running);
    expire_at(state, lease_end(state, state.m_workers.front()) + milliseconds{1});
    EXPECT_EQ(find_task(state, {job, 0, 0, 0})->m_phase, task_phase::waiting);
}

} // namespace cicadalug::test
