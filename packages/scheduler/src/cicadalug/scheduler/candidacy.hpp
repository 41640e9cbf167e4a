#ifndef CICADALUG_SCHEDULER_CANDIDACY_HPP
#define CICADALUG_SCHEDULER_CANDIDACY_HPP

#include <cicadalug/base/time.hpp>

#include <algorithm>
#include <cstdint>

namespace cicadalug {

/** @brief CPU capacity in cores that an entry VM needs to be the decider of several hundred VMs. With it, a takeover of
 * 1,200 jobs and 360 workers takes 0.3 s; with half of it, 2 to 4.5 s. */
inline constexpr double sufficient_cores{0.25};

/** @brief Delay of a candidate that has half of sufficient_cores. */
inline constexpr milliseconds weak_candidate_delay{250};

/** @brief Upper bound of the delay, so that a weak candidate takes over soon if there is no strong one. */
inline constexpr milliseconds max_candidate_delay{500};

/**
 * @brief Returns how long a candidate waits in an election so that candidates with more CPU capacity go first.
 * @param cores CPU capacity of its entry VM, in cores.
 * @return The delay; zero for an entry VM with at least sufficient_cores.
 */
[[nodiscard]] inline auto candidate_delay(const double cores) -> milliseconds
{
    const auto lacking = std::max(0.0, sufficient_cores / std::max(cores, 0.01) - 1.0);
    const auto delay = static_cast<std::int64_t>(lacking * static_cast<double>(weak_candidate_delay.count()));
    return std::min(milliseconds{delay}, max_candidate_delay);
}

} // namespace cicadalug

#endif
