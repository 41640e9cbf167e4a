#include <cicadalug/routing/upstream_choice.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace {

using namespace cicadalug;

[[nodiscard]] auto choose(ranked_upstreams& ranked, const std::vector<upstream_index>& tried) -> int
{
    auto chosen = -1;
    const auto is_tried = [&](const upstream_index upstream) {
        return std::find(tried.begin(), tried.end(), upstream) != tried.end();
    };
    const auto take = [&](const upstream_index upstream) {
        chosen = static_cast<int>(upstream);
        return true;
    };
    return choose_upstream(ranked, is_tried, take) ? chosen : -1;
}

// Guards against work for a failing upstream while a healthy one has a free slot, and against a retry on the same one.
TEST(upstream_choice, prefers_healthy_upstreams_with_free_slots_that_were_not_tried)
{
    upstream_health healthy;
    upstream_health unreliable;
    count_failure(unreliable, time_point{});
    upstream_health failing;
    for (auto run = 0; run < failure_threshold; ++run) {
        count_failure(failing, time_point{});
    }
    ranked_upstreams ranked;
    std::vector<ranked_place> places(4);
    set_rank(ranked, places, 0, rank_upstream(failing, 8));
    set_rank(ranked, places, 1, rank_upstream(unreliable, 8));
    set_rank(ranked, places, 2, rank_upstream(healthy, 1));
    set_rank(ranked, places, 3, rank_upstream(healthy, 2));
    EXPECT_EQ(choose(ranked, {}), 3);
    EXPECT_EQ(choose(ranked, {3}), 2);
    EXPECT_EQ(choose(ranked, {2, 3}), 1);
    EXPECT_EQ(choose(ranked, {0, 1, 2, 3}), 3);
    set_rank(ranked, places, 3, rank_upstream(healthy, 0));
    set_rank(ranked, places, 2, unavailable_rank);
    set_rank(ranked, places, 1, unavailable_rank);
    EXPECT_EQ(choose(ranked, {}), 0);
    set_rank(ranked, places, 0, unavailable_rank);
    EXPECT_EQ(choose(ranked, {}), -1);
}

} // namespace
