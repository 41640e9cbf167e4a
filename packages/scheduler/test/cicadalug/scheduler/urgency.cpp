#include "scheduler_simulation.hpp"

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against serving an overload in order of arrival, in which every job waits until it is late.
TEST(urgency, jobs_that_can_be_in_time_go_before_those_that_cannot)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    // Twice the capacity of the pool for 8 s: 128 of 64 cores.
    for (int number = 0; number < 40; ++number) {
        static_cast<void>(simulation.submit(make_job("quotes", 4, 8'000, milliseconds{800})));
        simulation.run_for(milliseconds{200});
    }
    simulation.run_for(milliseconds{20'000});
    // The capacity suffices for 55 % of the jobs to meet their objectives.
    EXPECT_GT(simulation.in_time_share(), 0.9 * 0.55);
    EXPECT_TRUE(simulation.m_state.m_active[service_id{"quotes"}].empty()) << "late jobs are still completed";
}

// Guards against an overload in which nearly all jobs start when their slack is used up, and then end late by the time
// that starts, reports and writes take.
TEST(urgency, jobs_that_start_in_an_overload_end_in_time)
{
    scheduler_simulation simulation;
    simulation.m_start_delay = milliseconds{100};
    simulation.m_report_interval = milliseconds{200};
    simulation.m_store_interval = milliseconds{100};
    simulation.m_run_time_spread = 0.3;
    simulation.begin_with("quotes", 4);
    simulation.run_for(milliseconds{500});
    // A job takes 16 cores for two steps, each 1 s with the delays: 4 jobs a second fill the pool, and 8 arrive for 8
    // s.
    auto job = make_job("quotes", 4, 4'000, milliseconds{800});
    job.m_spec.m_steps.push_back(job.m_spec.m_steps.front());
    job.m_spec.m_steps.back().m_after = {0};
    for (int number = 0; number < 64; ++number) {
        static_cast<void>(simulation.submit(job));
        simulation.run_for(milliseconds{125});
    }
    simulation.run_for(milliseconds{30'000});
    EXPECT_GT(simulation.in_time_share(), 0.9 * 0.5);
    EXPECT_TRUE(simulation.m_state.m_active[service_id{"quotes"}].empty()) << "late jobs are still completed";
}

} // namespace cicadalug::test
