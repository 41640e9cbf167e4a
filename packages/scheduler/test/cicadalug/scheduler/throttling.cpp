#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/throttling.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

/** @brief Makes a worker that runs a serving task and a best-effort task. */
[[nodiscard]] auto make_shared_worker(scheduler_simulation& simulation) -> worker_slot&
{
    simulation.begin_with("ledger", 1);
    auto serving = make_long_running_job("ledger", 1, 1);
    serving.m_spec.m_steps.front().m_latency_target = milliseconds{100};
    auto best_effort = make_job("ledger", 1, 8'000, milliseconds{60'000});
    best_effort.m_spec.m_steps.front().m_best_effort = true;
    static_cast<void>(simulation.submit(serving));
    static_cast<void>(simulation.submit(best_effort));
    simulation.run_for(milliseconds{100});
    return simulation.m_state.m_workers.front();
}

auto set_latency(scheduler_simulation& simulation, const std::int64_t tail_latency_ms) -> void
{
    for (const auto& run : simulation.m_state.m_workers.front().m_runs) {
        if (run.m_long_running) {
            find_task(simulation.m_state, run.m_task)->m_usage = tail_latency_ms;
        }
    }
}

} // namespace

// Guards against a serving task that stays above its latency target because of best-effort tasks on its worker.
TEST(throttling, best_effort_tasks_halt_within_the_allowed_time)
{
    scheduler_simulation simulation;
    auto& worker = make_shared_worker(simulation);
    ASSERT_EQ(worker.m_runs.size(), 2U);
    const throttle_settings settings;
    auto now = simulation.now() + milliseconds{10'000};
    const auto limit = now + milliseconds{4'000};
    set_latency(simulation, 150);
    while (worker.m_best_effort_speed_percent > 0 && now < limit) {
        for (const auto& command : plan_throttling(simulation.m_state, settings, now)) {
            apply_throttle_result(simulation.m_state, command, command_result::accepted);
        }
        now += milliseconds{100};
    }
    EXPECT_EQ(worker.m_best_effort_speed_percent, 0);
    EXPECT_LT(now, limit);
}

// Guards against a speed that oscillates with each report.
TEST(throttling, speed_is_kept_between_the_two_thresholds)
{
    scheduler_simulation simulation;
    auto& worker = make_shared_worker(simulation);
    worker.m_best_effort_speed_percent = 50;
    set_latency(simulation, 75);
    static_cast<void>(plan_throttling(simulation.m_state, {}, simulation.now() + milliseconds{20'000}));
    EXPECT_EQ(worker.m_best_effort_speed_percent, 50);
    set_latency(simulation, 40);
    static_cast<void>(plan_throttling(simulation.m_state, {}, simulation.now() + milliseconds{20'000}));
    EXPECT_GT(worker.m_best_effort_speed_percent, 50);
}

} // namespace cicadalug::test
