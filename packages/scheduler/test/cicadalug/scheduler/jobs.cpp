#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/jobs.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <random>
#include <string>

namespace cicadalug::test {

// Guards against a log line that gives a cancelled job fewer runs than are still to be stopped.
TEST(jobs, runs_occupy_workers_until_they_have_ended)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    const auto cancelled = simulation.submit(make_job("quotes", 3, 1'000, milliseconds{5'000}));
    const auto other = simulation.submit(make_job("quotes", 2, 1'000, milliseconds{5'000}));
    simulation.run_for(milliseconds{300});
    const auto before = occupying_runs_of(simulation.m_state, cancelled);
    EXPECT_EQ(before.m_count, 3U);
    ASSERT_TRUE(before.m_last_start);
    EXPECT_LE(*before.m_last_start, simulation.now());
    EXPECT_GE(*before.m_last_start, simulation.now() - milliseconds{300});
    cancel_job(simulation.m_state, cancelled, simulation.now());
    EXPECT_EQ(occupying_runs_of(simulation.m_state, cancelled).m_count, 3U) << "the stops have not been sent yet";
    simulation.run_for(milliseconds{2'000});
    EXPECT_EQ(occupying_runs_of(simulation.m_state, cancelled).m_count, 0U);
    EXPECT_EQ(occupying_runs_of(simulation.m_state, other).m_count, 2U);
}

// Guards against a run of the previous decider that is logged as a start of this one.
TEST(jobs, an_adopted_run_has_no_time_of_its_start)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    const auto job = simulation.submit(make_job("quotes", 1, 1'000, milliseconds{5'000}));
    simulation.run_for(milliseconds{300});
    simulation.take_over();
    simulation.run_for(milliseconds{300});
    const auto runs = occupying_runs_of(simulation.m_state, job);
    EXPECT_EQ(runs.m_count, 1U);
    EXPECT_FALSE(runs.m_last_start);
}

