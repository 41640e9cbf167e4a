#include <cicadalug/routing/attempt_outcome.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against a second start of a job that may have run.
TEST(attempt_outcome, non_idempotent_is_retried_only_when_not_run)
{
    for (auto value = 0; value <= static_cast<int>(attempt_outcome::cancelled); ++value) {
        const auto outcome = static_cast<attempt_outcome>(value);
        EXPECT_TRUE(!may_retry(outcome, false) || is_not_run(outcome)) << value;
        EXPECT_FALSE(is_not_run(outcome) && may_still_run(outcome)) << value;
    }
    EXPECT_TRUE(may_retry(attempt_outcome::failed, true));
    EXPECT_FALSE(may_retry(attempt_outcome::never_runs, true));
}

} // namespace
