#ifndef CICADALUG_ASYNC_MONOTONIC_NOW_HPP
#define CICADALUG_ASYNC_MONOTONIC_NOW_HPP

#include <cicadalug/base/time.hpp>

#include <chrono>

namespace cicadalug {

/**
 * @brief Returns the current time as the decision core expects it, in microseconds.
 * @return Monotonic time of this process.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] inline auto monotonic_now() noexcept -> time_point
{
    return time_point{std::chrono::duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch())};
}

} // namespace cicadalug

#endif
