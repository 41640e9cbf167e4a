#include <cicadalug/routing/run_time_histogram.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against a declared run time that still dominates after observations that contradict it.
TEST(run_time_histogram, observations_replace_the_declared_run_time)
{
    auto times = make_run_time_histogram(seconds{60});
    for (auto count = 0; count < 100; ++count) {
        record_run_time(times, milliseconds{10});
    }
    EXPECT_LT(times.m_mean, 11'000.0);
    EXPECT_LT(percentile(times, 0.95), milliseconds{13});
    for (auto count = 0; count < 2'000; ++count) {
        record_run_time(times, milliseconds{300});
    }
    EXPECT_GT(percentile(times, 0.5), milliseconds{290});
    EXPECT_GT(times.m_mean, 290'000.0);
}

// Guards against percentiles that are off by more than the width of a bucket.
TEST(run_time_histogram, percentiles_are_within_a_bucket)
{
    auto times = make_run_time_histogram(milliseconds{1});
    for (auto count = 1; count <= 400; ++count) {
        record_run_time(times, milliseconds{count});
    }
    EXPECT_GE(percentile(times, 0.5), milliseconds{199});
    EXPECT_LT(percentile(times, 0.5), milliseconds{240});
    EXPECT_GE(percentile(times, 0.99), milliseconds{396});
    EXPECT_LT(percentile(times, 0.99), milliseconds{476});
}

} // namespace
