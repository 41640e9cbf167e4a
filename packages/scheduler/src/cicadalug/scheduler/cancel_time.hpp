#ifndef CICADALUG_SCHEDULER_CANCEL_TIME_HPP
#define CICADALUG_SCHEDULER_CANCEL_TIME_HPP

#include <cicadalug/base/time.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Earliest Unix time in milliseconds that is accepted as the time of a cancellation (September 2001). Earlier
 * versions stored the value 1 instead of a time. */
inline constexpr std::int64_t min_cancel_unix_ms{1'000'000'000'000};

/** @brief Returns the stored value of a cancellation. @param unix_ms Time of the write, in Unix milliseconds. */
[[nodiscard]] inline auto encode_cancel_time(const std::int64_t unix_ms) -> std::string
{
    return std::to_string(unix_ms);
}

/**
 * @brief Returns the time since the write of a cancellation. The two times are read on the clocks of two VMs, which may
 * differ.
 * @param value Stored value of the cancellation.
 * @param unix_ms Current time, in Unix milliseconds.
 * @return The time, at least zero, or nothing if the value contains no time.
 */
[[nodiscard]] inline auto cancel_delay(const std::string_view value, const std::int64_t unix_ms)
    -> std::optional<milliseconds>
{
    std::int64_t stored{0};
    const auto* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, stored);
    if (parsed.ec != std::errc{} || parsed.ptr != end || stored < min_cancel_unix_ms) {
        return std::nullopt;
    }
    return milliseconds{std::max<std::int64_t>(0, unix_ms - stored)};
}

} // namespace cicadalug

#endif
