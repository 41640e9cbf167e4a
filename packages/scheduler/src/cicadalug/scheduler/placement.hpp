#ifndef CICADALUG_SCHEDULER_PLACEMENT_HPP
#define CICADALUG_SCHEDULER_PLACEMENT_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cicadalug {

/** @brief A worker in the order in which tasks are placed: the one with the least free CPU capacity first. */
struct placement_entry {
    std::int64_t m_free_cpu{0};
    worker_index m_worker{no_worker};

    [[nodiscard]] friend auto operator<=>(const placement_entry&, const placement_entry&)
        -> std::strong_ordering = default;
};

/**
 * @brief Workers of a service that accept new work, by their free capacity, for one scheduling pass.
 *
 * Load pattern: in a surge, a pool of 300 workers gets 3,000 starts a second. A search of all workers for each start,
 * and in each pass for each step that is being opened, takes more processor time than all messages. Here, the first
 * worker with enough capacity is found by a binary search.
 */
struct placement_index {
    /** @brief Workers in the order of their table. */
    std::vector<worker_index> m_candidates;
    /** @brief Workers with long-running tasks, and the others. Tasks go to the former first, so that the latter become
     * idle and can change pools. */
    std::array<std::vector<placement_entry>, 2> m_by_free_cpu;
    /** @brief Demands for which no worker has free capacity. Capacity only shrinks during a pass, so that equal or
     * larger demands need no search. */
    std::vector<resources> m_unplaceable;
};

/** @brief Builds the index of the given workers. */
[[nodiscard]] auto make_placement_index(const scheduler_state& state, std::vector<worker_index> candidates)
    -> placement_index;

/**
 * @brief Updates the index after the free capacity of a worker has changed.
 * @pre The worker is one of the candidates.
 * @param index The index.
 * @param state The scheduler, with the changed worker.
 * @param worker The worker.
 * @param free_cpu_before Its free CPU capacity before the change.
 */
auto update_placement(placement_index& index, const scheduler_state& state, worker_index worker,
                      millicores free_cpu_before) -> void;

/** @brief What a placement has to consider besides capacity. */
struct placement_request {
    const step_spec* m_spec{nullptr};
    task_ref m_task;
    /** @brief Workers to use only if no other one has free capacity. */
    const std::vector<worker_index>* m_failed_workers{nullptr};
    /** @brief The task's step if its queue needs permits, else null. */
    const step_state* m_permits{nullptr};
    /** @brief Rules out workers with stale leases: if one is lost, its tasks wait for the end of that lease. */
    bool m_avoids_stale_leases{false};
};

/**
 * @brief Selects the worker for a task: one on the rack of its data if that has free capacity, else one with
 * long-running tasks, else the one with the least free capacity.
 * @param index The index; a demand that no worker can hold is recorded in it.
 * @param state The scheduler.
 * @param request The task.
 * @param now Current time.
 * @return The worker, or no_worker.
 */
[[nodiscard]] auto choose_worker(placement_index& index, const scheduler_state& state, const placement_request& request,
                                 time_point now) -> worker_index;

/**
 * @brief Selects the worker to be kept free for a long-running task that no worker can hold now.
 *
 * Load pattern: in a surge, the run of a small task ends every few milliseconds on each worker, and another small task
 * takes its capacity. A larger task would never find enough of it.
 * @param index The index.
 * @param state The scheduler.
 * @param request The task.
 * @param kept Workers that are kept free for other tasks.
 * @param now Current time.
 * @return The worker with the most free CPU capacity among those that can hold the task as soon as their other runs
 * have ended, long-running ones excepted; or no_worker.
 */
[[nodiscard]] auto choose_worker_to_free(const placement_index& index, const scheduler_state& state,
                                         const placement_request& request, const std::vector<worker_index>& kept,
                                         time_point now) -> worker_index;

/** @brief Removes a worker from the index; does nothing if it is not a candidate. */
auto remove_candidate(placement_index& index, const scheduler_state& state, worker_index worker) -> void;

/** @brief Returns what rules out a worker that accepts new work for a task: capacity, label, permit or the limit of its
 * step; none if it can hold the task. */
[[nodiscard]] auto find_placement_obstacle(const scheduler_state& state, worker_index worker,
                                           const placement_request& request, time_point now) -> worker_obstacle;

/** @brief Returns the number of tasks of a step on a worker. */
[[nodiscard]] auto tasks_of_step(const worker_slot& worker, const task_ref& task) -> std::int64_t;

/** @brief Returns how many tasks of a step a worker that accepts new work can hold besides its runs. */
[[nodiscard]] auto count_places(const scheduler_state& state, worker_index worker, const placement_request& request,
                                time_point now) -> std::int64_t;

/** @brief Checks whether a worker has the capacity, the label and the permit for a task. */
[[nodiscard]] auto can_place(const scheduler_state& state, worker_index worker, const placement_request& request,
                             time_point now) -> bool;

} // namespace cicadalug

#endif
