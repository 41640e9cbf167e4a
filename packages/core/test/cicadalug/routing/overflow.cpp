#include <cicadalug/routing/overflow.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against overflow that takes the promised capacity of the spare pool.
TEST(overflow, stops_at_the_promised_capacity)
{
    EXPECT_EQ(promised_share(27, 8, 10), 22);
    EXPECT_TRUE(may_overflow({27, 22, 4, 0}));
    EXPECT_FALSE(may_overflow({27, 22, 5, 0}));
    EXPECT_FALSE(may_overflow({27, 22, 0, 1}));
}

} // namespace
