#ifndef CICADALUG_REQUEST_PAUSE_DETECTOR_HPP
#define CICADALUG_REQUEST_PAUSE_DETECTOR_HPP

#include <cicadalug/base/time.hpp>

#include <mutex>

namespace cicadalug {

/** @brief Time limits of the pause detection. */
struct pause_limits {
    /** @brief A longer interval between two clock reads counts as a pause of the process. */
    milliseconds m_pause_threshold{1'000};
    /**
     * @brief Maximum time for which the view counts as stale after a pause. It is bounded because a zone that is
     * partitioned from the others must keep serving.
     */
    milliseconds m_max_stale_time{2'000};
};

/**
 * @brief Detects pauses of the process. The event loop reads the clock continually, so a jump between two reads is a
 * pause. Every read detects it, so nothing is sent between the end of the pause and the next iteration of the event
 * loop.
 * @note Thread safety: all functions can be called concurrently.
 */
class pause_detector {
public:
    /**
     * @brief Constructs a detector.
     * @param limits Time limits.
     * @param now Current time.
     */
    pause_detector(const pause_limits& limits, time_point now) : m_limits{limits}, m_last_read{now} {}

    /**
     * @brief Reads the clock and detects a pause since the last read.
     * @param now Current time.
     * @return True if the view is stale, so that nothing new may be sent.
     */
    [[nodiscard]] auto is_stale(const time_point now) -> bool
    {
        const std::lock_guard lock{m_mutex};
        if (now - m_last_read > m_limits.m_pause_threshold) {
            m_stale_until = now + m_limits.m_max_stale_time;
            ++m_pauses;
        }
        m_last_read = now > m_last_read ? now : m_last_read;
        return now < m_stale_until;
    }

    /** @brief Records a message of a peer or of the platform: the view is current again. */
    auto record_contact(const time_point now) -> void
    {
        // Detects and counts a jump since the last read first; recording the contact would hide it.
        [[maybe_unused]] const auto stale = is_stale(now);
        const std::lock_guard lock{m_mutex};
        m_stale_until = now;
    }

    /**
     * @brief Returns the number of detected pauses.
     * @return Pauses since the start.
     */
    [[nodiscard]] auto pauses() const -> int
    {
        const std::lock_guard lock{m_mutex};
        return m_pauses;
    }

private:
    const pause_limits m_limits;
    /** @brief Guards the members below; no other lock is acquired while it is held. */
    mutable std::mutex m_mutex;
    time_point m_last_read;
    time_point m_stale_until;
    int m_pauses{0};
};

} // namespace cicadalug

#endif
