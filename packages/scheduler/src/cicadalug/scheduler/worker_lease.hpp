#ifndef CICADALUG_SCHEDULER_WORKER_LEASE_HPP
#define CICADALUG_SCHEDULER_WORKER_LEASE_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>
#include <string_view>

namespace cicadalug {

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

/**
 * @brief Returns the local time at which the leases of earlier deciders on an expected worker have ended, if it does
 * not report before.
 *
 * An incarnation that no earlier decider has called may carry out their calls to the last one late, as long as it is
 * registered: a worker whose entry is missing counts as gone.
 */
[[nodiscard]] auto expected_lease_end(const scheduler_state& state, const worker_id& id) -> time_point;

/** @brief Returns the part of expected_lease_end() that applies whatever the worker's registered incarnation is. */
[[nodiscard]] auto expected_end_of_grants(const scheduler_state& state, const worker_id& id) -> time_point;

/** @brief Returns the end of all that late calls of earlier deciders can bring an incarnation of an expected worker
 * that none of them has called. */
[[nodiscard]] auto expected_end_of_late_calls(const scheduler_state& state, const worker_id& id) -> time_point;

/** @brief Calls are sent to an incarnation that has ended for up to this long, until a renewal has had no response.
 * Later renewals carry no lease. */
inline constexpr milliseconds unaware_time{3'000};

/** @brief Returns the end of all that late calls of this decider and of earlier ones can bring the next incarnation of
 * a worker that does not respond. */
[[nodiscard]] auto end_of_late_calls(const scheduler_state& state, const worker_slot& worker) -> time_point;

/** @brief What determines the result of expected_lease_end(). */
enum class expected_bound : std::uint8_t {
    /** @brief Any lease that a decider may have granted before the election of this one. */
    election,
    /** @brief The stored end of the leases that an earlier decider waited for itself. */
    stored_end,
    /** @brief The stored end of a stale lease. */
    restart,
    /** @brief Late calls to an incarnation that no earlier decider has called. */
    late_calls,
};

/** @brief Returns the name of a bound in log lines. */
[[nodiscard]] auto name_of(expected_bound bound) noexcept -> std::string_view;

/** @brief Returns what determines the end of the leases of earlier deciders on an expected worker. */
[[nodiscard]] auto bound_of_expected_lease(const scheduler_state& state, const worker_id& id) -> expected_bound;

/** @brief Returns the local time at which all leases have certainly ended that the next incarnation of a worker can
 * have taken from calls to the last one. Such a call is carried out late, and the lease in it can be the longest one by
 * the clock of the next incarnation. @param last_sent No such call was sent later. */
[[nodiscard]] auto end_of_late_lease(const scheduler_settings& settings, time_point last_sent) -> time_point;

/** @brief Checks whether a lease of this decider, or of an earlier one, may still run on a worker that has reported. */
[[nodiscard]] auto has_lease(const scheduler_state& state, const worker_slot& worker, time_point now) -> bool;

/** @brief Returns the local time after which all runs of the worker have certainly ended. @pre The worker has reported
 * in this term. */
[[nodiscard]] auto lease_end(const scheduler_state& state, const worker_slot& worker) -> time_point;

/** @brief Returns the local time at which a lease on a worker has certainly ended. @param lease_until_ms Its end on the
 * worker's clock. @pre The worker has reported in this term. */
[[nodiscard]] auto end_of_lease(const scheduler_state& state, const worker_slot& worker, std::int64_t lease_until_ms)
    -> time_point;

/** @brief Returns the lease that ends last on a worker, as far as it is known. */
[[nodiscard]] auto known_lease_of(const worker_slot& worker) -> known_lease;

/** @brief Assumes that an earlier decider granted the longest lease that it could just before a worker's first report.
 * The worker rejects calls of earlier deciders from the call on to which the report responds. */
auto inherit_lease(scheduler_state& state, worker_index index, const worker_report& report, time_point now) -> void;

/** @brief Records a lease that this decider has not granted, for the log. @param report The response from which it was
 * inferred. */
auto record_lease(scheduler_state& state, worker_index index, lease_source source, std::int64_t lease_until_ms,
                  const worker_report& report) -> void;

} // namespace cicadalug

#endif
