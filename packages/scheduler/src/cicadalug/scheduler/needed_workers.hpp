#ifndef CICADALUG_SCHEDULER_NEEDED_WORKERS_HPP
#define CICADALUG_SCHEDULER_NEEDED_WORKERS_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>

#include <set>
#include <vector>

namespace cicadalug {

/** @brief A long-running step with waiting tasks whose turn has come. */
struct waiting_long_running_step {
    const job_entry* m_job{nullptr};
    /** @brief The first task of the step. */
    task_ref m_first;
};

/** @brief Finds the long-running steps with waiting tasks whose turn has come. */
[[nodiscard]] auto find_waiting_long_running_steps(const scheduler_state& state)
    -> std::vector<waiting_long_running_step>;

/**
 * @brief Finds the workers without which a waiting long-running task, or gang of such tasks, would have no place. They
 * must not be cordoned, and those that are must be released: nothing else ends the wait if all workers with room are
 * cordoned, and each may only be taken down after the task has started.
 * @param state The scheduler.
 * @param releasable Cordoned workers that may be released. Of these, no more are returned than are needed.
 * @param now Current time.
 */
[[nodiscard]] auto find_needed_workers(const scheduler_state& state, const std::set<worker_index>& releasable,
                                       time_point now) -> std::set<worker_index>;

} // namespace cicadalug

#endif
