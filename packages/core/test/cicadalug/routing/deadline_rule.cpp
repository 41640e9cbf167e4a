#include <cicadalug/routing/deadline_rule.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against slots wasted on jobs that miss their deadline, and against refusing all jobs with short deadlines.
TEST(deadline_rule, needed_time_is_bounded_by_the_allowed_time)
{
    auto times = make_run_time_histogram(milliseconds{100});
    for (auto count = 0; count < 100; ++count) {
        record_run_time(times, milliseconds{count < 90 ? 100 : 1'000});
    }
    EXPECT_GE(needed_time(times, seconds{10}), seconds{1});
    EXPECT_EQ(needed_time(times, milliseconds{800}), milliseconds{400});
    EXPECT_GE(needed_time(times, milliseconds{50}), milliseconds{100});
    EXPECT_EQ(estimated_wait(9, 10, 100'000.0), milliseconds{100});
    EXPECT_EQ(retry_delay(microseconds{1'000'001}), milliseconds{1'001});
}

} // namespace
