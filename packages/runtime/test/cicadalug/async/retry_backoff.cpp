#include <cicadalug/async/retry_backoff.hpp>

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace {

using namespace cicadalug;

constexpr milliseconds first{60};
constexpr milliseconds longest{2'000};

} // namespace

// Guards against many processes that repeat a call at the same moments after a common start.
TEST(retry_backoff, pauses_differ_between_processes)
{
    std::set<milliseconds> pauses;
    for (int index = 0; index < 100; ++index) {
        retry_backoff backoff{"entry-" + std::to_string(index), first, first * 100};
        pauses.insert(backoff.next_pause());
    }
    EXPECT_GT(pauses.size(), 15U);
}

// Guards against a constant rate of repetitions while the called service is overloaded.
TEST(retry_backoff, pauses_grow_up_to_a_limit_and_start_again_after_a_success)
{
    retry_backoff backoff{"entry-1", first, longest};
    for (auto limit = first; limit < longest; limit *= 2) {
        const auto pause = backoff.next_pause();
        EXPECT_GE(pause, limit / 2);
        EXPECT_LE(pause, limit);
    }
    for (int repetition = 0; repetition < 100; ++repetition) {
        const auto pause = backoff.next_pause();
        EXPECT_GE(pause, longest / 2);
        EXPECT_LE(pause, longest);
    }
    backoff.reset();
    EXPECT_LE(backoff.next_pause(), first);
}

// Guards against attempts that all end at the same time limit, which is too short for a slow link.
TEST(retry_backoff, a_time_limit_doubles_with_each_failure)
{
    retry_backoff backoff{"entry-1", first, longest};
    EXPECT_EQ(backoff.scaled(milliseconds{500}, milliseconds{3'000}), milliseconds{500});
    static_cast<void>(backoff.next_pause());
    EXPECT_EQ(backoff.scaled(milliseconds{500}, milliseconds{3'000}), milliseconds{1'000});
    static_cast<void>(backoff.next_pause());
    static_cast<void>(backoff.next_pause());
    EXPECT_EQ(backoff.scaled(milliseconds{500}, milliseconds{3'000}), milliseconds{3'000});
}
