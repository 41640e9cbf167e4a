#include <cicadalug/platform/json.hpp>
#include <cicadalug/replication/snapshot.hpp>

#include <nlohmann/json.hpp>

namespace cicadalug {

namespace {

using nlohmann::json;

[[nodiscard]] auto select_entries(const replica& local_replica, const replica_scope scope, const http_target& target)
    -> std::optional<std::vector<versioned_entry>>
{
    if (const auto key = target.m_query.find("key"); key != target.m_query.end()) {
        return std::vector<versioned_entry>{{key->second, local_replica.find(key->second)}};
    }
    if (const auto text = target.m_query.find("digest"); text != target.m_query.end()) {
        const auto digest = digest_from_hex(text->second);
        if (!digest) {
            return std::nullopt;
        }
        return local_replica.entries_missing_in(*digest, scope);
    }
    return local_replica.entries_above(version{query_number(target, "above", 0)}, scope);
}

} // namespace

auto snapshot_response(const replica& local_replica, const availability_zone_id& zone, const http_target& target)
    -> http_response
{
    if (!local_replica.loaded()) {
        return findings_response(http::status::service_unavailable, findings{"snapshot", "no configuration yet"});
    }
    const auto requester_zone = target.m_query.find("zone");
    const auto same_zone = requester_zone != target.m_query.end() && requester_zone->second == zone.str();
    const auto selected =
        select_entries(local_replica, same_zone ? replica_scope::zone : replica_scope::resources, target);
    if (!selected) {
        return findings_response(http::status::bad_request, findings{"digest", "is not a digest"});
    }
    auto entries = json::array();
    for (const auto& entry : *selected) {
        entries.push_back({{"key", entry.m_key},
                           {"version", entry.m_value.m_version.value()},
                           {"value", entry.m_value.m_value},
                           {"deleted", entry.m_value.m_deleted}});
    }
    return json_response(http::status::ok, {{"entries", std::move(entries)}});
}

auto parse_snapshot(const std::string& text) -> std::optional<std::vector<versioned_entry>>
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("entries")) {
        return std::nullopt;
    }
    std::vector<versioned_entry> entries;
    for (auto& item : kv_range_from_json(body).m_entries) {
        entries.push_back({std::move(item.m_key), {item.m_version, std::move(item.m_value), item.m_deleted}});
    }
    return entries;
}

} // namespace cicadalug
