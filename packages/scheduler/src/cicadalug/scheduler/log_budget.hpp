#ifndef CICADALUG_SCHEDULER_LOG_BUDGET_HPP
#define CICADALUG_SCHEDULER_LOG_BUDGET_HPP

#include <cicadalug/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cicadalug {

/** @brief Limits the log lines about single runs and jobs. */
struct log_budget {
    milliseconds m_window{1'000};
    /** @brief Number of lines in a window; further ones are counted. */
    std::int64_t m_limit{60};
    time_point m_began{};
    std::int64_t m_lines{0};
};

/**
 * @brief Begins a new window if the current one is over.
 * @return The number of lines that were not logged in the window that has ended; zero if none has ended.
 */
[[nodiscard]] inline auto begin_window(log_budget& budget, const time_point now) -> std::int64_t
{
    if (now - budget.m_began <= budget.m_window) {
        return 0;
    }
    budget.m_began = now;
    return std::max<std::int64_t>(0, std::exchange(budget.m_lines, 0) - budget.m_limit);
}

/** @brief Counts a line. @return True if it may be logged. */
[[nodiscard]] inline auto admit_line(log_budget& budget) -> bool
{
    return ++budget.m_lines <= budget.m_limit;
}

} // namespace cicadalug

#endif
