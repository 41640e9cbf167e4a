#ifndef CICADALUG_SCHEDULER_DURATION_ESTIMATE_HPP
#define CICADALUG_SCHEDULER_DURATION_ESTIMATE_HPP

#include <cmath>
#include <cstdint>

namespace cicadalug {

/** @brief Exponential mean of a duration, and of its deviation from that mean. */
struct duration_estimate {
    double m_mean_ms{0.0};
    /** @brief Mean absolute deviation from the mean, in milliseconds. */
    double m_deviation_ms{0.0};
    std::int64_t m_samples{0};
};

/**
 * @brief Adds a sample to an estimate. The first sample becomes the mean.
 * @param estimate Estimate to update.
 * @param sample_ms The sample in milliseconds; negative if a duration is measured relative to an expected one.
 */
inline auto add_sample(duration_estimate& estimate, const double sample_ms) -> void
{
    constexpr double weight{0.1};
    estimate.m_mean_ms =
        estimate.m_samples == 0 ? sample_ms : estimate.m_mean_ms + weight * (sample_ms - estimate.m_mean_ms);
    estimate.m_deviation_ms += weight * (std::abs(sample_ms - estimate.m_mean_ms) - estimate.m_deviation_ms);
    ++estimate.m_samples;
}

} // namespace cicadalug

#endif
