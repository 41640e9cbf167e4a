#include <cicadalug/routing/attempt_outcome.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against running a job a second time that may have run already and is not idempotent.
TEST(attempt_outcome, non_idempotent_is_retried_only_when_not_run)
{
    for (auto value = 0; value <= static_cast<int>(attempt_outcome::cancelled); ++value) {
        const auto outcome = static_cast<attempt_outcome>(value);
        EXPECT_TRUE(!is_retry_allowed(outcome, false) || is_not_run(outcome)) << value;
        EXPECT_FALSE(is_not_run(outcome) && can_still_run(outcome)) << value;
    }
    EXPECT_TRUE(is_retry_allowed(attempt_outcome::failed, true));
    EXPECT_FALSE(is_retry_allowed(attempt_outcome::never_runs, true));
}

} // namespace
