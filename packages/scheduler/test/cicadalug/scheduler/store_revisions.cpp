#include <cicadalug/scheduler/store_revisions.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace cicadalug::test {

namespace {

constexpr time_point start{milliseconds{5'000}};

[[nodiscard]] auto make_changes(const std::uint64_t reached, const std::size_t count) -> store_changes
{
    store_changes changes;
    changes.m_status = store_status::ok;
    changes.m_changes.resize(count);
    changes.m_revision = store_revision{reached};
    return changes;
}

} // namespace

// Guards against a copy that looks recent although a response contained only the first of the stored changes.
TEST(store_revisions, a_response_that_ends_before_a_known_revision_proves_only_what_it_reached)
{
    store_revisions revisions;
    const auto sent = start + milliseconds{3'000};
    EXPECT_FALSE(copy_time(revisions, make_changes(10, 1), sent, store_revision{20}));
    record_reading(revisions, start, store_revision{10});
    record_reading(revisions, start + milliseconds{1'000}, store_revision{20});
    record_reading(revisions, start + milliseconds{2'000}, store_revision{30});
    EXPECT_FALSE(copy_time(revisions, make_changes(9, 1), sent, revisions.m_highest));
    EXPECT_EQ(copy_time(revisions, make_changes(10, 1), sent, revisions.m_highest), start);
    EXPECT_EQ(copy_time(revisions, make_changes(29, 1), sent, revisions.m_highest), start + milliseconds{1'000});
    EXPECT_EQ(copy_time(revisions, make_changes(30, 1), sent, revisions.m_highest), sent);
}

// Guards against a watch without changes that looks complete although it ended before a known revision.
TEST(store_revisions, a_response_without_changes_is_complete_only_at_a_known_revision)
{
    store_revisions revisions;
    record_reading(revisions, start, store_revision{10});
    record_revision(revisions, store_revision{12});
    const auto sent = start + milliseconds{500};
    EXPECT_EQ(copy_time(revisions, make_changes(10, 0), sent, revisions.m_highest), start);
    EXPECT_EQ(copy_time(revisions, make_changes(12, 0), sent, revisions.m_highest), sent);
}

// Guards against a copy that ages although nothing changes, which would suspend all starts on an idle store.
TEST(store_revisions, a_copy_of_an_idle_store_stays_current)
{
    store_revisions revisions;
    record_reading(revisions, start, store_revision{10});
    for (int watch = 1; watch <= 20; ++watch) {
        const auto sent = start + watch * milliseconds{500};
        EXPECT_EQ(copy_time(revisions, make_changes(10, 0), sent, revisions.m_highest), sent);
    }
}

// Guards against a page of a long backlog that is taken for all changes, as no other call has shown a later revision.
TEST(store_revisions, a_response_with_many_changes_may_be_a_part)
{
    store_revisions revisions;
    record_reading(revisions, start, store_revision{10});
    const auto sent = start + milliseconds{500};
    EXPECT_EQ(copy_time(revisions, make_changes(900, max_complete_changes), sent, revisions.m_highest), sent);
    EXPECT_EQ(copy_time(revisions, make_changes(900, max_complete_changes + 1), sent, revisions.m_highest), start);
}

// Guards against a revision that was known after the watch was sent: the response need not contain it.
TEST(store_revisions, a_revision_that_becomes_known_during_a_watch_does_not_make_it_incomplete)
{
    store_revisions revisions;
    record_reading(revisions, start, store_revision{10});
    const auto known = revisions.m_highest;
    const auto sent = start + milliseconds{500};
    record_reading(revisions, start + milliseconds{600}, store_revision{20});
    EXPECT_EQ(copy_time(revisions, make_changes(15, 1), sent, known), sent);
}

// Guards against a response without a revision, which would prove that any copy is current.
TEST(store_revisions, a_response_without_a_revision_proves_nothing)
{
    store_revisions revisions;
    record_reading(revisions, start, store_revision{0});
    EXPECT_EQ(proven_time(revisions, store_revision{50}), std::nullopt);
}

// Guards against readings that grow without limit, and against a late response that would prove too much.
TEST(store_revisions, readings_are_few_and_in_order)
{
    store_revisions revisions;
    record_reading(revisions, start, store_revision{10});
    record_reading(revisions, start + milliseconds{5}, store_revision{11});
    EXPECT_EQ(revisions.m_readings.size(), 1U);
    EXPECT_EQ(revisions.m_highest, store_revision{11});
    record_reading(revisions, start + milliseconds{40}, store_revision{9});
    EXPECT_EQ(revisions.m_readings.size(), 1U);
    EXPECT_EQ(revisions.m_highest, store_revision{11});
    for (std::uint64_t number = 0; number < 2 * max_readings; ++number) {
        record_reading(revisions, start + milliseconds{100 + 30 * static_cast<int>(number)},
                       store_revision{20 + number});
    }
    EXPECT_EQ(revisions.m_readings.size(), max_readings);
    EXPECT_EQ(proven_time(revisions, store_revision{15}), std::nullopt) << "too old to be known";
}

// Guards against a revision that is dated earlier than it was reached, and against one that is dated by a later
// response as the first one came soon after another.
TEST(store_revisions, a_revision_is_dated_by_the_first_response_that_shows_it)
{
    store_revisions revisions;
    EXPECT_FALSE(time_reached(revisions, store_revision{1}));
    record_arrival(revisions, store_revision{0}, start);
    EXPECT_FALSE(time_reached(revisions, store_revision{1}));
    record_arrival(revisions, store_revision{10}, start);
    record_arrival(revisions, store_revision{11}, start + milliseconds{10});
    record_arrival(revisions, store_revision{12}, start + milliseconds{20});
    record_arrival(revisions, store_revision{12}, start + milliseconds{900});
    record_arrival(revisions, store_revision{20}, start + milliseconds{1'500});
    EXPECT_EQ(time_reached(revisions, store_revision{9}), start);
    EXPECT_EQ(time_reached(revisions, store_revision{10}), start);
    EXPECT_GE(*time_reached(revisions, store_revision{11}), start + milliseconds{10});
    EXPECT_LE(*time_reached(revisions, store_revision{11}), start + milliseconds{10} + arrival_interval);
    EXPECT_EQ(time_reached(revisions, store_revision{12}), start + milliseconds{20});
    EXPECT_EQ(time_reached(revisions, store_revision{13}), start + milliseconds{1'500});
    EXPECT_FALSE(time_reached(revisions, store_revision{21}));
}

// Guards against memory that grows with the number of responses.
TEST(store_revisions, only_the_last_arrivals_are_kept)
{
    store_revisions revisions;
    for (std::uint64_t number = 1; number <= 2 * max_arrivals; ++number) {
        record_arrival(revisions, store_revision{number}, start + arrival_interval * static_cast<int>(number));
    }
    EXPECT_EQ(revisions.m_reached.size(), max_arrivals);
    EXPECT_EQ(time_reached(revisions, store_revision{1}), revisions.m_reached.front().m_by);
}

} // namespace cicadalug::test
