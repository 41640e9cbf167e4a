#ifndef CICADALUG_ROUTING_ATTEMPT_OUTCOME_HPP
#define CICADALUG_ROUTING_ATTEMPT_OUTCOME_HPP

#include <cstdint>

namespace cicadalug {

/** @brief How one attempt, or one probe, on an upstream ended. */
enum class attempt_outcome : std::uint8_t {
    /** @brief The whole answer was read, and it is not an error of the upstream. */
    answered,
    /** @brief Not run: the upstream said that it has no free slot. */
    no_slot,
    /** @brief Not run: the upstream said that it is leaving. */
    leaving,
    /** @brief Not run: no connection came about, so no byte of the request was sent. */
    connect_failed,
    /** @brief The upstream said that the job can never run, on no upstream. */
    never_runs,
    /** @brief The whole answer was read, and it is an error of the upstream. */
    failed,
    /** @brief No whole answer came in time, and the connection was closed. */
    timed_out,
    /** @brief The connection ended before the whole answer was read. */
    connection_lost,
    /** @brief The connection was closed because the request is no longer wanted. */
    cancelled,
};

/**
 * @brief Tells whether an outcome makes it certain that the request was not run.
 * @param outcome Outcome of the attempt.
 * @return True if no upstream started the request, false if one may have.
 */
[[nodiscard]] constexpr auto is_not_run(const attempt_outcome outcome) noexcept -> bool
{
    return outcome == attempt_outcome::no_slot || outcome == attempt_outcome::leaving ||
           outcome == attempt_outcome::connect_failed || outcome == attempt_outcome::never_runs;
}

/**
 * @brief Tells whether an outcome allows another attempt, before budget and deadline are considered.
 * @param outcome Outcome of the attempt.
 * @param idempotent True if running the request twice does no harm.
 * @return True if another attempt cannot do harm and can be of use.
 */
[[nodiscard]] constexpr auto may_retry(const attempt_outcome outcome, const bool idempotent) noexcept -> bool
{
    switch (outcome) {
    case attempt_outcome::no_slot:
    case attempt_outcome::leaving:
    case attempt_outcome::connect_failed:
        return true;
    case attempt_outcome::failed:
    case attempt_outcome::timed_out:
    case attempt_outcome::connection_lost:
        return idempotent;
    case attempt_outcome::answered:
    case attempt_outcome::never_runs:
    case attempt_outcome::cancelled:
        return false;
    }
    return false;
}

/**
 * @brief Tells whether the upstream may still run the job after the attempt ended.
 * @param outcome Outcome of the attempt.
 * @return True if the slot has to count as in use until the run-time bound has passed.
 */
[[nodiscard]] constexpr auto may_still_run(const attempt_outcome outcome) noexcept -> bool
{
    return outcome == attempt_outcome::timed_out || outcome == attempt_outcome::connection_lost ||
           outcome == attempt_outcome::cancelled;
}

} // namespace cicadalug

#endif
