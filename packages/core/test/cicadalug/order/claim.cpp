#include <cicadalug/order/claim.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace {

using namespace cicadalug;

[[nodiscard]] auto make_claim(const std::uint64_t key, const std::string& owner, const std::int64_t at) -> claim
{
    return {{0, key}, availability_zone_id{"z1"}, entry_vm_id{owner}, incarnation{1}, wall_seconds{at}};
}

// Guards against two owners of one key when entry VMs race: a compare-and-swap that lost is computed again.
RC_GTEST_PROP(claim, first_stored_claim_stays_in_force, ())
{
    claim_bucket stored;
    std::map<std::uint64_t, std::string> first_owner;
    const auto rounds = *rc::gen::inRange(1, 30);
    for (int round = 0; round < rounds; ++round) {
        const auto key = *rc::gen::inRange<std::uint64_t>(0, 8);
        const auto first = add_claims(stored, {make_claim(key, "e1", round)}, {}, wall_seconds{round});
        const auto second = add_claims(stored, {make_claim(key, "e2", round)}, {}, wall_seconds{round});
        const auto first_wins = *rc::gen::arbitrary<bool>();
        stored = first_wins ? first.m_bucket : second.m_bucket;
        const auto loser =
            add_claims(stored, {make_claim(key, first_wins ? "e2" : "e1", round)}, {}, wall_seconds{round});
        first_owner.emplace(key, first_wins ? "e1" : "e2");
        RC_ASSERT(loser.m_in_force.front().m_owner.str() == first_owner.at(key));
        RC_ASSERT(!loser.m_changed);
    }
}

// Guards against a value of the key-value service that grows over its limit of 1 MB.
TEST(claim, full_bucket_refuses_until_claims_are_old)
{
    const claim_limits limits{100, 2};
    auto added = add_claims({}, {make_claim(1, "e1", 0), make_claim(2, "e1", 0), make_claim(3, "e1", 0)}, limits,
                            wall_seconds{0});
    EXPECT_EQ(added.m_refused, (std::vector{false, false, true}));
    added = add_claims(added.m_bucket, {make_claim(3, "e1", 101)}, limits, wall_seconds{101});
    EXPECT_EQ(added.m_refused, std::vector{false});
}

// Guards against claims that change on their way through the key-value service.
RC_GTEST_PROP(claim, bucket_survives_json, (const std::vector<std::uint64_t>& keys))
{
    claim_bucket bucket;
    for (const auto key : keys) {
        bucket.m_claims.push_back(make_claim(key, "e1", 5));
    }
    const auto parsed = parse_claim_bucket(to_json_text(bucket));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.assume_value().m_claims == bucket.m_claims);
}

// Guards against a crash on a damaged value.
RC_GTEST_PROP(claim, malformed_text_is_a_finding, (const std::string& text))
{
    RC_PRE(!text.empty());
    RC_ASSERT(!parse_claim_bucket("[" + text).has_value());
}

} // namespace
