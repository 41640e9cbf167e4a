#ifndef CICADALUG_ASYNC_MONOTONIC_NOW_HPP
#define CICADALUG_ASYNC_MONOTONIC_NOW_HPP

#include <cicadalug/base/time.hpp>

#include <chrono>
#include <ctime>

namespace cicadalug {

/**
 * @brief Returns the current time as the decision core expects it, in microseconds. The time for which the machine is
 * suspended counts: leases end and data gets older meanwhile.
 * @return Monotonic time of this machine.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] inline auto monotonic_now() noexcept -> time_point
{
    // std::chrono::steady_clock stands still while the machine is suspended. The call fails only for an unknown clock.
    std::timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    const auto since_boot = std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
    return time_point{std::chrono::duration_cast<microseconds>(since_boot)};
}

} // namespace cicadalug

#endif
