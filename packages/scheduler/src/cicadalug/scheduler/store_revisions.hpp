#ifndef CICADALUG_SCHEDULER_STORE_REVISIONS_HPP
#define CICADALUG_SCHEDULER_STORE_REVISIONS_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/store_types.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>

namespace cicadalug {

/** @brief Revision of the store when it executed a request, which was after the request was sent. */
struct revision_reading {
    time_point m_sent{};
    store_revision m_revision;
};

/** @brief Revision that the store had reached by a time. */
struct reached_revision {
    time_point m_by{};
    store_revision m_revision;
};

/**
 * @brief What the responses of the store tell about its revision, to prove how old a copy of its data is, and how long
 * ago a change was stored.
 * @note Thread safety: one thread at a time.
 */
struct store_revisions {
    /** @brief Readings in the order of time and of revision. */
    std::deque<revision_reading> m_readings;
    /** @brief Highest revision in any response; the store has reached at least this one. */
    store_revision m_highest;
    /** @brief Arrivals of responses, in the order of time and of revision. */
    std::deque<reached_revision> m_reached;
};

/** @brief Minimum time between two readings that are kept; far below the ages of copies that matter, about 1 s. */
inline constexpr milliseconds reading_interval{20};

/** @brief Number of readings that are kept: those of 10 s, several times the maximum age of a copy. */
inline constexpr std::size_t max_readings{500};

/** @brief Minimum time between two arrivals that are kept, and their number: those of 40 s, longer than any lease or
 * late call of an earlier decider lasts. */
inline constexpr milliseconds arrival_interval{50};
inline constexpr std::size_t max_arrivals{800};

/** @brief A response to a watch with more changes may be one page of them; the lists of the platform have pages of
 * about 500 items or 1 MB, which 100 jobs with a specification of 4,000 bytes do not fill. */
inline constexpr std::size_t max_complete_changes{100};

/** @brief Records that the store has reached a revision, at an unknown time. */
inline auto record_revision(store_revisions& revisions, const store_revision revision) -> void
{
    revisions.m_highest = std::max(revisions.m_highest, revision);
}

/**
 * @brief Records the revision of the store at a linearizable call that is no watch.
 * @param revisions Known revisions.
 * @param sent When the request was sent.
 * @param revision Revision at the execution of the call; 0, which no store has, if the response did not state it.
 */
inline auto record_reading(store_revisions& revisions, const time_point sent, const store_revision revision) -> void
{
    if (revision == store_revision{0}) {
        return;
    }
    record_revision(revisions, revision);
    auto& readings = revisions.m_readings;
    if (!readings.empty() &&
        (sent < readings.back().m_sent + reading_interval || revision < readings.back().m_revision)) {
        return;
    }
    readings.push_back({sent, revision});
    if (readings.size() > max_readings) {
        readings.pop_front();
    }
}

/**
 * @brief Records the arrival of a response with a revision.
 * @param revisions Known revisions.
 * @param revision Revision in the response; 0 if it did not state one.
 * @param now Current time.
 */
inline auto record_arrival(store_revisions& revisions, const store_revision revision, const time_point now) -> void
{
    auto& reached = revisions.m_reached;
    if (revision <= (reached.empty() ? store_revision{0} : reached.back().m_revision)) {
        return;
    }
    // The last one is replaced, not the new one dropped: the next response may come much later.
    if (reached.size() > 1 && now < reached[reached.size() - 2].m_by + arrival_interval) {
        reached.pop_back();
    }
    reached.push_back({now, revision});
    if (reached.size() > max_arrivals) {
        reached.pop_front();
    }
}

/** @brief Returns a time by which the store had certainly reached a revision, the earliest that is known; or nothing if
 * none is. */
[[nodiscard]] inline auto time_reached(const store_revisions& revisions, const store_revision revision)
    -> std::optional<time_point>
{
    const auto& reached = revisions.m_reached;
    const auto found = std::find_if(reached.begin(), reached.end(), [revision](const reached_revision& arrival) {
        return arrival.m_revision >= revision;
    });
    return found == reached.end() ? std::nullopt : std::optional{found->m_by};
}

/** @brief Returns a time before which all changes have at most the given revision, or nothing if none is known. */
[[nodiscard]] inline auto proven_time(const store_revisions& revisions, const store_revision reached)
    -> std::optional<time_point>
{
    const auto& readings = revisions.m_readings;
    const auto found = std::find_if(readings.rbegin(), readings.rend(), [reached](const revision_reading& reading) {
        return reading.m_revision <= reached;
    });
    return found == readings.rend() ? std::nullopt : std::optional{found->m_sent};
}

/**
 * @brief Returns the time before which all changes are contained in a copy to which a response to a watch was applied.
 * A response may contain only the first of the changes that were stored before the request.
 * @param revisions Known revisions.
 * @param changes The response.
 * @param sent When the watch was sent.
 * @param known Highest revision that was known at that time.
 * @return The time, or nothing if none is proven.
 */
[[nodiscard]] inline auto copy_time(const store_revisions& revisions, const store_changes& changes,
                                    const time_point sent, const store_revision known) -> std::optional<time_point>
{
    const bool complete = changes.m_revision >= known && changes.m_changes.size() <= max_complete_changes;
    return complete ? std::optional{sent} : proven_time(revisions, changes.m_revision);
}

} // namespace cicadalug

#endif
