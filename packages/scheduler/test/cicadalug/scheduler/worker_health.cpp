#include "scheduler_simulation.hpp"

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against a pause of a sound worker for failures of long-running tasks that lie far apart.
TEST(worker_health, failures_of_long_running_tasks_that_have_lasted_do_not_pause_their_worker)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    static_cast<void>(simulation.submit(make_long_running_job("quotes", 1, 1)));
    const auto& worker = simulation.m_state.m_workers.front();
    for (int failures = 0; failures < 5; ++failures) {
        simulation.run_for(milliseconds{6'000});
        simulation.fail_runs(worker_id{"w1"});
        simulation.run_for(milliseconds{100});
        EXPECT_LE(worker.m_paused_until, simulation.now());
    }
    for (int failures = 0; failures < 3; ++failures) {
        simulation.run_for(milliseconds{1'000});
        simulation.fail_runs(worker_id{"w1"});
        simulation.run_for(milliseconds{10});
    }
    EXPECT_GT(worker.m_paused_until, simulation.now()) << "a worker that fails its runs soon is paused";
}

} // namespace cicadalug::test
