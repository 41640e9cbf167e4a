#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/worker_health.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

/** @brief A long-running task that has been running this long was not failed by its worker. */
constexpr milliseconds proof_time{5'000};

/** @brief Maximum number of failed tasks and steps that are remembered of a worker. */
constexpr std::size_t max_failed_work{16};

/** @brief Stands for all tasks of a step. */
constexpr std::int64_t whole_step{-1};

[[nodiscard]] auto has_lasted(const task_state& task, const time_point now) -> bool
{
    return task.m_phase == task_phase::running && now - task.m_since >= proof_time;
}

/** @brief Checks whether a run shows that its worker and its step are sound. A long-running task never ends as done,
 * and may fail at any time. */
[[nodiscard]] auto was_good(const task_state& task, const step_spec& spec, const ended_report& report,
                            const time_point now) -> bool
{
    return report.m_outcome == run_end::done || (report.m_outcome == run_end::failed && spec.m_long_running &&
                                                 task.m_run == report.m_run && has_lasted(task, now));
}

/** @brief Checks whether tasks of a step are known to work, so that each of its tasks fails for itself. */
[[nodiscard]] auto is_proven(const step_state& step, const step_spec& spec, const time_point now) -> bool
{
    return step.m_proven ||
           (spec.m_long_running && std::any_of(step.m_tasks.begin(), step.m_tasks.end(),
                                               [now](const task_state& task) { return has_lasted(task, now); }));
}

/** @brief Adds a worker to those on which work has failed. @return The number of the others. */
[[nodiscard]] auto add_failed_worker(std::vector<worker_index>& workers, const worker_index index) -> std::size_t
{
    if (std::find(workers.begin(), workers.end(), index) == workers.end()) {
        workers.push_back(index);
    }
    return workers.size() - 1;
}

/** @brief Checks whether a pause of one more worker leaves at least half of the workers of its service open. */
[[nodiscard]] auto may_pause(const scheduler_state& state, const worker_slot& worker, const time_point now) -> bool
{
    std::size_t workers{0};
    std::size_t paused{1};
    for (const auto index : state.m_current_workers) {
        const auto& other = state.m_workers[static_cast<std::size_t>(index)];
        if (other.m_registered && other.m_entry.m_service == worker.m_entry.m_service) {
            ++workers;
            const bool is_paused = other.m_pause > milliseconds{0} && other.m_paused_until > now;
            paused += is_paused && &other != &worker ? 1U : 0U;
        }
    }
    return 2 * paused <= workers;
}

auto pause(scheduler_state& state, worker_slot& worker, const time_point now) -> void
{
    const auto& settings = state.m_settings;
    worker.m_pause = worker.m_pause == milliseconds{0} ? settings.m_worker_pause
                                                       : std::min(worker.m_pause * 2, settings.m_worker_pause_limit);
    worker.m_paused_until = std::max(worker.m_paused_until, now + worker.m_pause);
    state.m_events.push_back({run_event_kind::worker_paused,
                              state.m_worker_by_id.at(worker.m_entry.m_id),
                              {},
                              {},
                              static_cast<std::int64_t>(worker.m_failed_work.size())});
}

} // namespace

auto update_worker_health(scheduler_state& state, worker_slot& worker, const ended_report& report, const time_point now)
    -> void
{
    auto* task = find_task(state, report.m_task);
    if (task == nullptr) {
        return;
    }
    auto& job = *find_job(state, report.m_task.m_job);
    auto& step = *find_step(job, report.m_task);
    const auto& spec = step_of(job, report.m_task);
    if (was_good(*task, spec, report, now)) {
        worker.m_failed_work.clear();
        worker.m_pause = milliseconds{0};
        step.m_proven = true;
        step.m_soon_failed_workers.clear();
        task->m_soon_failed_workers.clear();
        return;
    }
    if (report.m_outcome != run_end::failed) {
        return;
    }
    const auto index = state.m_worker_by_id.at(worker.m_entry.m_id);
    const bool proven = is_proven(step, spec, now);
    const auto step_failures = add_failed_worker(step.m_soon_failed_workers, index);
    const auto task_failures = add_failed_worker(task->m_soon_failed_workers, index);
    if ((proven ? task_failures : step_failures) >= state.m_settings.m_blamed_workers) {
        return;
    }
    auto work = report.m_task;
    work.m_index = proven ? work.m_index : whole_step;
    auto& failed = worker.m_failed_work;
    if (std::find(failed.begin(), failed.end(), work) != failed.end()) {
        return;
    }
    failed.push_back(work);
    if (failed.size() > max_failed_work) {
        failed.erase(failed.begin());
    }
    // After a pause, the failure of any further work pauses the worker again.
    if (failed.size() >= state.m_settings.m_failures_before_pause && may_pause(state, worker, now)) {
        pause(state, worker, now);
    }
}

} // namespace cicadalug
