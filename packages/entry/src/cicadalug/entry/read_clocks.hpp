#ifndef CICADALUG_ENTRY_READ_CLOCKS_HPP
#define CICADALUG_ENTRY_READ_CLOCKS_HPP

#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/scheduler/jobs.hpp>

#include <chrono>

namespace cicadalug {

/**
 * @brief Reads the monotonic clock and the time of day together. The only place where the entry program reads the time
 * of day, which may differ between VMs and jump.
 * @note Thread safety: any thread.
 */
[[nodiscard]] inline auto read_clocks() -> clock_reading
{
    const auto time_of_day = std::chrono::system_clock::now().time_since_epoch();
    return {monotonic_now(), std::chrono::duration_cast<milliseconds>(time_of_day).count()};
}

} // namespace cicadalug

#endif
