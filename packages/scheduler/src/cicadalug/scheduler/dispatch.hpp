#ifndef CICADALUG_SCHEDULER_DISPATCH_HPP
#define CICADALUG_SCHEDULER_DISPATCH_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/urgency.hpp>

#include <cstddef>
#include <cstdint>

namespace cicadalug {

/** @brief Checks whether all steps that a step depends on are done. */
[[nodiscard]] auto is_ready(const job_entry& job, const occurrence_state& occurrence, std::size_t step) -> bool;

/** @brief Returns the latest time from which a task is known to have been waiting: the end of its last run, the arrival
 * of its job, or the begin of this term. */
[[nodiscard]] auto waiting_since(const scheduler_state& state, const job_entry& job, const task_state& task)
    -> time_point;

/**
 * @brief Checks whether a waiting task may be started on paused workers if no other can hold it. A long-running task
 * has to run again soon after its last run, and may fail several times in a row for reasons of its own.
 * @pre The task exists.
 */
[[nodiscard]] auto may_use_paused_workers(const scheduler_state& state, const job_entry& job, const task_ref& task,
                                          time_point now) -> bool;

/**
 * @brief Checks whether the copy of the stored jobs is recent enough to start tasks.
 *
 * An older copy may lack cancels that were acknowledged so long ago that no task of the job may start any more. A
 * decider that falls behind, whatever the reason, therefore starts nothing until it has caught up.
 * @param state The scheduler.
 * @param now Current time.
 * @return True if a start sent now reaches its worker in time even if its job was cancelled right after the copy was
 * read.
 */
[[nodiscard]] auto are_jobs_current(const scheduler_state& state, time_point now) -> bool;

/**
 * @brief Checks whether the copy of the worker registry is recent enough to start tasks.
 * @param state The scheduler.
 * @param now Current time.
 * @return True if a start sent now reaches its worker in time even if the worker began to drain right after the copy
 * was read.
 */
[[nodiscard]] auto are_workers_current(const scheduler_state& state, time_point now) -> bool;

/**
 * @brief Checks whether tasks may be started: the copies are recent enough, and no successor can have begun its term.
 * @param state The scheduler.
 * @param now Current time.
 */
[[nodiscard]] auto may_start(const scheduler_state& state, time_point now) -> bool;

/** @brief Checks whether a lease granted now would be long enough to start a task. */
[[nodiscard]] auto are_leases_long_enough(const scheduler_state& state, time_point now) -> bool;

/**
 * @brief Checks whether a start that was decided earlier may still be sent: its run has not been abandoned or stopped
 * meanwhile, its task has an attempt left, its worker is still in service and not over its present capacity, the term
 * cannot have ended, and the copies are recent enough. Each start that is withdrawn makes room for the remaining ones
 * on its worker.
 * @param state The scheduler.
 * @param command The start.
 * @param now Current time.
 */
[[nodiscard]] auto is_start_valid(const scheduler_state& state, const start_command& command, time_point now) -> bool;

/**
 * @brief Returns the end of the lease that a start requests, on the worker's clock, and records it as granted.
 *
 * A worker refuses a start whose lease has ended. The lease is therefore not longer than the start may take to arrive:
 * held up by a relay, a connection or the worker, it is not carried out when its job may have been cancelled or its
 * worker may drain. The next renewal extends the lease of the run.
 * @pre is_start_valid(), and the worker's clock has been read.
 * @param state The scheduler.
 * @param index The worker.
 * @param now Current time.
 */
[[nodiscard]] auto grant_start_lease(scheduler_state& state, worker_index index, time_point now) -> std::int64_t;

/**
 * @brief Starts waiting tasks on workers with free capacity, in order of urgency, priority and deadline. Starts none
 * if the copy of the stored jobs or of the worker registry is too old, or if the term may have ended.
 * @param state The scheduler; the commands are appended to its m_starts.
 * @param now Current time.
 */
auto dispatch(scheduler_state& state, time_point now) -> void;

} // namespace cicadalug

#endif
