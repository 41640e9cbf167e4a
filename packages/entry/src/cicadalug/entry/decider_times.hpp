#ifndef CICADALUG_ENTRY_DECIDER_TIMES_HPP
#define CICADALUG_ENTRY_DECIDER_TIMES_HPP

#include <cicadalug/base/time.hpp>

#include <cstdint>

namespace cicadalug::internal {

/** @brief Time for a read or a write; a store that is 60 times as slow as usual still answers within it. */
inline constexpr milliseconds store_timeout{700};

/** @brief Pause after a failed call to the store. */
inline constexpr milliseconds failure_pause{60};

/** @brief Back-offs, leases and due times are looked at this often. */
inline constexpr milliseconds tick_interval{100};

/** @brief Whole milliseconds of a time, for a log line. */
[[nodiscard]] inline auto to_ms(const microseconds time) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

} // namespace cicadalug::internal

#endif
