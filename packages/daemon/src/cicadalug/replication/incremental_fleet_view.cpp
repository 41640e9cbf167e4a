#include <cicadalug/fleet/vm_shard.hpp>
#include <cicadalug/model/resource.hpp>
#include <cicadalug/replication/incremental_fleet_view.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

using nlohmann::json;

template<typename Id>
[[nodiscard]] auto read_ids(const json& object, const char* name) -> std::set<Id>
{
    std::set<Id> ids;
    if (object.is_object() && object.contains(name) && object[name].is_array()) {
        for (const auto& item : object[name]) {
            if (item.is_string()) {
                ids.insert(Id{item.get<std::string>()});
            }
        }
    }
    return ids;
}

template<typename Id>
[[nodiscard]] auto ids_to_json(const std::set<Id>& ids) -> json
{
    auto list = json::array();
    for (const auto& id : ids) {
        list.push_back(id.str());
    }
    return list;
}

/** @brief Makes the tombstone of a resource from its key, because a tombstone in the key-value service has no value. */
[[nodiscard]] auto make_tombstone(const versioned_entry& entry) -> result<resource>
{
    const auto rest = entry.m_key.substr(resource_prefix.size());
    const auto slash = rest.find('/');
    const auto kind = parse_resource_kind(rest.substr(0, slash));
    if (!kind || slash == std::string::npos) {
        return findings{entry.m_key, "is not the key of a resource"};
    }
    resource item;
    item.m_kind = *kind;
    item.m_name = rest.substr(slash + 1);
    item.m_deleted = true;
    return item;
}

[[nodiscard]] auto apply_resource_entry(fleet_view& view, const versioned_entry& entry) -> findings
{
    auto parsed = entry.m_value.m_deleted ? make_tombstone(entry) : parse_resource(entry.m_value.m_value);
    if (!parsed) {
        return parsed.assume_error();
    }
    auto item = std::move(parsed).assume_value();
    item.m_version = entry.m_value.m_version;
    return apply_resource(view, item);
}

[[nodiscard]] auto apply_shard_entry(incremental_fleet_view& target, const versioned_entry& entry) -> findings
{
    vm_shard shard;
    if (!entry.m_value.m_deleted) {
        auto parsed = parse_vm_shard(json::parse(entry.m_value.m_value, nullptr, false));
        if (!parsed) {
            return parsed.assume_error();
        }
        shard = std::move(parsed).assume_value();
    }
    auto& members = target.m_shards[entry.m_key];
    for (const auto& vm : members) {
        if (!shard.m_vms.contains(vm)) {
            target.m_view.m_vms.erase(vm);
        }
    }
    members.clear();
    for (auto& [vm, record] : shard.m_vms) {
        members.insert(vm);
        target.m_view.m_vms[vm] = std::move(record);
    }
    return {};
}

} // namespace

auto to_json_text(const platform_vm_list& list) -> std::string
{
    return json{{"leaving", ids_to_json(list.m_leaving)}, {"entry_vms", ids_to_json(list.m_entry_vms)}}.dump();
}

auto parse_platform_vm_list(const std::string& text) -> platform_vm_list
{
    const auto value = json::parse(text, nullptr, false);
    return {read_ids<vm_id>(value, "leaving"), read_ids<entry_vm_id>(value, "entry_vms")};
}

auto fleet_prefix(const availability_zone_id& zone) -> std::string
{
    return "fleet/" + zone.str() + '/';
}

auto vm_list_key(const availability_zone_id& zone) -> std::string
{
    return "list/" + zone.str();
}

auto apply_entry(incremental_fleet_view& target, const versioned_entry& entry) -> findings
{
    findings found;
    if (entry.m_key.starts_with(resource_prefix)) {
        found.append(apply_resource_entry(target.m_view, entry), entry.m_key + ": ");
    }
    else if (entry.m_key.starts_with("fleet/")) {
        found.append(apply_shard_entry(target, entry), entry.m_key + ": ");
    }
    else if (entry.m_key.starts_with("list/")) {
        target.m_view.m_leaving = parse_platform_vm_list(entry.m_value.m_value).m_leaving;
    }
    target.m_view.m_version = std::max(target.m_view.m_version, entry.m_value.m_version);
    return found;
}

} // namespace cicadalug
