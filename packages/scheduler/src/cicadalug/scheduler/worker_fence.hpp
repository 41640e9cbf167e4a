#ifndef CICADALUG_SCHEDULER_WORKER_FENCE_HPP
#define CICADALUG_SCHEDULER_WORKER_FENCE_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/store_types.hpp>

#include <cstdint>

namespace cicadalug {

/**
 * @brief Returns the fencing token of calls to a worker.
 *
 * It is the token of the term until the worker restarts under its id. A new incarnation has seen no token, and would
 * carry out calls that were sent to an earlier one and arrive late. Each incarnation is therefore called with a higher
 * token than the one before, which makes it refuse all of these calls.
 */
[[nodiscard]] auto fence_of(const scheduler_state& state, const worker_slot& worker) -> fencing_token;

/** @brief Stands for an incarnation that has not told when it started. */
inline constexpr std::int64_t unknown_incarnation{-1};

/**
 * @brief Raises the token of a worker for a new incarnation, and requests that the incarnation is told at once. If no
 * higher token is safe yet, the worker waits for the next write of the term, see record_term_write().
 * @param state The scheduler.
 * @param index The worker.
 * @param incarnation_start_unix_ms Start of the new incarnation; nothing is done if its token was raised before.
 */
auto raise_fence(scheduler_state& state, worker_index index, std::int64_t incarnation_start_unix_ms) -> void;

/**
 * @brief Allows tokens up to the revision of a write, and raises those of workers that wait for one.
 *
 * The token of a term is the revision at which it was stored. A successor's is higher than the revision of any write
 * of this term, so that no token up to that revision is ever above the successor's.
 * @pre The write was carried out under the condition that the term is stored.
 */
auto record_term_write(scheduler_state& state, store_revision revision) -> void;

/** @brief Checks whether a worker waits for a write of the term before its token can be raised. */
[[nodiscard]] auto has_worker_without_fence(const scheduler_state& state) -> bool;

/**
 * @brief Interprets the result of a call: a worker that refused a call because this decider has raised the token in the
 * meantime has not carried the call out, and the term continues.
 * @param state The scheduler.
 * @param index The worker.
 * @param token Token of the call.
 * @param result Result of the call.
 * @return Withdrawn in that case, otherwise the result.
 */
[[nodiscard]] auto settle_fenced(const scheduler_state& state, worker_index index, fencing_token token,
                                 command_result result) -> command_result;

/**
 * @brief Checks whether the worker that made a report refuses a start for good, as the call that the report answers had
 * a higher token. If the report does not list the run, it will never exist.
 */
[[nodiscard]] auto is_start_fenced(const placed_run& run, const worker_report& report) -> bool;

} // namespace cicadalug

#endif
