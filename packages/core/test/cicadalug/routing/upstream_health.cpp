#include <cicadalug/routing/upstream_health.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against an upstream that is never readmitted, and against one that passes probes but fails all jobs.
TEST(upstream_health, probes_readmit_an_upstream_until_its_next_failure)
{
    upstream_health health;
    for (auto run = 0; run < failure_threshold; ++run) {
        EXPECT_FALSE(is_failing(health));
        count_failure(health, time_point{});
    }
    EXPECT_TRUE(is_failing(health));
    count_probe(health, true);
    count_probe(health, false);
    count_probe(health, true);
    EXPECT_TRUE(is_failing(health));
    count_probe(health, true);
    EXPECT_FALSE(is_failing(health));
    EXPECT_TRUE(is_unreliable(health));
    EXPECT_GT(health.m_probe_interval, probe_interval);
    count_failure(health, time_point{});
    EXPECT_TRUE(is_failing(health));
    count_success(health);
    EXPECT_FALSE(is_failing(health));
}

} // namespace
