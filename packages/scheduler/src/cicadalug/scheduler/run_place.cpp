#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/scheduler/run_place.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace cicadalug {

namespace {

[[nodiscard]] auto ref_of(const job_entry& job, const place_progress& place) -> task_ref
{
    return {job.m_record.m_id, place.m_occurrence, place.m_step, place.m_index};
}

} // namespace

auto has_stored_places(const step_spec& step) -> bool
{
    return step.m_long_running && !step.m_gang && !step.m_speculative;
}

auto plan_place(scheduler_state& state, job_entry& job, task_state& task, const worker_index worker) -> void
{
    const auto& id = state.m_workers[static_cast<std::size_t>(worker)].m_entry.m_id;
    if (task.m_place && task.m_place->m_worker == id) {
        return;
    }
    task.m_place = run_place{id, state.m_token, false};
    mark_dirty(state, job);
}

auto is_place_stored(const scheduler_state& state, const task_state& task, const worker_index worker) -> bool
{
    return task.m_place && task.m_place->m_is_stored &&
           task.m_place->m_worker == state.m_workers[static_cast<std::size_t>(worker)].m_entry.m_id;
}

auto may_run_unseen(const scheduler_state& state, const task_state& task, const time_point now) -> bool
{
    return !task.m_place || is_awaited(state, task.m_place->m_worker, now);
}

auto has_task_without_runs(const scheduler_state& state, const step_spec& spec, const step_state& step,
                           const time_point now) -> bool
{
    return has_stored_places(spec) &&
           std::any_of(step.m_tasks.begin(), step.m_tasks.end(), [&](const task_state& task) {
               return task.m_phase == task_phase::waiting && !may_run_unseen(state, task, now);
           });
}

auto append_places(job_progress& progress, const occurrence_state& occurrence) -> void
{
    for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
        const auto& tasks = occurrence.m_steps[step].m_tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            if (const auto& place = tasks[index].m_place; place && tasks[index].m_phase != task_phase::done) {
                progress.m_places.push_back({occurrence.m_number, static_cast<std::int64_t>(step),
                                             static_cast<std::int64_t>(index), place->m_worker, place->m_token});
            }
        }
    }
}

auto restore_places(scheduler_state& state, const job_entry& job, const std::vector<place_progress>& places) -> void
{
    for (const auto& place : places) {
        auto* task = find_task(state, ref_of(job, place));
        if (task != nullptr && place.m_token >= state.m_places_since) {
            task->m_place = run_place{place.m_worker, place.m_token, true};
        }
    }
}

auto confirm_places(scheduler_state& state, const job_entry& job, const std::vector<place_progress>& places) -> void
{
    for (const auto& place : places) {
        auto* task = find_task(state, ref_of(job, place));
        if (task != nullptr && task->m_place && !task->m_place->m_is_stored &&
            task->m_place->m_worker == place.m_worker) {
            task->m_place->m_is_stored = true;
            state.m_dispatch_requested = true;
        }
    }
}

auto release_starts(scheduler_state& state, const time_point now) -> void
{
    std::erase_if(state.m_held_starts, [&](start_command& command) {
        auto& worker = state.m_workers[static_cast<std::size_t>(command.m_worker)];
        auto& runs = worker.m_runs;
        const auto run = std::find_if(runs.begin(), runs.end(), [&command](const placed_run& placed) {
            return placed.m_run == command.m_run && placed.m_task == command.m_task;
        });
        if (run == runs.end()) {
            return true;
        }
        const auto* task = find_task(state, command.m_task);
        if (task != nullptr && !is_place_stored(state, *task, command.m_worker)) {
            return false;
        }
        run->m_held = false;
        const auto obstacle = find_obstacle(worker, now);
        if (obstacle != worker_obstacle::none && obstacle != worker_obstacle::paused) {
            apply_start_result(state, command, command_result::withdrawn, now);
            return true;
        }
        run->m_sent = now;
        command.m_decided = now;
        state.m_starts.push_back(std::move(command));
        return true;
    });
}

} // namespace cicadalug
