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

} // namespace cicadalug::test
