#include <cicadalug/scheduler/lease_bounds.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

constexpr time_point start{milliseconds{1'000'000}};

[[nodiscard]] auto make_bounds() -> lease_bounds
{
    lease_bounds bounds;
    bounds.m_token = fencing_token{1039};
    bounds.m_written = milliseconds{1'200};
    bounds.m_places_since = fencing_token{2};
    bounds.m_leases[worker_id{"left"}] = {milliseconds{5'710}, std::nullopt, milliseconds{23'300}, true, 0};
    bounds.m_leases[worker_id{"restarted"}] = {std::nullopt, milliseconds{9'000}, std::nullopt, false,
                                               1'796'621'234'381};
    return bounds;
}

} // namespace

// Guards against a successor that does not know an end, or takes one worker's for that of another.
TEST(lease_bounds, are_read_as_they_were_written)
{
    const auto bounds = make_bounds();
    const auto read = decode_lease_bounds(encode(bounds));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->m_token, bounds.m_token);
    EXPECT_EQ(read->m_written, bounds.m_written);
    EXPECT_EQ(read->m_places_since, bounds.m_places_since);
    ASSERT_EQ(read->m_leases.size(), bounds.m_leases.size());
    for (const auto& [worker, lease] : bounds.m_leases) {
        const auto& found = read->m_leases.at(worker);
        EXPECT_EQ(found.m_end, lease.m_end);
        EXPECT_EQ(found.m_stale_end, lease.m_stale_end);
        EXPECT_EQ(found.m_late_end, lease.m_late_end);
        EXPECT_EQ(found.m_settled, lease.m_settled);
        EXPECT_EQ(found.m_incarnation_start_unix_ms, lease.m_incarnation_start_unix_ms);
    }
}

// Guards against a successor that counts a lease as ended because it cannot read the value.
TEST(lease_bounds, a_value_that_cannot_be_read_gives_no_bounds)
{
    for (const auto* text :
         {"", "1039", "1039 -", "1039 x", "1039 1200", "1039 1200 2 left", "1039 1200 2 left 5710 - -", "x 1200 2",
          "1039 1200 x", "1039 1200 2 left 57x - - 1 0", "1039 1200 2 left 5710 - - yes 0"}) {
        EXPECT_FALSE(decode_lease_bounds(text)) << text;
    }
    EXPECT_TRUE(decode_lease_bounds("1039 1200 2"));
}

// Guards against a wait that begins anew: a successor has seen the election of the decider that wrote the bounds.
TEST(lease_bounds, the_election_is_dated_by_the_first_response_that_shows_its_revision)
{
    store_revisions revisions;
    record_arrival(revisions, store_revision{1'000}, start);
    record_arrival(revisions, store_revision{1'040}, start + milliseconds{1'000});
    record_arrival(revisions, store_revision{1'100}, start + milliseconds{4'000});
    EXPECT_EQ(latest_election(make_bounds(), {{store_revision{1'090}, make_bounds().m_written}}, revisions,
                              start + milliseconds{5'000}),
              start + milliseconds{1'000});
}

// Guards against the same in an entry VM that has started since the election: the bounds tell how long before their
// write that was.
TEST(lease_bounds, the_election_is_dated_by_the_write_of_the_bounds)
{
    store_revisions revisions;
    record_arrival(revisions, store_revision{1'100}, start + milliseconds{3'000});
    EXPECT_EQ(latest_election(make_bounds(), {{store_revision{1'090}, make_bounds().m_written}}, revisions,
                              start + milliseconds{5'000}),
              start + milliseconds{3'000} - make_bounds().m_written);
}

// Guards against a wait that each takeover by a new process prolongs by the time since the bounds were written.
TEST(lease_bounds, the_election_is_dated_by_the_last_write_of_the_age_of_the_term)
{
    store_revisions revisions;
    record_arrival(revisions, store_revision{1'100}, start + milliseconds{3'000});
    const auto bounds = make_bounds();
    EXPECT_EQ(latest_election(bounds,
                              {{store_revision{1'090}, bounds.m_written}, {store_revision{1'095}, milliseconds{2'700}}},
                              revisions, start + milliseconds{5'000}),
              start + milliseconds{300});
}

// Guards against a lease that counts as ended too early: without any response, the election may have been just now.
TEST(lease_bounds, the_election_is_not_dated_before_what_is_known)
{
    EXPECT_EQ(latest_election(make_bounds(), {{store_revision{1'090}, make_bounds().m_written}}, {}, start),
              start - make_bounds().m_written);
}

} // namespace cicadalug::test
