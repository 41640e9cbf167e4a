#include <cicadalug/api/status_api.hpp>
#include <cicadalug/fleet/vm_record_json.hpp>

#include <nlohmann/json.hpp>

#include <map>

namespace cicadalug {

namespace {

using nlohmann::json;

[[nodiscard]] auto entry_vm_json(const entry_vm_entry& entry) -> json
{
    return {{"entry_vm", entry.m_info.m_id.str()},
            {"availability_zone", entry.m_info.m_availability_zone.str()},
            {"address", entry.m_info.m_address},
            {"state", to_string(entry.m_state)},
            {"incarnation", entry.m_heartbeat.m_incarnation.value()},
            {"version", entry.m_heartbeat.m_applied.value()}};
}

[[nodiscard]] auto datagrams_json(const datagram_counts& counts) -> json
{
    return {{"sent", counts.m_sent},
            {"sent_bytes", counts.m_sent_bytes},
            {"received", counts.m_received},
            {"received_bytes", counts.m_received_bytes},
            {"unknown_sender", counts.m_unknown_sender},
            {"malformed", counts.m_malformed},
            {"not_sent", counts.m_not_sent}};
}

} // namespace

auto status_json(const membership_service& members, const replica& local_replica, const epoch own_epoch) -> json
{
    auto table = members.table();
    auto& own = table.m_entry_vms.at(table.m_self);
    own.m_heartbeat.m_applied = local_replica.highest();
    own.m_heartbeat.m_control_epoch = own_epoch;
    auto entry_vms = json::array();
    auto unreachable = json::array();
    std::map<availability_zone_id, json> zones;
    for (const auto& [id, entry] : table.m_entry_vms) {
        entry_vms.push_back(entry_vm_json(entry));
        auto& zone = zones[entry.m_info.m_availability_zone];
        zone["availability_zone"] = entry.m_info.m_availability_zone.str();
        const auto reachable = entry.m_state == entry_vm_state::live || entry.m_state == entry_vm_state::suspect;
        if (!reachable) {
            unreachable.push_back(id.str());
        }
        const auto control_epoch = entry.m_heartbeat.m_control_epoch.value();
        if (reachable && control_epoch > zone.value("control_epoch", std::uint64_t{0})) {
            zone["control_holder"] = id.str();
            zone["control_epoch"] = control_epoch;
        }
    }
    auto zone_list = json::array();
    for (const auto& [id, zone] : zones) {
        zone_list.push_back(zone);
    }
    return {{"entry_vm", table.m_self.str()},
            {"version", local_replica.highest().value()},
            {"entry_vms", std::move(entry_vms)},
            {"unreachable", std::move(unreachable)},
            {"availability_zones", std::move(zone_list)},
            {"datagrams", datagrams_json(members.datagram_totals())}};
}

auto vms_json(const fleet_view& view) -> json
{
    auto vms = json::array();
    for (const auto& [id, record] : view.m_vms) {
        auto record_json = vm_record_to_json(record);
        record_json["leaving"] = view.m_leaving.contains(id);
        vms.push_back(std::move(record_json));
    }
    return {{"version", view.m_version.value()}, {"vms", std::move(vms)}};
}

} // namespace cicadalug
