#ifndef CICADALUG_ROUTING_UPSTREAM_HEALTH_HPP
#define CICADALUG_ROUTING_UPSTREAM_HEALTH_HPP

#include <cicadalug/base/time.hpp>

#include <algorithm>

namespace cicadalug {

/**
 * @brief Consecutive failures after which an upstream is failing. A lower threshold would count single jobs that fail
 * on every upstream.
 */
inline constexpr int failure_threshold = 3;

/** @brief Consecutive successful probes after which an ejected upstream is readmitted. */
inline constexpr int probe_success_threshold = 2;

/** @brief Initial time between two probes of an ejected upstream. */
inline constexpr milliseconds probe_interval{500};

/** @brief Maximum time between two probes, reached when an upstream is ejected repeatedly. */
inline constexpr milliseconds max_probe_interval{16'000};

/** @brief Recent results of one upstream. */
struct upstream_health {
    /** @brief Failures since the last success. */
    int m_consecutive_failures{0};
    /** @brief Recent success rate from 0 to 1, an exponential moving average with a weight of 1/8 per result. */
    double m_success_rate{1.0};
    time_point m_last_failure;
    int m_probe_successes{0};
    milliseconds m_probe_interval{probe_interval};
    /** @brief True while the upstream itself reports that it is leaving. */
    bool m_leaving{false};
    /** @brief True if its rack was found to have failed, until a job or enough probes succeed. */
    bool m_rack_failed{false};
};

/** @brief Returns whether an upstream should be ejected. */
[[nodiscard]] constexpr auto is_failing(const upstream_health& health) noexcept -> bool
{
    return health.m_consecutive_failures >= failure_threshold || health.m_rack_failed;
}

/** @brief Returns whether an upstream is used only if no healthy one has a free slot. */
[[nodiscard]] constexpr auto is_unreliable(const upstream_health& health) noexcept -> bool
{
    return health.m_consecutive_failures > 0 || health.m_success_rate < 0.75;
}

/**
 * @brief Records a job that was answered.
 * @param health The health.
 */
constexpr auto count_success(upstream_health& health) noexcept -> void
{
    health.m_consecutive_failures = 0;
    health.m_rack_failed = false;
    health.m_leaving = false;
    health.m_success_rate += (1.0 - health.m_success_rate) / 8.0;
    health.m_probe_interval = probe_interval;
}

/**
 * @brief Records a job that failed, timed out or was lost.
 * @param health The health.
 * @param now Current time.
 */
constexpr auto count_failure(upstream_health& health, const time_point now) noexcept -> void
{
    ++health.m_consecutive_failures;
    health.m_success_rate -= health.m_success_rate / 8.0;
    health.m_last_failure = now;
    health.m_probe_successes = 0;
}

/**
 * @brief Records the result of a probe.
 * @param health The health.
 * @param answered True if the upstream reported that it is ready for work.
 */
constexpr auto count_probe(upstream_health& health, const bool answered) noexcept -> void
{
    health.m_probe_successes = answered ? health.m_probe_successes + 1 : 0;
    if (health.m_probe_successes >= probe_success_threshold) {
        health.m_probe_successes = 0;
        health.m_rack_failed = false;
        health.m_leaving = false;
        // A successful probe does not prove that jobs succeed, so the next failure ejects the upstream again. The probe
        // interval doubles.
        health.m_consecutive_failures = std::min(health.m_consecutive_failures, failure_threshold - 1);
        health.m_probe_interval = std::min(health.m_probe_interval * 2, max_probe_interval);
    }
}

} // namespace cicadalug

#endif
