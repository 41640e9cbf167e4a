#include <cicadalug/scheduler/throttling.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

constexpr std::int64_t full_pace{100};

/** @brief Highest share of its latency target that a serving task of a worker reports, in percent; -1 without one. */
[[nodiscard]] auto highest_latency(scheduler_state& state, const worker_slot& worker) -> std::int64_t
{
    std::int64_t highest{-1};
    for (const auto& run : worker.m_runs) {
        const auto* job = find_job(state, run.m_task.m_job);
        const auto* task = find_task(state, run.m_task);
        if (job == nullptr || task == nullptr || task->m_run != run.m_run) {
            continue;
        }
        const auto target = step_of(*job, run.m_task).m_latency_target.count();
        if (target > 0 && !step_of(*job, run.m_task).m_best_effort) {
            highest = std::max(highest, task->m_usage * 100 / target);
        }
    }
    return highest;
}

[[nodiscard]] auto next_pace(const throttle_settings& settings, const worker_slot& worker, const std::int64_t latency,
                             const time_point now) -> std::int64_t
{
    const auto pace = worker.m_best_effort_pace;
    if (latency > settings.m_slow_down_percent && now - worker.m_pace_changed > settings.m_slow_down_interval) {
        const auto slower = pace * settings.m_slow_down_factor / 100;
        return slower < settings.m_least_pace ? 0 : slower;
    }
    if (latency < settings.m_speed_up_percent && now - worker.m_pace_changed > settings.m_speed_up_interval) {
        return std::min(full_pace, pace + settings.m_speed_up_step);
    }
    return pace;
}

} // namespace

auto plan_throttling(scheduler_state& state, const throttle_settings& settings, const time_point now)
    -> std::vector<throttle_command>
{
    std::vector<throttle_command> orders;
    for (std::size_t position = 0; position < state.m_workers.size(); ++position) {
        auto& worker = state.m_workers[position];
        const bool fills = std::any_of(worker.m_runs.begin(), worker.m_runs.end(),
                                       [](const placed_run& run) { return run.m_best_effort; });
        if (!fills || worker.m_unresponsive) {
            continue;
        }
        const auto pace = next_pace(settings, worker, highest_latency(state, worker), now);
        if (pace != worker.m_best_effort_pace) {
            worker.m_best_effort_pace = pace;
            worker.m_pace_changed = now;
        }
        for (auto& run : worker.m_runs) {
            const bool due = now - run.m_pace_sent > settings.m_slow_down_interval;
            if (run.m_best_effort && run.m_confirmed && !run.m_stop_wanted && run.m_pace != pace && due) {
                run.m_pace_sent = now;
                orders.push_back({static_cast<worker_index>(position), run.m_task, run.m_run, pace});
            }
        }
    }
    return orders;
}

auto apply_throttle_result(scheduler_state& state, const throttle_command& order, const command_result result) -> void
{
    if (result == command_result::fenced) {
        state.m_deposed = true;
        return;
    }
    if (result != command_result::accepted) {
        return;
    }
    for (auto& run : state.m_workers[static_cast<std::size_t>(order.m_worker)].m_runs) {
        if (run.m_run == order.m_run && run.m_task == order.m_task) {
            run.m_pace = order.m_speed_percent;
        }
    }
}

} // namespace cicadalug
