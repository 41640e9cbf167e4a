#ifndef CICADALUG_ROUTING_UPSTREAM_HEALTH_HPP
#define CICADALUG_ROUTING_UPSTREAM_HEALTH_HPP

#include <cicadalug/base/time.hpp>

#include <algorithm>

namespace cicadalug {

/** @brief Failures in a row that make an upstream bad. Fewer would blame it for single jobs that fail anywhere. */
inline constexpr int bad_failure_run = 3;

/** @brief Probes answered in a row that bring an ejected upstream back. */
inline constexpr int probes_to_return = 2;

/** @brief Time between two probes of an upstream that was ejected for the first time. */
inline constexpr milliseconds probe_interval{500};

/** @brief Longest time between two probes, reached when an upstream is ejected again and again. */
inline constexpr milliseconds longest_probe_interval{16'000};

/** @brief Recent results of one upstream. */
struct upstream_health {
    /** @brief Failures since the last success. */
    int m_failure_run{0};
    /** @brief Recent share of successes, from 0 to 1; each result moves it by an eighth. */
    double m_success{1.0};
    time_point m_last_failure;
    int m_probe_successes{0};
    milliseconds m_probe_interval{probe_interval};
    /** @brief True while the upstream itself says that it is leaving. */
    bool m_leaving{false};
    /** @brief True if its rack was judged as failed, until a probe or a job succeeds. */
    bool m_rack_failed{false};
};

/** @brief Tells whether an upstream should be ejected. */
[[nodiscard]] constexpr auto is_bad(const upstream_health& health) noexcept -> bool
{
    return health.m_failure_run >= bad_failure_run || health.m_rack_failed;
}

/** @brief Tells whether an upstream is used only if no sound one has a free slot. */
[[nodiscard]] constexpr auto is_doubtful(const upstream_health& health) noexcept -> bool
{
    return health.m_failure_run > 0 || health.m_success < 0.75;
}

/**
 * @brief Counts an answered job.
 * @param health The health.
 */
constexpr auto count_success(upstream_health& health) noexcept -> void
{
    health.m_failure_run = 0;
    health.m_rack_failed = false;
    health.m_leaving = false;
    health.m_success += (1.0 - health.m_success) / 8.0;
    health.m_probe_interval = probe_interval;
}

/**
 * @brief Counts a failed, silent or lost job.
 * @param health The health.
 * @param now Current time.
 */
constexpr auto count_failure(upstream_health& health, const time_point now) noexcept -> void
{
    ++health.m_failure_run;
    health.m_success -= health.m_success / 8.0;
    health.m_last_failure = now;
    health.m_probe_successes = 0;
}

/**
 * @brief Counts a probe.
 * @param health The health.
 * @param answered True if the upstream said that it is fit for work.
 */
constexpr auto count_probe(upstream_health& health, const bool answered) noexcept -> void
{
    health.m_probe_successes = answered ? health.m_probe_successes + 1 : 0;
    if (health.m_probe_successes >= probes_to_return) {
        health.m_probe_successes = 0;
        health.m_rack_failed = false;
        health.m_leaving = false;
        // A probe does not run a job: the next failure ejects the upstream again, with rarer probes.
        health.m_failure_run = std::min(health.m_failure_run, bad_failure_run - 1);
        health.m_probe_interval = std::min(health.m_probe_interval * 2, longest_probe_interval);
    }
}

} // namespace cicadalug

#endif
