#ifndef CICADALUG_SCHEDULER_RUN_PLACE_HPP
#define CICADALUG_SCHEDULER_RUN_PLACE_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <vector>

namespace cicadalug {

/** @brief Checks whether the worker on which a task of a step may run is stored before each start, so that after a
 * takeover the task waits for that worker only. It is for the tasks that have to be started again soon. */
[[nodiscard]] auto has_stored_places(const step_spec& step) -> bool;

/** @brief Records that a task may run on a worker, and on no other one: its next run is to start there, or a run has
 * been found there. A start is held until that is stored, see is_place_stored(). */
auto plan_place(scheduler_state& state, job_entry& job, task_state& task, worker_index worker) -> void;

/** @brief Checks whether it is stored that a task may run on a worker, and on no other one. */
[[nodiscard]] auto is_place_stored(const scheduler_state& state, const task_state& task, worker_index worker) -> bool;

/** @brief Checks whether a run of an earlier term may still be found of a task whose step has_stored_places().
 * @param state The scheduler.
 * @param task A waiting task of a recovered step.
 * @param now Current time. */
[[nodiscard]] auto may_run_unseen(const scheduler_state& state, const task_state& task, time_point now) -> bool;

/** @brief Checks whether a step has a waiting task of which no run of an earlier term may be found any more. */
[[nodiscard]] auto has_task_without_runs(const scheduler_state& state, const step_spec& spec, const step_state& step,
                                         time_point now) -> bool;

/** @brief Adds the places of an occurrence's tasks to the progress of its job. */
auto append_places(job_progress& progress, const occurrence_state& occurrence) -> void;

/** @brief Restores the places of a job's tasks after a takeover. Those from before m_places_since of the state are
 * ignored: a decider of an earlier version, which does not store them, may have started the tasks since. */
auto restore_places(scheduler_state& state, const job_entry& job, const std::vector<place_progress>& places) -> void;

/** @brief Marks the places that are stored. */
auto confirm_places(scheduler_state& state, const job_entry& job, const std::vector<place_progress>& places) -> void;

/** @brief Sends the starts whose places are stored since, and withdraws those to workers that accept no new work any
 * more: a successor may count their leases as ended. */
auto release_starts(scheduler_state& state, time_point now) -> void;

} // namespace cicadalug

#endif
