#include <cicadalug/request/pause_detector.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

[[nodiscard]] auto at(const int ms) -> time_point
{
    return time_point{milliseconds{ms}};
}

// Guards against using a stale view after a pause, and against treating it as stale for longer than the limit.
TEST(pause_detector, view_is_stale_after_a_pause_until_contact_or_the_limit)
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

// Guards against a pause that is hidden by a message which arrived before the pause and is read after it: recording the
// contact has to detect the pause first.
TEST(pause_detector, recording_contact_does_not_hide_a_pause)
{
    pause_detector detector{{}, at(0)};
    detector.record_contact(at(5'000));
    EXPECT_EQ(detector.pauses(), 1);
}

} // namespace
