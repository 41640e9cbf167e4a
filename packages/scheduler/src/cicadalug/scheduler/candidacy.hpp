#ifndef CICADALUG_SCHEDULER_CANDIDACY_HPP
#define CICADALUG_SCHEDULER_CANDIDACY_HPP

#include <cicadalug/base/time.hpp>

#include <algorithm>
#include <cstdint>

namespace cicadalug {

/** @brief Processor time with which an entry VM can decide for some hundred VMs, in cores; a takeover of 1,200 jobs and
 * 360 workers takes 0.3 s with it, and 2 to 4.5 s with half of it. */
inline constexpr double sufficient_cores{0.25};

/** @brief Delay of a candidate with half of the sufficient processor time. */
inline constexpr milliseconds weak_candidate_delay{250};

/** @brief Greatest delay: without a strong candidate a weak one has to decide soon. */
inline constexpr milliseconds longest_candidate_delay{500};

/**
 * @brief Returns how long a candidate lets others go first.
 * @param cores Processor time of its entry VM.
 * @return The delay; none for an entry VM with sufficient processor time.
 */
[[nodiscard]] inline auto candidate_delay(const double cores) -> milliseconds
{
    const auto lacking = std::max(0.0, sufficient_cores / std::max(cores, 0.01) - 1.0);
    const auto delay = static_cast<std::int64_t>(lacking * static_cast<double>(weak_candidate_delay.count()));
    return std::min(milliseconds{delay}, longest_candidate_delay);
}

} // namespace cicadalug

#endif
