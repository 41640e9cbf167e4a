#include <cicadalug/scheduler/crash_suspicion.hpp>
#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/needed_workers.hpp>
#include <cicadalug/scheduler/placement.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <utility>

namespace cicadalug {

namespace {

/** @brief A worker with the number of tasks of a step for which it has room. */
using worker_room = std::pair<worker_index, std::int64_t>;

/** @brief Workers with room for tasks of a step. */
struct step_room {
    std::vector<worker_room> m_accepting;
    std::vector<worker_room> m_releasable;
};

[[nodiscard]] auto total_room(const std::vector<worker_room>& workers) -> std::int64_t
{
    return std::accumulate(workers.begin(), workers.end(), std::int64_t{0},
                           [](const std::int64_t total, const worker_room& worker) { return total + worker.second; });
}

[[nodiscard]] auto find_room(const scheduler_state& state, const waiting_long_running_step& waiting,
                             const std::set<worker_index>& releasable, const time_point now) -> step_room
{
    const auto& policy = waiting.m_job->m_record.m_policy;
    const auto& step = *find_step(*waiting.m_job, waiting.m_first);
    const bool needs_permit = state.m_permit_queues.contains(policy.m_queue);
    const placement_request request{&step_of(*waiting.m_job, waiting.m_first), waiting.m_first,
                                    &step.m_tasks.front().m_failed_workers, needs_permit ? &step : nullptr};
    step_room room;
    for (const auto index : state.m_current_workers) {
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        const bool closed = worker.m_cordoned;
        if (worker.m_entry.m_service != policy.m_service || (closed && !releasable.contains(index)) ||
            find_obstacle_besides_cordon(worker, now) != worker_obstacle::none || is_in_trial(state, index)) {
            continue;
        }
        if (const auto places = count_places(state, index, request, now); places > 0) {
            (closed ? room.m_releasable : room.m_accepting).emplace_back(index, places);
        }
    }
    return room;
}

/** @brief Sorts workers by the number of tasks of the step on them: those with fewer stay within its disruption budget
 * with one more. */
auto sort_by_tasks_of_step(const scheduler_state& state, const task_ref& task, std::vector<worker_room>& workers)
    -> void
{
    const auto tasks = [&](const worker_room& worker) {
        return tasks_of_step(state.m_workers[static_cast<std::size_t>(worker.first)], task);
    };
    std::stable_sort(workers.begin(), workers.end(), [&tasks](const worker_room& left, const worker_room& right) {
        return tasks(left) < tasks(right);
    });
}

} // namespace

auto find_waiting_long_running_steps(const scheduler_state& state) -> std::vector<waiting_long_running_step>
{
    std::vector<waiting_long_running_step> found;
    for (const auto& [service, jobs] : state.m_active) {
        for (const auto* job : jobs) {
            const auto& steps = job->m_record.m_spec.m_steps;
            for (const auto& occurrence : job->m_open) {
                for (std::size_t number = 0; number < steps.size(); ++number) {
                    if (steps[number].m_long_running && occurrence.m_steps[number].m_waiting > 0 &&
                        is_ready(*job, occurrence, number)) {
                        found.push_back(
                            {job, {job->m_record.m_id, occurrence.m_number, static_cast<std::int64_t>(number), 0}});
                    }
                }
            }
        }
    }
    return found;
}

auto find_needed_workers(const scheduler_state& state, const std::set<worker_index>& releasable, const time_point now)
    -> std::set<worker_index>
{
    std::set<worker_index> needed;
    for (const auto& waiting : find_waiting_long_running_steps(state)) {
        const auto& spec = step_of(*waiting.m_job, waiting.m_first);
        const std::int64_t wanted = spec.m_gang ? spec.m_count : 1;
        auto room = find_room(state, waiting, releasable, now);
        auto available = total_room(room.m_accepting);
        if (available >= wanted) {
            for (const auto& [index, places] : room.m_accepting) {
                if (available - places < wanted) {
                    needed.insert(index);
                }
            }
            continue;
        }
        if (available + total_room(room.m_releasable) < wanted) {
            continue;
        }
        for (const auto& [index, places] : room.m_accepting) {
            needed.insert(index);
        }
        sort_by_tasks_of_step(state, waiting.m_first, room.m_releasable);
        for (const auto& [index, places] : room.m_releasable) {
            if (available >= wanted) {
                break;
            }
            needed.insert(index);
            available += places;
        }
    }
    return needed;
}

} // namespace cicadalug
