#include <cicadalug/routing/ejection.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against ejections that reduce a pool below its promised capacity.
TEST(ejection, lowest_success_rates_are_ejected_first_within_the_allowance)
{
    const std::vector<ejection_candidate> candidates{{0, true, 0.5}, {1, false, 0.1}, {2, true, 0.2}, {3, true, 0.9}};
    EXPECT_EQ(choose_ejected(candidates, 2), (std::vector<upstream_index>{0, 2}));
    EXPECT_TRUE(choose_ejected(candidates, 0).empty());
    EXPECT_EQ(choose_ejected(candidates, 9).size(), 3U);
}

// Guards against ejecting so many upstreams that a zone no longer provides its part of the promised capacity.
TEST(ejection, the_allowance_preserves_the_promised_capacity_of_the_zone)
{
    EXPECT_EQ(ejection_allowance(10, 10, 10, 8), 2);
    EXPECT_EQ(ejection_allowance(7, 10, 10, 8), 0);
    EXPECT_EQ(ejection_allowance(4, 4, 12, 7), 1);
    EXPECT_EQ(ejection_allowance(0, 0, 0, 3), 0);
}

// Guards against a failed rack that keeps getting work until each of its upstreams has failed several times.
TEST(ejection, a_rack_fails_when_most_of_its_upstreams_fail_together)
{
    const time_point now{seconds{100}};
    upstream_health healthy;
    upstream_health failed;
    count_failure(failed, now);
    EXPECT_TRUE(is_rack_failed({&failed, &failed, &failed, &healthy}, now));
    EXPECT_FALSE(is_rack_failed({&failed, &failed, &healthy, &healthy}, now));
    EXPECT_FALSE(is_rack_failed({&failed}, now));
    EXPECT_FALSE(is_rack_failed({&failed, &failed}, now + seconds{3}));
}

} // namespace
