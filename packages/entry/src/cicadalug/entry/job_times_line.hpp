#ifndef CICADALUG_ENTRY_JOB_TIMES_LINE_HPP
#define CICADALUG_ENTRY_JOB_TIMES_LINE_HPP

#include <cicadalug/entry/decider_times.hpp>
#include <cicadalug/scheduler/job_times.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace cicadalug {

/**
 * @brief Adds the mean time of jobs by part to a log line, in milliseconds. Parts below 1 ms are left out.
 * @param line Log line.
 * @param times Sum of the jobs' times.
 * @param jobs Number of jobs. @pre jobs > 0.
 */
[[nodiscard]] inline auto add_parts(log_line line, const job_times& times, const std::int64_t jobs) -> log_line
{
    for (std::size_t number = 0; number < job_parts; ++number) {
        const auto part = static_cast<job_part>(number);
        if (const auto mean_ms = internal::to_ms(times[part] / jobs); mean_ms > 0) {
            // with() returns the line itself, which must not be moved into itself.
            auto extended = std::move(line).with(std::string{name_of(part)} + "_ms", mean_ms);
            line = std::move(extended);
        }
    }
    return line;
}

} // namespace cicadalug

#endif
