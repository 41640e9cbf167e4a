#ifndef CICADALUG_SCHEDULER_TAKEOVER_HPP
#define CICADALUG_SCHEDULER_TAKEOVER_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/paged_read.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cicadalug {

/** @brief What a new decider does before it decides, in this order. */
enum class takeover_step : std::uint8_t {
    read_decision_log,
    /** @brief Makes the writes of earlier deciders fail. */
    begin_decision_log,
    read_jobs,
    read_progress,
    read_workers,
    done,
};

inline constexpr std::size_t takeover_steps{static_cast<std::size_t>(takeover_step::done)};

/** @brief A takeover without progress for this long is given up: longer than outages of the store, in which no other
 * entry VM could take over either. */
inline constexpr milliseconds takeover_stall_limit{10'000};

/** @brief State of a takeover. Each step is done once, and a failed step is repeated alone. */
struct takeover {
    takeover_step m_step{takeover_step::read_decision_log};
    time_point m_began{};
    time_point m_step_began{};
    /** @brief When a step was completed or a page was read. */
    time_point m_progressed{};
    /** @brief Duration of each completed step. */
    std::array<microseconds, takeover_steps> m_durations{};
    std::int64_t m_failures{0};
    std::int64_t m_step_failures{0};
};

/** @brief Returns the name of a step in the log. */
[[nodiscard]] constexpr auto name_of(const takeover_step step) noexcept -> std::string_view
{
    constexpr std::array<std::string_view, takeover_steps + 1> names{
        "read_decision_log", "begin_decision_log", "read_jobs", "read_progress", "read_workers", "done"};
    return names.at(static_cast<std::size_t>(step));
}

/** @brief Begins a takeover. */
[[nodiscard]] inline auto begin_takeover(const time_point now) -> takeover
{
    takeover began;
    began.m_began = now;
    began.m_step_began = now;
    began.m_progressed = now;
    return began;
}

/** @brief Completes the current step. @pre The takeover is not done. */
inline auto complete_step(takeover& state, const time_point now) -> void
{
    const auto index = static_cast<std::size_t>(state.m_step);
    state.m_durations.at(index) = now - state.m_step_began;
    state.m_step = static_cast<takeover_step>(index + 1);
    state.m_step_began = now;
    state.m_progressed = now;
    state.m_step_failures = 0;
}

/** @brief Records that a part of the current step has been done, as a page. */
inline auto record_progress(takeover& state, const time_point now) -> void
{
    state.m_progressed = now;
}

/** @brief Checks whether another entry VM should try: this one has made no progress for takeover_stall_limit. */
[[nodiscard]] inline auto is_stalled(const takeover& state, const time_point now) -> bool
{
    return state.m_step != takeover_step::done && now - state.m_progressed > takeover_stall_limit;
}

/** @brief Counts a failed attempt at the current step. */
inline auto count_failure(takeover& state) -> void
{
    ++state.m_failures;
    ++state.m_step_failures;
}

/** @brief Returns the duration of a completed step. */
[[nodiscard]] inline auto duration_of(const takeover& state, const takeover_step step) -> microseconds
{
    return state.m_durations.at(static_cast<std::size_t>(step));
}

} // namespace cicadalug

#endif
