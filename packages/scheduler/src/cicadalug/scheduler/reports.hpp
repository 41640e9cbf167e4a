#ifndef CICADALUG_SCHEDULER_REPORTS_HPP
#define CICADALUG_SCHEDULER_REPORTS_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <vector>

namespace cicadalug {

/**
 * @brief Takes the registry's entries into the table.
 * @param state The scheduler.
 * @param entries All entries that can be used.
 */
auto apply_registry(scheduler_state& state, const std::vector<worker_entry>& entries) -> void;

/**
 * @brief Takes a worker's list of runs into the table.
 * @param state The scheduler.
 * @param index The worker.
 * @param report Its answer.
 * @param sent When the question was sent: runs ordered later may be missing.
 * @param now Current time.
 */
auto apply_report(scheduler_state& state, worker_index index, const worker_report& report, time_point sent,
                  time_point now) -> void;

/** @brief Takes the answer to a start. */
auto apply_start_result(scheduler_state& state, const start_command& order, command_result result, time_point now)
    -> void;

/** @brief Takes the answer to a stop. */
auto apply_stop_result(scheduler_state& state, const stop_command& order, command_result result, time_point now)
    -> void;

/** @brief Gives up all runs of a worker that is known to have ended. */
auto end_runs_of_worker(scheduler_state& state, worker_index index, time_point now) -> void;

/** @brief Gives up runs on workers whose lease has ended for certain, and decides stops that are due. */
auto expire_runs(scheduler_state& state, time_point now) -> void;

/**
 * @brief Returns the end of the lease to grant now, on the worker's clock, and keeps it as granted.
 * @pre The worker's clock has been read.
 */
[[nodiscard]] auto grant_lease(scheduler_state& state, worker_index index, time_point now) -> std::int64_t;

/** @brief Returns the local time after which everything that the worker ran is over. */
[[nodiscard]] auto lease_end(const scheduler_state& state, const worker_slot& worker) -> time_point;

} // namespace cicadalug

#endif
