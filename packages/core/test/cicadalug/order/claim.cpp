#include <cicadalug/order/claim.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cicadalug;

// Guards against orders of different services or keys that share one claim.
RC_GTEST_PROP(claim, other_service_or_key_has_another_store_key,
              (const std::string& service, const std::string& key, const std::string& rest))
{
    RC_PRE(!rest.empty());
    const auto store_key = claim_store_key(digest_of(service_id{service}, rest + key));
    RC_ASSERT(store_key != claim_store_key(digest_of(service_id{service + rest}, key)));
    RC_ASSERT(store_key.size() == std::string{"claim/"}.size() + 32);
}

// Guards against a claim that changes when it is stored in the key-value service and read back, for example in its
// digest.
RC_GTEST_PROP(claim, round_trips_through_json, (std::uint64_t high, std::uint64_t low, std::uint64_t start))
{
    const claim value{{high, low}, availability_zone_id{"z1"}, entry_vm_id{"e1"}, incarnation{start}, write_id{"w"}};
    const auto parsed = parse_claim(to_json_text(value));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.assume_value() == value);
}

// Guards against a crash on a malformed value in the key-value service.
RC_GTEST_PROP(claim, malformed_text_is_a_finding, (const std::string& text))
{
    RC_ASSERT(!parse_claim("[" + text).has_value());
}

} // namespace
