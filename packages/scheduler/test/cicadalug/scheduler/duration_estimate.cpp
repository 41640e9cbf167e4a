#include <cicadalug/scheduler/duration_estimate.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against an estimate that begins at zero, or that follows a single sample.
TEST(duration_estimate, the_first_sample_is_the_mean_and_later_ones_change_it_slowly)
{
    duration_estimate estimate;
    add_sample(estimate, 200.0);
    EXPECT_DOUBLE_EQ(estimate.m_mean_ms, 200.0);
    EXPECT_DOUBLE_EQ(estimate.m_deviation_ms, 0.0);
    add_sample(estimate, 300.0);
    EXPECT_DOUBLE_EQ(estimate.m_mean_ms, 210.0);
    EXPECT_DOUBLE_EQ(estimate.m_deviation_ms, 9.0);
    EXPECT_EQ(estimate.m_samples, 2);
}

} // namespace cicadalug::test
