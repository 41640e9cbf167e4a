#include <cicadalug/routing/overflow.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>
#include <vector>

namespace {

using namespace cicadalug;

// Guards against overflow that uses the promised capacity of the spare pool.
TEST(overflow, stops_at_the_promised_capacity)
{
    EXPECT_EQ(promised_slots(27, 8, 10), 22);
    EXPECT_TRUE(is_overflow_allowed({27, 22, 4, 0}));
    EXPECT_FALSE(is_overflow_allowed({27, 22, 5, 0}));
    EXPECT_FALSE(is_overflow_allowed({27, 22, 0, 1}));
}

// Guards against parts of the entry VMs that add up to less than the promised slots, or that leave surplus slots
// unused.
RC_GTEST_PROP(overflow, promised_shares_add_up, ())
{
    const auto shares = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
    const auto all = std::accumulate(shares.begin(), shares.end(), 0);
    const auto promised = *rc::gen::inRange(0, all + 1);
    auto before = 0;
    auto sum = 0;
    for (const auto own : shares) {
        const auto part = promised_share(before, own, all, promised);
        RC_ASSERT(part >= 0 && part <= own);
        sum += part;
        before += own;
    }
    RC_ASSERT(sum == promised);
}

} // namespace
