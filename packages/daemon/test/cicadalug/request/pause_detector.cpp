#include <cicadalug/request/pause_detector.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

[[nodiscard]] auto at(const int ms) -> time_point
{
    return time_point{milliseconds{ms}};
}

// Guards against a stale view that is trusted, or distrusted for longer than the limit.
TEST(pause_detector, view_is_stale_after_a_jump_until_news_or_the_limit)
{
    pause_detector detector{{}, at(0)};
    EXPECT_FALSE(detector.is_stale(at(1'000)));
    EXPECT_TRUE(detector.is_stale(at(2'001)));
    EXPECT_TRUE(detector.is_stale(at(2'900)));
    EXPECT_TRUE(detector.is_stale(at(3'800)));
    EXPECT_FALSE(detector.is_stale(at(4'001)));
    EXPECT_TRUE(detector.is_stale(at(6'000)));
    detector.record_contact(at(6'100));
    EXPECT_FALSE(detector.is_stale(at(6'100)));
    EXPECT_EQ(detector.pauses(), 2);
}

// Guards against news that was received before the pause and is read after it: a look comes first, and finds the jump.
TEST(pause_detector, news_does_not_hide_a_jump)
{
    pause_detector detector{{}, at(0)};
    detector.record_contact(at(5'000));
    EXPECT_EQ(detector.pauses(), 1);
}

} // namespace
