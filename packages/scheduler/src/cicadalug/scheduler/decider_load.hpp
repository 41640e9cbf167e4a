#ifndef CICADALUG_SCHEDULER_DECIDER_LOAD_HPP
#define CICADALUG_SCHEDULER_DECIDER_LOAD_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/store_types.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cicadalug {

/**
 * @brief Age of a copy of stored data. The copy contains at least all changes up to the last time for which that is
 * proven: in general, when the last successful read or watch was sent; when the store answered it is not known.
 */
struct copy_age {
    /** @brief Last time of which all changes are contained; nothing before the first read. */
    std::optional<time_point> m_sent;
    /** @brief Highest age of the window. */
    microseconds m_max{0};
};

/** @brief Load of a decider in a time window, for its log. */
struct decider_load {
    time_point m_began{};
    copy_age m_jobs;
    copy_age m_workers;
    /** @brief Watches of jobs and workers that failed or got no response in time. */
    std::int64_t m_failed_watches{0};
    /** @brief Responses to watches of jobs and workers. */
    std::int64_t m_watches{0};
    /** @brief Responses that ended before a revision that was known when the watch was sent. */
    std::int64_t m_watches_behind{0};
    /** @brief How many revisions such a response ended before the known one at most. */
    std::uint64_t m_max_revisions_behind{0};
    /** @brief Highest number of changes in one response. */
    std::size_t m_max_changes{0};
    /** @brief How late a timer ran at most. */
    microseconds m_max_loop_delay{0};
    std::int64_t m_starts{0};
    /** @brief Starts that were decided, but not sent. */
    std::int64_t m_starts_withdrawn{0};
    /** @brief Longest time from the decision of a start to the write of its request, relayed ones excepted. */
    microseconds m_max_start_write_age{0};
    /** @brief Longest time from the decision of a start to its response or timeout. */
    microseconds m_max_start_answer_age{0};
    std::int64_t m_stops{0};
    /** @brief Starts, stops and changes of speed that have no response yet. Lease renewals are not counted. */
    std::int64_t m_commands_in_flight{0};
    std::int64_t m_max_commands_in_flight{0};
    std::int64_t m_cancels{0};
    /** @brief Cancellations that were read before their jobs. */
    std::int64_t m_unknown_cancels{0};
    /** @brief Longest time from the write of a cancellation to its application. */
    milliseconds m_max_cancel_delay{0};
    std::int64_t m_passes{0};
    /** @brief Total duration of the scheduling passes. */
    microseconds m_pass_time{0};
};

/** @brief Returns the age of a copy, or nothing if nothing has been read yet. */
[[nodiscard]] inline auto age_of(const copy_age& copy, const time_point now) -> std::optional<microseconds>
{
    return copy.m_sent ? std::optional{now - *copy.m_sent} : std::nullopt;
}

/**
 * @brief Records that a copy contains all changes before a time.
 * @param copy Age of the copy.
 * @param sent The time.
 * @param now Current time.
 */
inline auto refresh(copy_age& copy, const time_point sent, const time_point now) -> void
{
    copy.m_max = std::max(copy.m_max, age_of(copy, now).value_or(microseconds{0}));
    copy.m_sent = std::max(copy.m_sent, std::optional{sent});
}

/**
 * @brief Counts a response to a watch.
 * @param load Load.
 * @param changes The response.
 * @param known Highest revision of the store that was known when the watch was sent.
 */
inline auto count_watch(decider_load& load, const store_changes& changes, const store_revision known) -> void
{
    ++load.m_watches;
    load.m_max_changes = std::max(load.m_max_changes, changes.m_changes.size());
    if (changes.m_revision < known) {
        ++load.m_watches_behind;
        load.m_max_revisions_behind = std::max(load.m_max_revisions_behind, known.value() - changes.m_revision.value());
    }
}

/** @brief Counts a command that is sent to a worker. */
inline auto begin_command(decider_load& load) -> void
{
    ++load.m_commands_in_flight;
    load.m_max_commands_in_flight = std::max(load.m_max_commands_in_flight, load.m_commands_in_flight);
}

/** @brief Counts the response to a command, or its timeout. @pre begin_command() was called for the command. */
inline auto end_command(decider_load& load) -> void
{
    --load.m_commands_in_flight;
}

/** @brief Counts an applied cancellation. @param delay Time since its write, or nothing if that is not known. */
inline auto count_cancel(decider_load& load, const std::optional<milliseconds> delay) -> void
{
    ++load.m_cancels;
    load.m_max_cancel_delay = std::max(load.m_max_cancel_delay, delay.value_or(milliseconds{0}));
}

/** @brief Counts a scheduling pass. */
inline auto count_pass(decider_load& load, const microseconds duration) -> void
{
    ++load.m_passes;
    load.m_pass_time += duration;
}

/**
 * @brief Ends a window and begins the next one.
 * @param load Load; the counts and maxima are reset.
 * @param now Current time.
 * @return The load of the window that has ended.
 */
[[nodiscard]] inline auto take_window(decider_load& load, const time_point now) -> decider_load
{
    for (auto* copy : {&load.m_jobs, &load.m_workers}) {
        copy->m_max = std::max(copy->m_max, age_of(*copy, now).value_or(microseconds{0}));
    }
    const auto ended = load;
    load = {};
    load.m_began = now;
    load.m_jobs.m_sent = ended.m_jobs.m_sent;
    load.m_workers.m_sent = ended.m_workers.m_sent;
    load.m_commands_in_flight = ended.m_commands_in_flight;
    load.m_max_commands_in_flight = ended.m_commands_in_flight;
    return ended;
}

} // namespace cicadalug

#endif
