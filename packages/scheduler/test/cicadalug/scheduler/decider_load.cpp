#include <cicadalug/scheduler/decider_load.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

constexpr time_point start{milliseconds{5'000}};

} // namespace

// Guards against a copy whose age falls to zero between two reports although it had not been refreshed for seconds.
TEST(decider_load, a_window_has_the_highest_age_of_a_copy)
{
    decider_load load;
    EXPECT_FALSE(age_of(load.m_jobs, start)) << "nothing has been read yet";
    refresh(load.m_jobs, start, start + milliseconds{10});
    EXPECT_EQ(age_of(load.m_jobs, start + milliseconds{10}), milliseconds{10});
    refresh(load.m_jobs, start + milliseconds{890}, start + milliseconds{900});
    const auto first = take_window(load, start + milliseconds{1'000});
    EXPECT_EQ(first.m_jobs.m_max, milliseconds{900}) << "the age before the second refresh";
    const auto second = take_window(load, start + milliseconds{3'000});
    EXPECT_EQ(second.m_jobs.m_max, milliseconds{2'110}) << "not refreshed in the whole window";
    EXPECT_FALSE(second.m_workers.m_sent);
}

// Guards against a late response to an earlier read that would make the copy look older than it is.
TEST(decider_load, an_earlier_read_does_not_raise_the_age)
{
    copy_age copy;
    refresh(copy, start + milliseconds{100}, start + milliseconds{110});
    refresh(copy, start, start + milliseconds{120});
    EXPECT_EQ(age_of(copy, start + milliseconds{120}), milliseconds{20});
}

// Guards against a response with only a part of the changes that cannot be told from a complete one.
TEST(decider_load, a_response_that_ends_before_a_known_revision_is_counted)
{
    decider_load load;
    store_changes changes;
    changes.m_changes.resize(3);
    changes.m_revision = store_revision{90};
    count_watch(load, changes, store_revision{90});
    EXPECT_EQ(load.m_watches_behind, 0);
    count_watch(load, changes, store_revision{95});
    count_watch(load, changes, store_revision{92});
    changes.m_changes.clear();
    changes.m_revision = store_revision{95};
    count_watch(load, changes, store_revision{92});
    EXPECT_EQ(load.m_watches, 4);
    EXPECT_EQ(load.m_watches_behind, 2);
    EXPECT_EQ(load.m_max_revisions_behind, 5U);
    EXPECT_EQ(load.m_max_changes, 3U);
}

// Guards against counts that are carried into the next window, and against commands that vanish from it.
TEST(decider_load, a_new_window_keeps_only_the_commands_in_flight)
{
    decider_load load;
    load.m_began = start;
    load.m_starts = 3;
    load.m_failed_watches = 2;
    load.m_max_loop_delay = milliseconds{40};
    begin_command(load);
    begin_command(load);
    end_command(load);
    count_cancel(load, milliseconds{700});
    count_cancel(load, std::nullopt);
    count_pass(load, milliseconds{2});
    count_pass(load, milliseconds{3});
    const auto ended = take_window(load, start + milliseconds{1'000});
    EXPECT_EQ(ended.m_began, start);
    EXPECT_EQ(ended.m_starts, 3);
    EXPECT_EQ(ended.m_failed_watches, 2);
    EXPECT_EQ(ended.m_max_loop_delay, milliseconds{40});
    EXPECT_EQ(ended.m_max_commands_in_flight, 2);
    EXPECT_EQ(ended.m_cancels, 2);
    EXPECT_EQ(ended.m_max_cancel_delay, milliseconds{700});
    EXPECT_EQ(ended.m_passes, 2);
    EXPECT_EQ(ended.m_pass_time, milliseconds{5});
    const auto next = take_window(load, start + milliseconds{2'000});
    EXPECT_EQ(next.m_began, start + milliseconds{1'000});
    EXPECT_EQ(next.m_starts, 0);
    EXPECT_EQ(next.m_failed_watches, 0);
    EXPECT_EQ(next.m_max_loop_delay, milliseconds{0});
    EXPECT_EQ(next.m_max_commands_in_flight, 1) << "one command still has no response";
    EXPECT_EQ(next.m_cancels, 0);
    EXPECT_EQ(next.m_max_cancel_delay, milliseconds{0});
    EXPECT_EQ(next.m_passes, 0);
}

} // namespace cicadalug::test
