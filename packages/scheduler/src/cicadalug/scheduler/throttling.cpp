#include <cicadalug/scheduler/throttling.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

constexpr std::int64_t full_speed_percent{100};

/** @brief Returns the highest latency of a worker's serving tasks in percent of their targets; -1 without any. */
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

[[nodiscard]] auto next_speed_percent(const throttle_settings& settings, const worker_slot& worker,
                                      const std::int64_t latency, const time_point now) -> std::int64_t
{
    const auto speed_percent = worker.m_best_effort_speed_percent;
    if (latency > settings.m_slow_down_percent && now - worker.m_speed_changed > settings.m_slow_down_interval) {
        const auto slower = speed_percent * settings.m_slow_down_factor / 100;
        return slower < settings.m_min_speed_percent ? 0 : slower;
    }
    if (latency < settings.m_speed_up_percent && now - worker.m_speed_changed > settings.m_speed_up_interval) {
        return std::min(full_speed_percent, speed_percent + settings.m_speed_up_step);
    }
    return speed_percent;
}

} // namespace

auto plan_throttling(scheduler_state& state, const throttle_settings& settings, const time_point now)
    -> std::vector<throttle_command>
{
    std::vector<throttle_command> commands;
    for (std::size_t position = 0; position < state.m_workers.size(); ++position) {
        auto& worker = state.m_workers[position];
        const bool has_best_effort = std::any_of(worker.m_runs.begin(), worker.m_runs.end(),
                                                 [](const placed_run& run) { return run.m_best_effort; });
        if (!has_best_effort || worker.m_unresponsive) {
            continue;
        }
        const auto speed_percent = next_speed_percent(settings, worker, highest_latency(state, worker), now);
        if (speed_percent != worker.m_best_effort_speed_percent) {
            worker.m_best_effort_speed_percent = speed_percent;
            worker.m_speed_changed = now;
        }
        for (auto& run : worker.m_runs) {
            const bool due = now - run.m_throttle_sent > settings.m_slow_down_interval;
            if (run.m_best_effort && run.m_confirmed && !run.m_stop_requested && run.m_speed_percent != speed_percent &&
                due) {
                run.m_throttle_sent = now;
                commands.push_back({static_cast<worker_index>(position), run.m_task, run.m_run, speed_percent});
            }
        }
    }
    return commands;
}

auto apply_throttle_result(scheduler_state& state, const throttle_command& command, const command_result result) -> void
{
    if (result == command_result::fenced) {
        state.m_deposed = true;
        return;
    }
    if (result != command_result::accepted) {
        return;
    }
    for (auto& run : state.m_workers[static_cast<std::size_t>(command.m_worker)].m_runs) {
        if (run.m_run == command.m_run && run.m_task == command.m_task) {
            run.m_speed_percent = command.m_speed_percent;
        }
    }
}

} // namespace cicadalug
