#include <cicadalug/routing/upstream_health.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against an upstream that never comes back, and against one that passes probes but fails all jobs.
TEST(upstream_health, probes_bring_an_upstream_back_on_trial)
{
    upstream_health health;
    for (auto run = 0; run < bad_failure_run; ++run) {
        EXPECT_FALSE(is_bad(health));
        count_failure(health, time_point{});
    }
    EXPECT_TRUE(is_bad(health));
    count_probe(health, true);
    count_probe(health, false);
    count_probe(health, true);
    EXPECT_TRUE(is_bad(health));
    count_probe(health, true);
    EXPECT_FALSE(is_bad(health));
    EXPECT_TRUE(is_doubtful(health));
    EXPECT_GT(health.m_probe_interval, probe_interval);
    count_failure(health, time_point{});
    EXPECT_TRUE(is_bad(health));
    count_success(health);
    EXPECT_FALSE(is_bad(health));
}

} // namespace
