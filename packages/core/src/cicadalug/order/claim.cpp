#include <cicadalug/order/claim.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cicadalug {

auto digest_of(const service_id& target, const std::string_view key) -> key_digest
{
    // The length prefix of the service name keeps two different pairs from producing the same text.
    auto text = std::to_string(target.str().size()) + ':' + target.str();
    text += key;
    const auto hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

auto claim_store_key(const key_digest& key) -> std::string
{
    std::array<char, 33> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx", static_cast<unsigned long long>(key.m_high),
                  static_cast<unsigned long long>(key.m_low));
    return std::string{"claim/"} + digits.data();
}

auto to_json_text(const claim& value) -> std::string
{
    return nlohmann::json{{"key", {value.m_key.m_high, value.m_key.m_low}},
                          {"availability_zone", value.m_availability_zone.str()},
                          {"owner", value.m_owner.str()},
                          {"incarnation", value.m_incarnation.value()},
                          {"write_id", value.m_write.str()}}
        .dump();
}

auto parse_claim(const std::string_view text) -> result<claim>
{
    try {
        const auto json = nlohmann::json::parse(text);
        const auto& key = json.at("key");
        return claim{{key.at(0).get<std::uint64_t>(), key.at(1).get<std::uint64_t>()},
                     availability_zone_id{json.at("availability_zone").get<std::string>()},
                     entry_vm_id{json.at("owner").get<std::string>()},
                     incarnation{json.at("incarnation").get<std::uint64_t>()},
                     write_id{json.at("write_id").get<std::string>()}};
    }
    catch (const nlohmann::json::exception& exception) {
        return findings{"claim", exception.what()};
    }
}

} // namespace cicadalug
