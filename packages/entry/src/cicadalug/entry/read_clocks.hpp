#ifndef CICADALUG_ENTRY_READ_CLOCKS_HPP
#define CICADALUG_ENTRY_READ_CLOCKS_HPP

#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/scheduler/jobs.hpp>

#include <chrono>

namespace cicadalug {

/**
 * @brief Reads the monotonic clock and the system clock together. The entry program reads the system clock only here;
 * it may differ between VMs and may jump.
 * @note Thread safety: any thread.
 */
[[nodiscard]] inline auto read_clocks() -> clock_reading
{
    const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
    return {monotonic_now(), std::chrono::duration_cast<milliseconds>(unix_time).count()};
}

} // namespace cicadalug

#endif
