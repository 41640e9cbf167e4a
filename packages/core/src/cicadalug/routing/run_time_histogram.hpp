#ifndef CICADALUG_ROUTING_RUN_TIME_HISTOGRAM_HPP
#define CICADALUG_ROUTING_RUN_TIME_HISTOGRAM_HPP

#include <cicadalug/base/time.hpp>

#include <array>
#include <cstddef>

namespace cicadalug {

/** @brief Run times of one kind of job, as a histogram with four buckets per doubling, from 0.1 ms to about 2 h. */
struct run_time_histogram {
    static constexpr std::size_t bucket_count = 104;
    std::array<float, bucket_count> m_counts{};
    float m_total{0};
    /** @brief Mean in microseconds. */
    double m_mean{0};
    /** @brief Number of observations, excluding the declared run time. */
    std::size_t m_samples{0};
};

/**
 * @brief Creates a histogram that holds only the declared run time.
 * @param declared Run time declared by the operator; a few observations outweigh it.
 * @return The histogram.
 */
[[nodiscard]] auto make_run_time_histogram(milliseconds declared) -> run_time_histogram;

/**
 * @brief Adds an observation. Older observations lose weight.
 * @param times The histogram.
 * @param sample Time from the start of the attempt to its complete response, or to its timeout.
 */
auto record_run_time(run_time_histogram& times, microseconds sample) noexcept -> void;

/**
 * @brief Returns a percentile.
 * @param times The histogram.
 * @param share Share of the run times that are at most as long as the result, from 0 to 1.
 * @return Upper bound of the bucket that contains the percentile.
 */
[[nodiscard]] auto percentile(const run_time_histogram& times, double share) noexcept -> microseconds;

} // namespace cicadalug

#endif
