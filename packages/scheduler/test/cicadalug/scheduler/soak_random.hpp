#ifndef CICADALUG_SCHEDULER_TEST_SOAK_RANDOM_HPP
#define CICADALUG_SCHEDULER_TEST_SOAK_RANDOM_HPP

#include <cicadalug/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <random>

namespace cicadalug::test {

/** @brief A sequence of random numbers, the same on all machines for the same seed. */
class soak_random {
public:
    explicit soak_random(const std::uint64_t seed) : m_engine{seed} {}

    /** @brief Returns a number from 0 to below the limit. */
    [[nodiscard]] auto number(const std::int64_t limit) -> std::int64_t
    {
        return static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, limit)));
    }

    /** @brief Returns a time between two bounds, which are included. */
    [[nodiscard]] auto time(const std::int64_t least_ms, const std::int64_t most_ms) -> milliseconds
    {
        return milliseconds{least_ms + number(most_ms - least_ms + 1)};
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace cicadalug::test

#endif
