#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/job_estimates.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

constexpr time_point begin{milliseconds{1'000}};

[[nodiscard]] auto make_running_task() -> task_state
{
    task_state task;
    task.m_phase = task_phase::running;
    task.m_since = begin;
    return task;
}

} // namespace

// Guards against an estimate that follows a single run.
TEST(job_estimates, the_first_run_is_the_estimate_and_later_ones_change_it_slowly)
{
    scheduler_state state;
    const job_entry job;
    learn_run_time(state, job, make_running_task(), begin + milliseconds{500});
    const auto& estimate = state.m_run_times.begin()->second;
    EXPECT_DOUBLE_EQ(estimate.m_mean_ms, 500.0);
    learn_run_time(state, job, make_running_task(), begin + milliseconds{1'500});
    EXPECT_DOUBLE_EQ(estimate.m_mean_ms, 600.0);
    EXPECT_DOUBLE_EQ(estimate.m_deviation_ms, 90.0);
    EXPECT_EQ(estimate.m_samples, 2);
}

// Guards against estimates that are too short, as a run has done only a part of its task.
TEST(job_estimates, a_run_whose_begin_is_not_known_or_that_resumed_is_no_sample)
{
    scheduler_state state;
    const job_entry job;
    auto task = make_running_task();
    task.m_phase = task_phase::stopping;
    learn_run_time(state, job, task, begin + milliseconds{500});
    task = make_running_task();
    task.m_checkpoint = "checkpoint";
    learn_run_time(state, job, task, begin + milliseconds{500});
    EXPECT_TRUE(state.m_run_times.empty());
}

// Guards against a classification that takes the mean run time for the time that a step takes.
TEST(job_estimates, the_remaining_time_includes_what_steps_take_beyond_their_runs)
{
    scheduler_simulation simulation;
    const auto id = simulation.submit(make_job("quotes", 2, 1'000, milliseconds{500}));
    auto& state = simulation.m_state;
    auto& job = *find_job(state, id);
    EXPECT_EQ(estimate_remaining_time(state, job, simulation.now()), milliseconds{500});
    add_sample(state.m_step_overruns[job.m_record.m_policy.m_queue], 120.0);
    add_sample(state.m_opening_time, 40.0);
    add_sample(state.m_storing_time, 20.0);
    EXPECT_EQ(estimate_remaining_time(state, job, simulation.now()), milliseconds{680});
    EXPECT_EQ(estimate_objective(state, job), milliseconds{1'400}) << "the objective does not change";
    auto& step = job.m_open.front().m_steps.front();
    step.m_opened = true;
    EXPECT_EQ(estimate_remaining_time(state, job, simulation.now()), milliseconds{640});
    step.m_waiting = 0;
    step.m_last_start = simulation.now() - milliseconds{600};
    EXPECT_EQ(estimate_remaining_time(state, job, simulation.now()), milliseconds{40});
}

// Guards against an overrun that counts the time between the failure of a run and the next one.
TEST(job_estimates, interrupted_and_recovered_steps_are_no_measure_of_the_overrun)
{
    scheduler_simulation simulation;
    const auto id = simulation.submit(make_job("quotes", 1, 1'000, milliseconds{500}));
    auto& state = simulation.m_state;
    auto& job = *find_job(state, id);
    auto& step = job.m_open.front().m_steps.front();
    const auto& spec = job.m_record.m_spec.m_steps.front();
    step.m_last_start = simulation.now();
    step.m_interrupted = true;
    learn_step_overrun(state, job, spec, step, simulation.now() + milliseconds{900});
    step.m_interrupted = false;
    step.m_recovered = true;
    learn_step_overrun(state, job, spec, step, simulation.now() + milliseconds{900});
    EXPECT_TRUE(state.m_step_overruns.empty());
    step.m_recovered = false;
    learn_step_overrun(state, job, spec, step, simulation.now() + milliseconds{900});
    EXPECT_DOUBLE_EQ(state.m_step_overruns.at(job.m_record.m_policy.m_queue).m_mean_ms, 400.0);
}

} // namespace cicadalug::test
