#include "scheduler_simulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cicadalug::test {

// Guards against starts on a worker whose capacity shrank below what its runs use, and against tasks that are not
// started after it has grown again.
TEST(changing_capacity, nothing_starts_over_a_capacity_that_has_shrunk)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    static_cast<void>(simulation.submit(make_job("quotes", 6, 8'000, milliseconds{2'000})));
    simulation.run_for(milliseconds{50});
    ASSERT_EQ(simulation.total_starts(), 6);
    simulation.set_capacity(worker_id{"w1"}, 9'000);
    simulation.set_capacity(worker_id{"w2"}, 9'000);
    const auto waiting = simulation.submit(make_job("quotes", 4, 8'000, milliseconds{500}));
    auto filler = make_job("quotes", 4, 8'000, milliseconds{500});
    filler.m_spec.m_steps.front().m_best_effort = true;
    static_cast<void>(simulation.submit(filler));
    static_cast<void>(simulation.submit(make_long_running_job("quotes", 2, 0)));
    auto gang = make_job("quotes", 2, 8'000, milliseconds{500});
    gang.m_spec.m_steps.front().m_gang = true;
    static_cast<void>(simulation.submit(gang));
    simulation.run_for(milliseconds{100});
    // One worker has 4 runs of 8 cores, the other one 2: both are over 9 cores.
    EXPECT_EQ(simulation.total_starts(), 6);
    for (int tick = 0; tick < 400; ++tick) {
        simulation.run_for(milliseconds{10});
        for (const auto& command : simulation.m_state.m_workers) {
            const bool over = command.m_used.m_cpu > command.m_entry.m_capacity.m_cpu;
            const bool fresh = std::any_of(command.m_runs.begin(), command.m_runs.end(),
                                           [&](const placed_run& run) { return run.m_sent == simulation.now(); });
            ASSERT_FALSE(over && fresh);
        }
    }
    simulation.set_capacity(worker_id{"w1"}, 32'000);
    simulation.set_capacity(worker_id{"w2"}, 32'000);
    simulation.run_for(milliseconds{8'000});
    EXPECT_EQ(simulation.stored_state(waiting), job_state::completed);
}

// Guards against a long-running task that waits although one worker has room, as another one is over its capacity.
TEST(changing_capacity, a_long_running_task_starts_beside_a_worker_over_its_capacity)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    static_cast<void>(simulation.submit(make_long_running_job("quotes", 16, 0)));
    simulation.run_for(milliseconds{50});
    ASSERT_EQ(simulation.m_state.m_workers[0].m_runs.size(), 16U);
    simulation.set_capacity(worker_id{"w1"}, 9'000);
    simulation.set_capacity(worker_id{"w2"}, 1'000);
    const auto job = simulation.submit(make_long_running_job("quotes", 1, 1));
    simulation.run_for(milliseconds{500});
    EXPECT_EQ(simulation.starts_of({job, 0, 0, 0}), 0);
    simulation.set_capacity(worker_id{"w2"}, 2'000);
    simulation.run_for(milliseconds{20});
    EXPECT_EQ(find_task(simulation.m_state, {job, 0, 0, 0})->m_worker, 1);
}

// Guards against a task larger than any present capacity that fails or keeps others from starting.
TEST(changing_capacity, a_task_larger_than_any_worker_waits)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    simulation.set_capacity(worker_id{"w1"}, 9'000);
    simulation.set_capacity(worker_id{"w2"}, 9'000);
    const auto large = simulation.submit(make_job("quotes", 1, 20'000, milliseconds{500}));
    const auto small = simulation.submit(make_job("quotes", 1, 4'000, milliseconds{500}));
    simulation.run_for(milliseconds{2'000});
    EXPECT_EQ(simulation.starts_of({large, 0, 0, 0}), 0);
    EXPECT_EQ(simulation.stored_state(small), job_state::completed);
    simulation.set_capacity(worker_id{"w1"}, 32'000);
    simulation.run_for(milliseconds{2'000});
    EXPECT_EQ(simulation.stored_state(large), job_state::completed);
}

// Guards against sending a start that was decided before the capacity of its worker shrank.
TEST(changing_capacity, a_start_is_withdrawn_if_the_capacity_has_shrunk_since)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    const auto job = simulation.submit(make_job("quotes", 4, 8'000, milliseconds{500}));
    simulation.run_for(milliseconds{20});
    ASSERT_EQ(state.m_workers[0].m_runs.size(), 4U);
    const start_command command{0, {job, 0, 0, 0}, state.m_workers[0].m_runs.front().m_run, {}, {}, simulation.now()};
    EXPECT_TRUE(is_start_valid(state, command, simulation.now()));
    simulation.set_capacity(worker_id{"w1"}, 20'000);
    EXPECT_FALSE(is_start_valid(state, command, simulation.now()));
}

// Guards against starts beside a run of unknown size, as its job is no longer known.
TEST(changing_capacity, nothing_starts_beside_a_run_of_an_unknown_job)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_clock_ms = 5;
    report.m_running.push_back({{job_id{"gone"}, 0, 0, 0}, run_number{7}, {}, 0, 0});
    apply_report(state, 0, report, simulation.now(), simulation.now());
    const auto job = simulation.submit(make_job("quotes", 1, 8'000, milliseconds{500}));
    find_job(state, job)->m_open.front().m_steps.front().m_opened = true;
    dispatch(state, simulation.now());
    EXPECT_TRUE(state.m_starts.empty());
    report.m_running.clear();
    report.m_ended.push_back({1, {job_id{"gone"}, 0, 0, 0}, run_number{7}, run_end::stopped, {}});
    apply_report(state, 0, report, simulation.now(), simulation.now());
    dispatch(state, simulation.now());
    EXPECT_EQ(state.m_starts.size(), 1U);
}

} // namespace cicadalug::test