// Guards against a cancellation that is dropped because it was read before its job, which would then run.
TEST(jobs, a_job_whose_cancellation_came_first_never_starts)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto record = make_job("quotes", 1, 1'000, milliseconds{500});
    record.m_id = job_id{"00000000000000aa"};
    cancel_job(simulation.m_state, record.m_id, simulation.now());
    EXPECT_EQ(find_job(simulation.m_state, record.m_id), nullptr);
    EXPECT_EQ(pending_jobs(simulation.m_state, record.m_policy.m_queue), 0);
    const auto id = record.m_id;
    add_job(simulation.m_state, std::move(record), std::nullopt, false, {simulation.now(), 0});
    ASSERT_NE(find_job(simulation.m_state, id), nullptr);
    EXPECT_EQ(find_job(simulation.m_state, id)->m_state, job_state::cancelled);
    EXPECT_TRUE(find_job(simulation.m_state, id)->m_dirty) << "the state is stored";
    simulation.run_for(milliseconds{1'000});
    EXPECT_EQ(occupying_runs_of(simulation.m_state, id).m_count, 0U);
    EXPECT_TRUE(simulation.m_state.m_early_cancels.empty());
}

// Guards against cancellations of jobs that never come, which would stay in the store for good, and against those that
// are removed while the job may still come.
TEST(jobs, only_old_cancellations_of_unknown_jobs_are_removed)
{
    scheduler_state state;
    const time_point start{milliseconds{5'000}};
    cancel_job(state, job_id{"00000000000000aa"}, start);
    cancel_job(state, job_id{"00000000000000bb"}, start + milliseconds{10});
    cancel_job(state, job_id{"00000000000000cc"}, start + milliseconds{100});
    cancel_job(state, job_id{"00000000000000aa"}, start + milliseconds{200});
    EXPECT_TRUE(old_early_cancels(state, start, 10).empty());
    EXPECT_EQ(old_early_cancels(state, start + milliseconds{100}, 10).size(), 2U) << "a repetition changes nothing";
    EXPECT_EQ(old_early_cancels(state, start + milliseconds{100}, 1).size(), 1U);
    EXPECT_TRUE(old_early_cancels(state, start + milliseconds{300}, 0).empty());
}

// Guards against a job whose due occurrences exhaust the memory of each decider, one after the other.
TEST(jobs, the_due_occurrences_of_a_job_are_opened_within_a_limit)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto job = make_job("quotes", 50, 1'000, milliseconds{5'000});
    job.m_spec.m_occurrences = 10'000;
    const auto id = simulation.submit(job);
    EXPECT_EQ(find_job(simulation.m_state, id)->m_open.size(), 2'000U) << "occurrences of 50 tasks";
}

// Guards against an overflow of the due time of a late occurrence, which would be due at once.
TEST(jobs, an_occurrence_in_the_distant_future_is_not_due)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto job = make_job("quotes", 1, 1'000, milliseconds{5'000});
    job.m_spec.m_first_due_unix_ms = 1;
    job.m_spec.m_interval = milliseconds{std::numeric_limits<std::int64_t>::max()};
    job.m_spec.m_occurrences = 10;
    const auto id = simulation.submit(job);
    EXPECT_EQ(find_job(simulation.m_state, id)->m_open.size(), 1U);
}

// Guards against estimates that overflow: the objective of the job would lie before its arrival.
TEST(jobs, the_objective_of_a_job_with_long_estimates_does_not_overflow)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto job = make_job("quotes", 1, 1'000, milliseconds{std::numeric_limits<std::int64_t>::max()});
    job.m_policy.m_stretch = 1e300;
    const auto id = simulation.submit(job);
    const auto* entry = find_job(simulation.m_state, id);
    EXPECT_GT(entry->m_deadline, entry->m_arrived);
}

// Guards against a task that waits in a step which counts no waiting tasks, and which therefore no pass looks at.
TEST(jobs, the_count_of_waiting_tasks_is_exact_after_failures_crashes_and_takeovers)
{
    constexpr std::uint32_t seeds{40};
    constexpr int rounds{60};
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937 random{seed};
        scheduler_simulation simulation;
        simulation.m_restart_keeps_id = true;
        simulation.begin_with("quotes", 3);
        const auto lasting = simulation.submit(make_long_running_job("quotes", 6, 1));
        for (int round = 0; round < rounds; ++round) {
            const worker_id worker{"w" + std::to_string(1 + random() % 3)};
            switch (random() % 8) {
            case 0:
                simulation.crash(worker);
                break;
            case 1:
            case 2:
                simulation.fail_runs(worker);
                break;
            case 3:
                simulation.take_over();
                break;
            case 4:
                simulation.worker(worker.str()).m_reachable = !simulation.worker(worker.str()).m_reachable;
                break;
            case 5:
                static_cast<void>(simulation.submit(make_job("quotes", 3, 2'000, milliseconds{300})));
                break;
            default:
                break;
            }
            simulation.run_for(milliseconds{200});
            for (const auto& [id, job] : simulation.m_state.m_jobs) {
                for (const auto& occurrence : job->m_open) {
                    const auto& step = occurrence.m_steps.front();
                    const auto waiting =
                        std::count_if(step.m_tasks.begin(), step.m_tasks.end(),
                                      [](const task_state& task) { return task.m_phase == task_phase::waiting; });
                    ASSERT_EQ(step.m_waiting, static_cast<std::size_t>(waiting))
                        << "seed " << seed << " round " << round;
                }
            }
        }
        for (const auto& id : simulation.worker_ids()) {
            simulation.worker(id.str()).m_reachable = true;
        }
        simulation.run_for(milliseconds{15'000});
        EXPECT_EQ(find_step(*find_job(simulation.m_state, lasting), {lasting, 0, 0, 0})->m_waiting, 0U)
            << "seed " << seed;
    }
}

} // namespace cicadalug::test
