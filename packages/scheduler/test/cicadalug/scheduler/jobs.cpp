#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/jobs.hpp>

#include <gtest/gtest.h>

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

} // namespace cicadalug::test
