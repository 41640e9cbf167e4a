#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/worker_health.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

/** @brief A long-running task that has been running this long was not failed by its worker. */
constexpr milliseconds proof_time{5'000};

/** @brief Checks whether a long-running task was at work for long enough to tell that its worker is sound. Such a task
 * never ends as done, and may fail at any time. */
[[nodiscard]] auto has_proven_worker(scheduler_state& state, const ended_report& report, const time_point now) -> bool
{
    const auto* task = find_task(state, report.m_task);
    return task != nullptr && step_of(*find_job(state, report.m_task.m_job), report.m_task).m_long_running &&
           task->m_phase == task_phase::running && task->m_run == report.m_run && now - task->m_since >= proof_time;
}

} // namespace

auto update_worker_health(scheduler_state& state, worker_slot& worker, const ended_report& report, const time_point now)
    -> void
{
    const auto outcome = report.m_outcome;
    if (outcome == run_end::done || (outcome == run_end::failed && has_proven_worker(state, report, now))) {
        worker.m_failures_in_row = 0;
        worker.m_pause = milliseconds{0};
        return;
    }
    if (outcome != run_end::failed || ++worker.m_failures_in_row < state.m_settings.m_failures_before_pause) {
        return;
    }
    worker.m_pause = worker.m_pause == milliseconds{0}
                         ? state.m_settings.m_worker_pause
                         : std::min(worker.m_pause * 2, state.m_settings.m_worker_pause_limit);
    worker.m_paused_until = now + worker.m_pause;
    state.m_events.push_back({run_event_kind::worker_paused,
                              state.m_worker_by_id.at(worker.m_entry.m_id),
                              {},
                              {},
                              worker.m_failures_in_row});
    // A single further failure after the pause pauses the worker again.
    worker.m_failures_in_row = state.m_settings.m_failures_before_pause - 1;
}

} // namespace cicadalug
