#ifndef CICADALUG_ROUTING_DEADLINE_RULE_HPP
#define CICADALUG_ROUTING_DEADLINE_RULE_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/routing/run_time_histogram.hpp>

#include <algorithm>
#include <cstddef>

namespace cicadalug {

/**
 * @brief A job is overdue, and counts as a failure of its upstream, after this multiple of the 99th percentile. A lower
 * factor would count single jobs that run longer than usual.
 */
inline constexpr int overdue_factor = 4;
inline constexpr microseconds min_overdue_bound{seconds{1}};

/**
 * @brief Computes the run-time bound: a job without a response after this time is overdue and assumed to have ended.
 * @param times Run times of the service of the job.
 * @return The bound, measured from the start of the attempt.
 */
[[nodiscard]] inline auto overdue_bound(const run_time_histogram& times) noexcept -> microseconds
{
    return std::max(min_overdue_bound, overdue_factor * percentile(times, 0.99));
}

/**
 * @brief Computes the time that a request needs from its start in order to meet its deadline with high probability.
 * @param times Run times of the service of the request.
 * @param allowed Time from the arrival of the request to its deadline.
 * @return The 95th percentile, but at most half of the allowed time unless the median is longer. Without this limit,
 * all requests of a service whose deadlines are shorter than its longest jobs would be refused.
 */
[[nodiscard]] inline auto needed_time(const run_time_histogram& times, const microseconds allowed) noexcept
    -> microseconds
{
    return std::min(percentile(times, 0.95), std::max(percentile(times, 0.5), allowed / 2));
}

/**
 * @brief Estimates the waiting time for a slot when all slots are in use.
 * @param before Number of requests that start earlier.
 * @param slots Number of slots shared with them; values below 1 count as 1.
 * @param mean_us Mean run time in microseconds.
 * @return The waiting time.
 */
[[nodiscard]] inline auto estimated_wait(const std::size_t before, const int slots, const double mean_us) noexcept
    -> microseconds
{
    return microseconds{static_cast<microseconds::rep>(mean_us * static_cast<double>(before + 1) / std::max(1, slots))};
}

/**
 * @brief Computes the delay after which a refused request can succeed.
 * @param overrun Time by which the request would miss its deadline now.
 * @return Delay until the retry, at least 10 ms.
 */
[[nodiscard]] inline auto retry_delay(const microseconds overrun) noexcept -> milliseconds
{
    return std::max(milliseconds{10}, std::chrono::ceil<milliseconds>(overrun));
}

} // namespace cicadalug

#endif
