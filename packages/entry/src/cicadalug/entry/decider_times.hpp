#ifndef CICADALUG_ENTRY_DECIDER_TIMES_HPP
#define CICADALUG_ENTRY_DECIDER_TIMES_HPP

#include <cicadalug/base/time.hpp>

#include <cstdint>

namespace cicadalug::internal {

/** @brief Timeout of a read or a write; a store that is 60 times slower than usual still responds within it. */
inline constexpr milliseconds store_timeout{700};

/** @brief Timeout of one call of the fleet controller to the store or to the platform's interface to the VMs. */
inline constexpr milliseconds fleet_call_timeout{700};

/** @brief Delay after a failed call to the store. */
inline constexpr milliseconds failure_pause{60};

/** @brief Interval at which back-offs, leases and due times are checked. */
inline constexpr milliseconds tick_interval{100};

/** @brief Converts a duration to whole milliseconds for a log line. */
[[nodiscard]] inline auto to_ms(const microseconds time) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

} // namespace cicadalug::internal

#endif
