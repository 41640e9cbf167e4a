#include <cicadalug/fleet/budget_ledger.hpp>
#include <cicadalug/fleet/json_fields.hpp>

#include <cstddef>
#include <utility>

namespace cicadalug {

namespace {

auto read_charge(const nlohmann::json& json, const std::string& place, budget_ledger& ledger, findings& found) -> void
{
    vm_id vm;
    budget_charge charge;
    internal::json_fields fields{json, place, found};
    fields.require("vm", vm);
    fields.require("operation", charge.m_operation);
    fields.require("availability_zone", charge.m_availability_zone);
    fields.require("epoch", charge.m_epoch);
    if (!ledger.m_charges.emplace(vm, charge).second) {
        found.add(place + ".vm", "VM '" + vm.str() + "' is charged twice");
    }
}

auto read_zone(const nlohmann::json& json, const std::string& place, budget_ledger& ledger, findings& found) -> void
{
    availability_zone_id zone;
    zone_members members;
    internal::json_fields fields{json, place, found};
    fields.require("availability_zone", zone);
    fields.require("epoch", members.m_epoch);
    fields.require("members", members.m_members);
    std::size_t index = 0;
    for (const auto& item : fields.array("unhealthy")) {
        vm_id vm;
        if (!internal::read_value(item, vm)) {
            found.add(fields.place_of("unhealthy", index), "is not a string");
        }
        members.m_unhealthy.insert(std::move(vm));
        ++index;
    }
    if (!ledger.m_zones.emplace(zone, std::move(members)).second) {
        found.add(place + ".availability_zone", "zone '" + zone.str() + "' occurs twice");
    }
}

} // namespace

auto budget_key(const service_id& service) -> std::string
{
    return "budget/" + service.str();
}

auto budget_ledger_to_json(const budget_ledger& ledger) -> nlohmann::json
{
    auto charges = nlohmann::json::array();
    for (const auto& [vm, charge] : ledger.m_charges) {
        charges.push_back({{"vm", vm.str()},
                           {"operation", charge.m_operation.str()},
                           {"availability_zone", charge.m_availability_zone.str()},
                           {"epoch", charge.m_epoch.value()}});
    }
    auto zones = nlohmann::json::array();
    for (const auto& [zone, members] : ledger.m_zones) {
        auto unhealthy = nlohmann::json::array();
        for (const auto& vm : members.m_unhealthy) {
            unhealthy.push_back(vm.str());
        }
        zones.push_back({{"availability_zone", zone.str()},
                         {"epoch", members.m_epoch.value()},
                         {"members", members.m_members},
                         {"unhealthy", std::move(unhealthy)}});
    }
    return {{"write_id", ledger.m_write_id.str()},   {"service", ledger.m_service.str()}, {"pool", ledger.m_pool.str()},
            {"promised_vms", ledger.m_promised_vms}, {"charges", std::move(charges)},     {"zones", std::move(zones)}};
}

auto parse_budget_ledger(const nlohmann::json& json) -> result<budget_ledger>
{
    budget_ledger ledger;
    findings found;
    internal::json_fields fields{json, {}, found};
    fields.require("write_id", ledger.m_write_id);
    fields.require("service", ledger.m_service);
    fields.require("pool", ledger.m_pool);
    fields.require("promised_vms", ledger.m_promised_vms);
    std::size_t index = 0;
    for (const auto& item : fields.array("charges")) {
        read_charge(item, fields.place_of("charges", index++), ledger, found);
    }
    index = 0;
    for (const auto& item : fields.array("zones")) {
        read_zone(item, fields.place_of("zones", index++), ledger, found);
    }
    if (!found.empty()) {
        return found;
    }
    return ledger;
}

} // namespace cicadalug
