#ifndef CICADALUG_ROUTING_ATTEMPT_OUTCOME_HPP
#define CICADALUG_ROUTING_ATTEMPT_OUTCOME_HPP

#include <cstdint>

namespace cicadalug {

/** @brief Outcome of one attempt or one probe on an upstream. */
enum class attempt_outcome : std::uint8_t {
    /** @brief The complete response was read, and it does not report an upstream error. */
    answered,
    /** @brief Not run: the upstream reported that it has no free slot. */
    no_slot,
    /** @brief Not run: the upstream reported that it is leaving. */
    leaving,
    /** @brief Not run: no connection could be established, so no byte of the request was sent. */
    connect_failed,
    /** @brief The upstream reported that the job can never run on any upstream. */
    never_runs,
    /** @brief The complete response was read, and it reports an upstream error. */
    failed,
    /** @brief No complete response arrived in time, and the connection was closed. */
    timed_out,
    /** @brief The connection ended before the complete response was read. */
    connection_lost,
    /** @brief The connection was closed because the request was cancelled. */
    cancelled,
};

/**
 * @brief Returns whether the outcome proves that the request was not run.
 * @param outcome Outcome of the attempt.
 * @return True if no upstream started the request, false if one may have.
 */
[[nodiscard]] constexpr auto is_not_run(const attempt_outcome outcome) noexcept -> bool
{
    return outcome == attempt_outcome::no_slot || outcome == attempt_outcome::leaving ||
           outcome == attempt_outcome::connect_failed || outcome == attempt_outcome::never_runs;
}

/**
 * @brief Returns whether the outcome allows another attempt, regardless of the retry budget and the deadline.
 * @param outcome Outcome of the attempt.
 * @param idempotent True if the request can safely run twice.
 * @return True if another attempt is safe and can succeed.
 */
[[nodiscard]] constexpr auto is_retry_allowed(const attempt_outcome outcome, const bool idempotent) noexcept -> bool
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
 * @brief Returns whether the upstream may still be running the job after the attempt ended.
 * @param outcome Outcome of the attempt.
 * @return True if the slot has to be counted as in use until the run-time bound has passed.
 */
[[nodiscard]] constexpr auto can_still_run(const attempt_outcome outcome) noexcept -> bool
{
    return outcome == attempt_outcome::timed_out || outcome == attempt_outcome::connection_lost ||
           outcome == attempt_outcome::cancelled;
}

} // namespace cicadalug

#endif
