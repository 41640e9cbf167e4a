#include <cicadalug/order/claim.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cicadalug {

namespace {

auto drop_old_claims(claim_bucket& bucket, const claim_limits& limits, const wall_seconds now) -> bool
{
    const auto oldest = now - wall_seconds{limits.m_retention_seconds};
    return std::erase_if(bucket.m_claims, [oldest](const claim& item) { return item.m_claimed_at < oldest; }) > 0;
}

[[nodiscard]] auto to_json(const claim& item) -> nlohmann::json
{
    return {{"key", {item.m_key.m_high, item.m_key.m_low}},
            {"zone", item.m_availability_zone.str()},
            {"owner", item.m_owner.str()},
            {"incarnation", item.m_incarnation.value()},
            {"claimed_at", item.m_claimed_at.value()}};
}

[[nodiscard]] auto claim_from_json(const nlohmann::json& json) -> claim
{
    const auto& key = json.at("key");
    return {{key.at(0).get<std::uint64_t>(), key.at(1).get<std::uint64_t>()},
            availability_zone_id{json.at("zone").get<std::string>()},
            entry_vm_id{json.at("owner").get<std::string>()},
            incarnation{json.at("incarnation").get<std::uint64_t>()},
            wall_seconds{json.at("claimed_at").get<std::int64_t>()}};
}

} // namespace

auto digest_of(const service_id& target, const std::string_view key) -> key_digest
{
    // The length of the service's name keeps two different pairs from giving the same text.
    auto text = std::to_string(target.str().size()) + ':' + target.str();
    text += key;
    const auto hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

auto bucket_of(const key_digest& key) noexcept -> bucket_number
{
    return bucket_number{static_cast<unsigned>(key.m_low % claim_bucket_count)};
}

auto add_claims(claim_bucket bucket, const std::vector<claim>& wanted, const claim_limits& limits,
                const wall_seconds now) -> claim_result
{
    claim_result added;
    added.m_changed = drop_old_claims(bucket, limits, now);
    std::map<key_digest, claim> in_force;
    for (const auto& item : bucket.m_claims) {
        in_force.emplace(item.m_key, item);
    }
    for (const auto& item : wanted) {
        auto found = in_force.find(item.m_key);
        const auto refused = found == in_force.end() && bucket.m_claims.size() >= limits.m_claims_per_bucket;
        if (found == in_force.end() && !refused) {
            found = in_force.emplace(item.m_key, item).first;
            bucket.m_claims.push_back(item);
            added.m_changed = true;
        }
        added.m_in_force.push_back(refused ? item : found->second);
        added.m_refused.push_back(refused);
    }
    added.m_bucket = std::move(bucket);
    return added;
}

auto to_json_text(const claim_bucket& bucket) -> std::string
{
    auto list = nlohmann::json::array();
    for (const auto& item : bucket.m_claims) {
        list.push_back(to_json(item));
    }
    return nlohmann::json{{"claims", std::move(list)}, {"write_id", bucket.m_write.str()}}.dump();
}

auto parse_claim_bucket(const std::string_view text) -> result<claim_bucket>
{
    claim_bucket bucket;
    if (text.empty()) {
        return bucket;
    }
    try {
        const auto json = nlohmann::json::parse(text);
        bucket.m_write = write_id{json.at("write_id").get<std::string>()};
        for (const auto& item : json.at("claims")) {
            bucket.m_claims.push_back(claim_from_json(item));
        }
    }
    catch (const nlohmann::json::exception& exception) {
        return findings{"claim bucket", exception.what()};
    }
    return bucket;
}

} // namespace cicadalug
