#include "scheduler_simulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace cicadalug::test {

namespace {

[[nodiscard]] auto paused_workers(const scheduler_simulation& simulation) -> std::int64_t
{
    const auto& workers = simulation.m_state.m_workers;
    return std::count_if(workers.begin(), workers.end(),
                         [&simulation](const worker_slot& worker) { return worker.m_paused_until > simulation.now(); });
}

/** @brief Fails the long-running tasks of a simulation soon after each start, and counts the moments at which more than
 * a number of workers are paused. */
auto fail_long_running_tasks(scheduler_simulation& simulation, const int rounds, const std::int64_t allowed_pauses)
    -> int
{
    int exceeded{0};
    for (int round = 0; round < rounds; ++round) {
        simulation.run_for(milliseconds{100});
        simulation.fail_long_running();
        simulation.run_for(milliseconds{20});
        exceeded += paused_workers(simulation) > allowed_pauses ? 1 : 0;
    }
    return exceeded;
}

} // namespace

// Guards against a pause of a sound worker for failures of long-running tasks that lie far apart.
TEST(worker_health, failures_of_long_running_tasks_that_have_lasted_do_not_pause_their_worker)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    for (int job = 0; job < 4; ++job) {
        static_cast<void>(simulation.submit(make_long_running_job("quotes", 1, 1)));
    }
    for (int failures = 0; failures < 5; ++failures) {
        simulation.run_for(milliseconds{6'000});
        simulation.fail_long_running();
        simulation.run_for(milliseconds{100});
        EXPECT_EQ(paused_workers(simulation), 0);
    }
}

// Guards against a worker that keeps getting work although it fails the tasks of several jobs soon.
TEST(worker_health, failures_of_different_jobs_pause_their_worker)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 4);
    simulation.worker("w1").m_fails_all = true;
    for (int job = 0; job < 40; ++job) {
        static_cast<void>(simulation.submit(make_job("quotes", 1, 1'000, milliseconds{100})));
    }
    simulation.run_for(milliseconds{400});
    const auto& workers = simulation.m_state.m_workers;
    EXPECT_GT(workers.front().m_paused_until, simulation.now());
    EXPECT_EQ(paused_workers(simulation), 1);
    // After the pause, one failure pauses it again, for longer.
    simulation.run_for(milliseconds{1'500});
    for (int job = 0; job < 40; ++job) {
        static_cast<void>(simulation.submit(make_job("quotes", 1, 1'000, milliseconds{100})));
    }
    simulation.run_for(milliseconds{400});
    EXPECT_GT(workers.front().m_paused_until, simulation.now() + milliseconds{1'500});
}

// Guards against a worker that keeps getting work although it fails many tasks of one job, whose other tasks are done.
TEST(worker_health, failures_of_many_tasks_of_a_sound_step_pause_their_worker)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 4);
    simulation.worker("w1").m_fails_all = true;
    static_cast<void>(simulation.submit(make_job("quotes", 400, 1'000, milliseconds{100})));
    simulation.run_for(milliseconds{600});
    EXPECT_GT(simulation.m_state.m_workers.front().m_paused_until, simulation.now());
    EXPECT_EQ(paused_workers(simulation), 1);
}

// Guards against tasks that can never be done and keep all workers of their pool paused, so that others never begin.
TEST(worker_health, tasks_that_always_fail_do_not_close_their_pool)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 6);
    for (int job = 0; job < 2; ++job) {
        static_cast<void>(simulation.submit(make_long_running_job("quotes", 4, 1)));
    }
    EXPECT_EQ(fail_long_running_tasks(simulation, 100, 0), 0);
    const auto later = simulation.submit(make_job("quotes", 2, 1'000, milliseconds{100}));
    EXPECT_EQ(fail_long_running_tasks(simulation, 10, 0), 0);
    EXPECT_EQ(simulation.stored_state(later), job_state::completed);
}

// Guards against the same after each change of the decider, which knows no failures of its predecessor, with more jobs
// that always fail than it takes to pause a worker.
TEST(worker_health, half_of_a_pool_stays_open_whatever_fails)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 6);
    for (int job = 0; job < 12; ++job) {
        static_cast<void>(simulation.submit(make_long_running_job("quotes", 2, 1)));
    }
    for (int term = 0; term < 4; ++term) {
        EXPECT_EQ(fail_long_running_tasks(simulation, 20, 3), 0);
        simulation.take_over();
    }
    const auto later = simulation.submit(make_job("quotes", 2, 1'000, milliseconds{100}));
    static_cast<void>(fail_long_running_tasks(simulation, 20, 3));
    EXPECT_EQ(simulation.stored_state(later), job_state::completed);
}

// Guards against a pool of one worker that a single task keeps closed by failing there again and again.
TEST(worker_health, one_task_does_not_pause_the_only_worker)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    static_cast<void>(simulation.submit(make_long_running_job("quotes", 1, 1)));
    EXPECT_EQ(fail_long_running_tasks(simulation, 30, 0), 0);
}

} // namespace cicadalug::test
