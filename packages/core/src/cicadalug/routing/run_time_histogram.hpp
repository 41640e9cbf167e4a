#ifndef CICADALUG_ROUTING_RUN_TIME_HPP
#define CICADALUG_ROUTING_RUN_TIME_HPP

#include <cicadalug/base/time.hpp>

#include <array>
#include <cstddef>

namespace cicadalug {

/** @brief Run times of one kind of job: a histogram with four classes per doubling, from 0.1 ms to about 2 h. */
struct run_time {
    static constexpr std::size_t classes = 104;
    std::array<float, classes> m_counts{};
    float m_total{0};
    /** @brief Mean in microseconds. */
    double m_mean{0};
    /** @brief Run times seen, the declared one excluded. */
    std::size_t m_samples{0};
};

/**
 * @brief Makes the run times known before the first observation.
 * @param declared Run time that the operator declared; it is outweighed after a few observations.
 * @return The run times.
 */
[[nodiscard]] auto make_run_time(milliseconds declared) -> run_time;

/**
 * @brief Adds an observation. Older observations lose weight.
 * @param times The run times.
 * @param sample Time from the start of the attempt to its whole answer, or the time after which it was given up.
 */
auto learn(run_time& times, microseconds sample) noexcept -> void;

/**
 * @brief Returns a percentile.
 * @param times The run times.
 * @param share Share of the run times that are at most as long as the result, from 0 to 1.
 * @return Upper end of the class that the percentile falls into.
 */
[[nodiscard]] auto percentile(const run_time& times, double share) noexcept -> microseconds;

} // namespace cicadalug

#endif
