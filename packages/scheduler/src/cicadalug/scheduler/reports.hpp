#ifndef CICADALUG_SCHEDULER_REPORTS_HPP
#define CICADALUG_SCHEDULER_REPORTS_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug {

/**
 * @brief Applies the registry's entries to the table of workers.
 * @param state The scheduler.
 * @param entries All usable entries.
 */
auto apply_registry(scheduler_state& state, const std::vector<worker_entry>& entries) -> void;

/**
 * @brief Applies a new or changed entry of the registry, without a look at the others.
 *
 * Load pattern: with 1,100 VMs of which 100 a second change their pool, entries change all the time.
 * @param state The scheduler.
 * @param entry The entry.
 */
auto register_worker(scheduler_state& state, const worker_entry& entry) -> void;

/** @brief Applies the removal of an entry from the registry. An unknown id is ignored. */
auto unregister_worker(scheduler_state& state, const worker_id& id) -> void;

/**
 * @brief Applies a worker's report of its runs to the table.
 * @param state The scheduler.
 * @param index The worker.
 * @param report Its report.
 * @param sent When the poll was sent: the report may lack runs that were started later.
 * @param now Current time.
 */
auto apply_report(scheduler_state& state, worker_index index, const worker_report& report, time_point sent,
                  time_point now) -> void;

/** @brief Records the fencing token and the lease in a start that is about to be sent. A run that has been abandoned is
 * ignored. */
auto record_start(scheduler_state& state, const start_command& command, fencing_token token,
                  std::int64_t lease_until_ms) -> void;

/** @brief Applies the result of a start command. */
auto apply_start_result(scheduler_state& state, const start_command& command, command_result result, time_point now)
    -> void;

/** @brief Applies the result of a stop command. */
auto apply_stop_result(scheduler_state& state, const stop_command& command, command_result result, time_point now)
    -> void;

/** @brief Abandons all runs of a worker that is known to have terminated. */
auto end_runs_of_worker(scheduler_state& state, worker_index index, time_point now) -> void;

/** @brief Abandons runs on workers whose lease has certainly expired, and adds stop commands that are due. */
auto expire_runs(scheduler_state& state, time_point now) -> void;

/**
 * @brief Returns the end of the lease to grant now, on the worker's clock, and records it as granted.
 * @pre The worker's clock has been read.
 */
[[nodiscard]] auto grant_lease(scheduler_state& state, worker_index index, time_point now) -> std::int64_t;

/**
 * @brief Updates the limits of the leases that may be granted.
 * @param state The scheduler. A copy of the stored jobs that is older than the last renewal bounds the leases: while
 * cancels cannot be read, runs of cancelled jobs are not stopped, but their leases end.
 * @param last_renewal When the lease of this decider's term was last renewed.
 * @param term_lease Duration of that lease.
 */
auto update_lease_limits(scheduler_state& state, time_point last_renewal, milliseconds term_lease) -> void;

/** @brief Returns the local time at which all leases of earlier deciders have ended, as measured from the time at which
 * the term was stored: an earlier decider has not renewed its own later. */
[[nodiscard]] auto inherited_leases_end(const scheduler_state& state) -> time_point;

/** @brief Checks whether a lease of this decider, or of an earlier one, may still run on a worker that has reported. */
[[nodiscard]] auto has_lease(const scheduler_state& state, const worker_slot& worker, time_point now) -> bool;

/** @brief Returns the local time after which all runs of the worker have certainly ended. @pre The worker has reported
 * in this term. */
[[nodiscard]] auto lease_end(const scheduler_state& state, const worker_slot& worker) -> time_point;

} // namespace cicadalug

#endif
