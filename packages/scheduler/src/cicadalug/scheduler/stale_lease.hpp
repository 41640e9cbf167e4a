#ifndef CICADALUG_SCHEDULER_STALE_LEASE_HPP
#define CICADALUG_SCHEDULER_STALE_LEASE_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>

namespace cicadalug {

/**
 * @brief Records that a worker has started again: it may take on stale leases, and the leases of its last incarnation
 * are forgotten.
 *
 * A new incarnation has seen no fencing token. Until it has answered a call with its raised token, see raise_fence(),
 * it carries out calls that were meant for an earlier incarnation. A lease in such a call ends at a time of a clock
 * that was ahead, and the worker shortens it to its longest lease from the arrival of the call. All that runs on the
 * worker may run until then, also what is started later with a shorter lease.
 *
 * States of a worker after its restart:
 *
 * | state | m_takes_stale_leases | m_stale_lease_bounded | ends with |
 * | --- | --- | --- | --- |
 * | open | true | false | any response to a call with the raised token, see bound_stale_lease() |
 * | bounded | true | true | a report in response to such a call, see close_to_stale_leases() |
 * | closed | false | true | the stale lease, see forget_ended_stale_leases() |
 *
 * The worker gets new work when it is closed and listed as restarted, see has_unlisted_lease().
 */
auto open_to_stale_leases(worker_slot& worker) -> void;

/**
 * @brief Records what earlier deciders may have sent to a worker that makes its first report in this term: a lease to
 * the incarnation itself, see inherit_lease(), and if that is young, stale leases.
 *
 * Nothing that was stored is needed to find a young incarnation: it tells when it started, and calls of earlier
 * deciders only arrive for some time after their terms. The worker's clock starts anew with the incarnation, but not at
 * zero, so that it does not tell the age. If the last decider had called this very incarnation and bounded its stale
 * lease, that bound applies: the worker has not restarted since, however young it is.
 * @param sent When the call was sent that the report answers.
 */
auto expect_earlier_calls(scheduler_state& state, worker_index index, const worker_report& report, time_point sent,
                          time_point now) -> void;

/**
 * @brief Bounds the stale lease of a worker by its response to a call. Nothing is done if the worker takes on none.
 * @param state The scheduler.
 * @param index The worker.
 * @param report The response, whose token tells whether the worker still takes on stale leases. A response of another
 * incarnation than the one that reported last is ignored.
 */
auto bound_stale_lease(scheduler_state& state, worker_index index, const worker_report& report) -> void;

/**
 * @brief Detects by the clock in the response to a start that the worker has restarted since its last report: the start
 * was carried out by a new incarnation, with a lease by the clock of the last one. The worker's token is raised, and it
 * may hold a stale lease. Its next report tells which runs it has. A clock that is slightly behind may be that of a
 * response which was under way for long: leases are then measured by it until the next report.
 * @pre The worker has reported.
 * @param state The scheduler.
 * @param index The worker.
 * @param called_incarnation_unix_ms Incarnation of the worker when the start was sent, by its start.
 * @param reading_ms Reading of the worker's clock.
 * @param sent When the start was sent.
 * @param now Current time.
 * @return True if the worker has restarted.
 */
auto detect_restart(scheduler_state& state, worker_index index, std::int64_t called_incarnation_unix_ms,
                    std::int64_t reading_ms, time_point sent, time_point now) -> bool;

/** @brief Ends the time in which a worker takes on stale leases, if a report answers a call with its raised token: the
 * report lists what late starts have begun. */
auto close_to_stale_leases(scheduler_state& state, worker_index index, const worker_report& report) -> void;

/** @brief Forgets the stale leases that have ended. */
auto forget_ended_stale_leases(scheduler_state& state, time_point now) -> void;

} // namespace cicadalug

#endif
