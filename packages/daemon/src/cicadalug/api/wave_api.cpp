#include <cicadalug/api/wave_api.hpp>
#include <cicadalug/fleet/vm_record_json.hpp>
#include <cicadalug/fleet/wave_progress.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace cicadalug {

namespace {

using nlohmann::json;

constexpr std::string_view wave_prefix{"wave/"};

/** @brief Returns the zone in a key `wave/{zone}/{wave}` of the given wave; empty for the key of another wave. */
[[nodiscard]] auto zone_of(const std::string& key, const wave_id& wave) -> availability_zone_id
{
    const auto ending = '/' + wave.str();
    if (key.size() <= wave_prefix.size() + ending.size() || !key.ends_with(ending)) {
        return {};
    }
    return availability_zone_id{key.substr(wave_prefix.size(), key.size() - wave_prefix.size() - ending.size())};
}

[[nodiscard]] auto state_of(const wave_progress& progress) -> const char*
{
    if (progress.m_finished) {
        return "finished";
    }
    return progress.m_paused ? "paused" : "running";
}

[[nodiscard]] auto zone_json(const availability_zone_id& zone, const wave_progress& progress) -> json
{
    const auto open = std::count_if(progress.m_vms.begin(), progress.m_vms.end(),
                                    [](const auto& entry) { return entry.second == operation_outcome::none; });
    auto vms = json::array();
    for (const auto& [vm, ended] : progress.m_vms) {
        vms.push_back({{"availability_zone", zone.str()}, {"vm", vm.str()}, {"outcome", to_string(ended)}});
    }
    return {{"availability_zone", zone.str()}, {"state", state_of(progress)},
            {"total", progress.m_vms.size()},  {"open", open},
            {"failed", progress.m_failed},     {"vms", std::move(vms)}};
}

} // namespace

auto wave_response(platform_client& platform, const wave_id wave) -> asio::awaitable<http_response>
{
    const auto read = co_await platform.range(std::string{wave_prefix});
    if (!read) {
        co_return findings_response(http::status::service_unavailable,
                                    findings{"platform", read.assume_error().m_message});
    }
    auto zones = json::array();
    findings found;
    for (const auto& entry : read.assume_value().m_entries) {
        const auto zone = zone_of(entry.m_key, wave);
        if (zone.empty()) {
            continue;
        }
        const auto progress = parse_wave_progress(json::parse(entry.m_value, nullptr, false));
        if (progress) {
            zones.push_back(zone_json(zone, progress.assume_value()));
        }
        else {
            found.append(progress.assume_error(), entry.m_key + ": ");
        }
    }
    if (!found.empty()) {
        co_return findings_response(http::status::internal_server_error, found);
    }
    if (zones.empty()) {
        co_return findings_response(http::status::not_found,
                                    findings{"wave", "no availability zone has begun a wave " + wave.str()});
    }
    co_return json_response(http::status::ok, {{"wave", wave.str()}, {"availability_zones", std::move(zones)}});
}

} // namespace cicadalug
