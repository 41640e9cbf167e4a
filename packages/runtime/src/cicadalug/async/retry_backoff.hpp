#ifndef CICADALUG_ASYNC_RETRY_BACKOFF_HPP
#define CICADALUG_ASYNC_RETRY_BACKOFF_HPP

#include <cicadalug/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <string_view>

namespace cicadalug {

/**
 * @brief Pauses between the attempts of a call that is repeated until it succeeds. They grow with the number of
 * consecutive failures and have a random part, so that processes that start at once do not repeat at once.
 * @note Thread safety: none.
 */
class retry_backoff {
public:
    /**
     * @brief Constructs a back-off without failures.
     * @pre 0 < first <= longest.
     * @param name Seeds the random part; differs between the processes.
     * @param first Longest pause after the first failure.
     * @param longest Longest pause after any number of failures.
     */
    retry_backoff(const std::string_view name, const milliseconds first, const milliseconds longest)
        : m_random{std::hash<std::string_view>{}(name)}, m_first{first}, m_longest{longest}
    {
    }

    /** @brief Counts a failure and returns the pause before the next attempt, from half of the longest one to all. */
    [[nodiscard]] auto next_pause() -> milliseconds
    {
        const auto limit = scaled(m_first, m_longest);
        m_failures = std::min(m_failures + 1, max_doublings);
        std::uniform_int_distribution<std::int64_t> pause{limit.count() / 2, limit.count()};
        return milliseconds{pause(m_random)};
    }

    /** @brief Returns a time that doubles with each failure since the last success, as a time limit of the next
     * attempt. @pre 0 < first <= longest. */
    [[nodiscard]] auto scaled(const milliseconds first, const milliseconds longest) const -> milliseconds
    {
        return std::min(first * (std::int64_t{1} << m_failures), longest);
    }

    /** @brief Records a success. */
    auto reset() noexcept -> void { m_failures = 0; }

private:
    static constexpr int max_doublings{16};

    std::mt19937_64 m_random;
    milliseconds m_first;
    milliseconds m_longest;
    int m_failures{0};
};

} // namespace cicadalug

#endif
