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

// Guards against work for a failing upstream while a sound one has a free slot, and against a repeat on the same one.
TEST(upstream_choice, prefers_sound_upstreams_with_free_slots_that_were_not_tried)
{
    upstream_health sound;
    upstream_health doubtful;
    count_failure(doubtful, time_point{});
    upstream_health bad;
    for (auto run = 0; run < bad_failure_run; ++run) {
        count_failure(bad, time_point{});
    }
    ranked_upstreams ranked;
    std::vector<ranked_place> places(4);
    set_rank(ranked, places, 0, rank_upstream(bad, 8));
    set_rank(ranked, places, 1, rank_upstream(doubtful, 8));
    set_rank(ranked, places, 2, rank_upstream(sound, 1));
    set_rank(ranked, places, 3, rank_upstream(sound, 2));
    EXPECT_EQ(choose(ranked, {}), 3);
    EXPECT_EQ(choose(ranked, {3}), 2);
    EXPECT_EQ(choose(ranked, {2, 3}), 1);
    EXPECT_EQ(choose(ranked, {0, 1, 2, 3}), 3);
    set_rank(ranked, places, 3, rank_upstream(sound, 0));
    set_rank(ranked, places, 2, no_work_rank);
    set_rank(ranked, places, 1, no_work_rank);
    EXPECT_EQ(choose(ranked, {}), 0);
    set_rank(ranked, places, 0, no_work_rank);
    EXPECT_EQ(choose(ranked, {}), -1);
}

} // namespace
