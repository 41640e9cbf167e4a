#ifndef CICADALUG_ROUTING_DEADLINE_RULE_HPP
#define CICADALUG_ROUTING_DEADLINE_RULE_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/routing/run_time.hpp>

#include <algorithm>
#include <cstddef>

namespace cicadalug {

/** @brief An upstream is blamed for silence after this multiple of the 99th percentile, since single jobs run longer.
 */
inline constexpr int overdue_factor = 4;
inline constexpr microseconds least_overdue{seconds{1}};

/**
 * @brief Computes the run-time bound: a job without an answer for so long is overdue, and is not expected to run on.
 * @param times Run times of its service.
 * @return The bound, from the start of the attempt.
 */
[[nodiscard]] inline auto overdue_bound(const run_time& times) noexcept -> microseconds
{
    return std::max(least_overdue, overdue_factor * percentile(times, 0.99));
}

/**
 * @brief Computes the time that a request needs from its start on, so that it meets its deadline with good odds.
 * @param times Run times of its service.
 * @param allowed Time from the arrival of the request to its deadline.
 * @return The 95th percentile, but at most half of the allowed time unless the median is longer: otherwise a service
 * whose deadlines are shorter than its longest jobs would be refused altogether.
 */
[[nodiscard]] inline auto needed_time(const run_time& times, const microseconds allowed) noexcept -> microseconds
{
    return std::min(percentile(times, 0.95), std::max(percentile(times, 0.5), allowed / 2));
}

/**
 * @brief Estimates the wait for a slot when all are in use.
 * @param before Requests that start before.
 * @param slots Slots that are shared with them, at least 1.
 * @param mean_us Mean run time in microseconds.
 * @return The wait.
 */
[[nodiscard]] inline auto estimated_wait(const std::size_t before, const int slots, const double mean_us) noexcept
    -> microseconds
{
    return microseconds{static_cast<microseconds::rep>(mean_us * static_cast<double>(before + 1) / std::max(1, slots))};
}

/**
 * @brief Computes after how long a refused request has a chance.
 * @param late By how much the request would miss its deadline now.
 * @return Time to come back, at least 10 ms.
 */
[[nodiscard]] inline auto retry_time(const microseconds late) noexcept -> milliseconds
{
    return std::max(milliseconds{10}, std::chrono::ceil<milliseconds>(late));
}

} // namespace cicadalug

#endif
