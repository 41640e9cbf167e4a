#include <cicadalug/scheduler/takeover.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

constexpr time_point start{microseconds{1'000'000}};

} // namespace

// Guards against a takeover that does completed steps again after a failure, and never ends in a slow store.
TEST(takeover, a_failure_repeats_the_current_step_only)
{
    auto state = begin_takeover(start);
    complete_step(state, start + milliseconds{10});
    complete_step(state, start + milliseconds{20});
    EXPECT_EQ(state.m_step, takeover_step::read_jobs);
    count_failure(state);
    EXPECT_EQ(state.m_step, takeover_step::read_jobs);
    complete_step(state, start + milliseconds{500});
    EXPECT_EQ(state.m_step, takeover_step::read_progress);
    EXPECT_EQ(duration_of(state, takeover_step::read_jobs), milliseconds{480});
    EXPECT_EQ(state.m_failures, 1);
    EXPECT_EQ(state.m_step_failures, 0);
}

// Guards against a decider that keeps its term although it cannot load, while one that reads slowly continues.
TEST(takeover, is_stalled_without_progress_only)
{
    auto state = begin_takeover(start);
    complete_step(state, start + milliseconds{100});
    const auto late = start + milliseconds{100} + takeover_stall_limit;
    EXPECT_FALSE(is_stalled(state, late));
    EXPECT_TRUE(is_stalled(state, late + milliseconds{1}));
    record_progress(state, late);
    EXPECT_FALSE(is_stalled(state, late + milliseconds{1}));
    while (state.m_step != takeover_step::done) {
        complete_step(state, late);
    }
    EXPECT_FALSE(is_stalled(state, late + takeover_stall_limit * 2)) << "a takeover that has ended";
}

// Guards against an index out of the table of durations after the last step.
TEST(takeover, ends_after_the_last_step)
{
    auto state = begin_takeover(start);
    for (std::size_t step = 0; step < takeover_steps; ++step) {
        EXPECT_NE(state.m_step, takeover_step::done);
        complete_step(state, start);
    }
    EXPECT_EQ(state.m_step, takeover_step::done);
    EXPECT_EQ(name_of(state.m_step), "done");
}
