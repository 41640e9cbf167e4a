#ifndef CICADALUG_REQUEST_PAUSE_DETECTOR_HPP
#define CICADALUG_REQUEST_PAUSE_DETECTOR_HPP

#include <cicadalug/base/time.hpp>

#include <mutex>

namespace cicadalug {

/** @brief Times of the pause detection. */
struct pause_limits {
    /** @brief A longer time without a look at the clock is a pause of the process. */
    milliseconds m_pause_threshold{1'000};
    /** @brief Longest time for which the view counts as stale after a pause; a cut-off zone has to serve. */
    milliseconds m_max_stale_time{2'000};
};

/**
 * @brief Detects that the process was paused: the event loop looks at the clock all the time, so a jump between two
 * looks is a pause. Each look detects it, so nothing is sent in the moment before the event loop comes round.
 * @note Thread safety: all functions can be called concurrently.
 */
class pause_detector {
public:
    /**
     * @brief Constructs a detector.
     * @param limits Times.
     * @param now Current time.
     */
    pause_detector(const pause_limits& limits, time_point now) : m_limits{limits}, m_last{now} {}

    /**
     * @brief Looks at the clock.
     * @param now Current time.
     * @return True if the view is stale, so that nothing new may be sent.
     */
    [[nodiscard]] auto is_stale(const time_point now) -> bool
    {
        const std::lock_guard lock{m_mutex};
        if (now - m_last > m_limits.m_pause_threshold) {
            m_stale_until = now + m_limits.m_max_stale_time;
            ++m_pauses;
        }
        m_last = now > m_last ? now : m_last;
        return now < m_stale_until;
    }

    /** @brief Takes the news that a peer or the platform was heard: the view is current again. */
    auto record_contact(const time_point now) -> void
    {
        // A jump that was not seen yet must not be covered up by the news.
        [[maybe_unused]] const auto stale = is_stale(now);
        const std::lock_guard lock{m_mutex};
        m_stale_until = now;
    }

    /**
     * @brief Returns the number of pauses.
     * @return Pauses since the start.
     */
    [[nodiscard]] auto pauses() const -> int
    {
        const std::lock_guard lock{m_mutex};
        return m_pauses;
    }

private:
    const pause_limits m_limits;
    /** @brief Guards the members below; no other lock is taken while it is held. */
    mutable std::mutex m_mutex;
    time_point m_last;
    time_point m_stale_until;
    int m_pauses{0};
};

} // namespace cicadalug

#endif
