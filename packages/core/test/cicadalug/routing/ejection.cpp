#include <cicadalug/routing/ejection.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against ejections that take a pool below its promised capacity.
TEST(ejection, the_fewest_successes_go_first_within_the_allowance)
{
    const std::vector<ejection_candidate> candidates{{0, true, 0.5}, {1, false, 0.1}, {2, true, 0.2}, {3, true, 0.9}};
    EXPECT_EQ(choose_ejected(candidates, 2), (std::vector<upstream_index>{0, 2}));
    EXPECT_TRUE(choose_ejected(candidates, 0).empty());
    EXPECT_EQ(choose_ejected(candidates, 9).size(), 3U);
}

// Guards against a zone that gives up more than its part of the promise.
TEST(ejection, the_allowance_leaves_the_zone_its_part_of_the_promise)
{
    EXPECT_EQ(ejection_allowance(10, 10, 10, 8), 2);
    EXPECT_EQ(ejection_allowance(7, 10, 10, 8), 0);
    EXPECT_EQ(ejection_allowance(4, 4, 12, 7), 1);
    EXPECT_EQ(ejection_allowance(0, 0, 0, 3), 0);
}

// Guards against a rack that keeps getting work until each of its upstreams has failed often.
TEST(ejection, a_rack_fails_when_most_of_its_upstreams_fail_together)
{
    const time_point now{seconds{100}};
    upstream_health sound;
    upstream_health failed;
    count_failure(failed, now);
    EXPECT_TRUE(is_rack_failed({&failed, &failed, &failed, &sound}, now));
    EXPECT_FALSE(is_rack_failed({&failed, &failed, &sound, &sound}, now));
    EXPECT_FALSE(is_rack_failed({&failed}, now));
    EXPECT_FALSE(is_rack_failed({&failed, &failed}, now + seconds{3}));
}

} // namespace
