#ifndef CICADALUG_ROUTING_RETRY_BUDGET_HPP
#define CICADALUG_ROUTING_RETRY_BUDGET_HPP

#include <algorithm>

namespace cicadalug {

/**
 * @brief Retries that a service can make in one burst after an idle period: the capacity of the token bucket. It covers
 * the attempts that are lost when one rack fails.
 */
inline constexpr double retry_burst = 20.0;

/** @brief Token bucket that limits the retries of one service. */
struct retry_budget {
    double m_tokens{retry_burst};
};

/**
 * @brief Adds the tokens earned by one first attempt.
 * @param budget The budget.
 * @param ratio Retries allowed as a fraction of first attempts.
 */
constexpr auto count_first_attempt(retry_budget& budget, const double ratio) noexcept -> void
{
    budget.m_tokens = std::min(retry_burst, budget.m_tokens + ratio);
}

/**
 * @brief Takes the token for one retry.
 * @param budget The budget.
 * @return True if the retry is allowed, false if the budget is exhausted.
 */
[[nodiscard]] constexpr auto take_retry(retry_budget& budget) noexcept -> bool
{
    if (budget.m_tokens < 1.0) {
        return false;
    }
    budget.m_tokens -= 1.0;
    return true;
}

/**
 * @brief Refunds the retries of a job that was reported as one that can never run.
 * @param budget The budget.
 * @param retries Number of retries that the job used.
 */
constexpr auto refund_retries(retry_budget& budget, const int retries) noexcept -> void
{
    budget.m_tokens = std::min(retry_burst, budget.m_tokens + retries);
}

} // namespace cicadalug

#endif
