#include <cicadalug/routing/retry_budget.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against retries that multiply the load of a failing service.
TEST(retry_budget, allows_a_fraction_of_first_attempts)
{
    retry_budget budget;
    auto retries = 0;
    for (auto count = 0; count < 1'000; ++count) {
        count_first_attempt(budget, 0.1);
        retries += take_retry(budget) ? 1 : 0;
    }
    EXPECT_LE(retries, 100 + static_cast<int>(retry_burst));
    EXPECT_GE(retries, 100);
}

// Guards against jobs that can never run and exhaust the retry budget of the others.
TEST(retry_budget, refunds_the_retries_of_a_job_that_never_runs)
{
    retry_budget budget{1.0};
    ASSERT_TRUE(take_retry(budget));
    ASSERT_FALSE(take_retry(budget));
    refund_retries(budget, 1);
    EXPECT_TRUE(take_retry(budget));
}

} // namespace
