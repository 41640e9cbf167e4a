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

} // namespace cicadalug

#endif
