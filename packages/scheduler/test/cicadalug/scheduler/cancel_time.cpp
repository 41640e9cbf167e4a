#include <cicadalug/scheduler/cancel_time.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against delays that are computed from the constant of earlier versions or from a damaged value.
TEST(cancel_time, a_value_without_a_time_has_no_delay)
{
    constexpr std::int64_t now{1'790'000'000'000};
    EXPECT_EQ(cancel_delay(encode_cancel_time(now - 350), now), milliseconds{350});
    for (const auto* value : {"1", "", "999999999999", "1790000000000x", "99999999999999999999"}) {
        EXPECT_FALSE(cancel_delay(value, now)) << value;
    }
}

// Guards against negative delays between VMs whose clocks differ.
TEST(cancel_time, a_clock_that_is_behind_gives_no_negative_delay)
{
    constexpr std::int64_t now{1'790'000'000'000};
    EXPECT_EQ(cancel_delay(encode_cancel_time(now + 20), now), milliseconds{0});
}

} // namespace cicadalug::test
