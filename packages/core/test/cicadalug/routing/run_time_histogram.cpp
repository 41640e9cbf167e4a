#include <cicadalug/routing/run_time.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against a declared run time that outlives the observations that contradict it.
TEST(run_time, observations_replace_the_declared_run_time)
{
    auto times = make_run_time(seconds{60});
    for (auto count = 0; count < 100; ++count) {
        learn(times, milliseconds{10});
    }
    EXPECT_LT(times.m_mean, 11'000.0);
    EXPECT_LT(percentile(times, 0.95), milliseconds{13});
    for (auto count = 0; count < 2'000; ++count) {
        learn(times, milliseconds{300});
    }
    EXPECT_GT(percentile(times, 0.5), milliseconds{290});
    EXPECT_GT(times.m_mean, 290'000.0);
}

// Guards against percentiles that are off by more than the width of a class.
TEST(run_time, percentiles_are_within_a_class)
{
    auto times = make_run_time(milliseconds{1});
    for (auto count = 1; count <= 400; ++count) {
        learn(times, milliseconds{count});
    }
    EXPECT_GE(percentile(times, 0.5), milliseconds{199});
    EXPECT_LT(percentile(times, 0.5), milliseconds{240});
    EXPECT_GE(percentile(times, 0.99), milliseconds{396});
    EXPECT_LT(percentile(times, 0.99), milliseconds{476});
}

} // namespace
