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

} // namespace cicadalug::test
