#include <cicadalug/fleet/budget.hpp>

#include <algorithm>
#include <tuple>

namespace cicadalug {

namespace {

[[nodiscard]] auto is_unhealthy(const budget_ledger& ledger, const vm_id& vm) -> bool
{
    return std::any_of(ledger.m_zones.begin(), ledger.m_zones.end(),
                       [&vm](const auto& zone) { return zone.second.m_unhealthy.contains(vm); });
}

[[nodiscard]] auto is_charge_needed(const vm_id& vm, const budget_charge& charge, const zone_report& report) -> bool
{
    if (!report.m_members.contains(vm)) {
        return false;
    }
    return report.m_operations.contains(vm) || std::find(report.m_requested.begin(), report.m_requested.end(),
                                                         std::pair{vm, charge.m_operation}) != report.m_requested.end();
}

} // namespace

auto available_vms(const budget_ledger& ledger) noexcept -> int
{
    int available = -static_cast<int>(ledger.m_charges.size());
    for (const auto& [id, zone] : ledger.m_zones) {
        available += zone.m_members;
        available -=
            static_cast<int>(std::count_if(zone.m_unhealthy.begin(), zone.m_unhealthy.end(),
                                           [&ledger](const auto& vm) { return !ledger.m_charges.contains(vm); }));
    }
    return available;
}

auto spare_vms(const budget_ledger& ledger) noexcept -> int
{
    return available_vms(ledger) - ledger.m_promised_vms;
}

auto is_fenced(const budget_ledger& ledger, const availability_zone_id& zone, const epoch own_epoch) noexcept -> bool
{
    const auto found = ledger.m_zones.find(zone);
    return found != ledger.m_zones.end() && found->second.m_epoch > own_epoch;
}

auto charge_batch(budget_ledger& ledger, const availability_zone_id& zone, const epoch own_epoch,
                  const std::vector<std::pair<vm_id, operation_id>>& requested) -> std::set<vm_id>
{
    std::set<vm_id> granted;
    auto spare = spare_vms(ledger);
    for (const auto& [vm, operation] : requested) {
        if (const auto existing = ledger.m_charges.find(vm); existing != ledger.m_charges.end()) {
            if (existing->second.m_operation == operation) {
                granted.insert(vm);
            }
            continue;
        }
        const auto cost = is_unhealthy(ledger, vm) ? 0 : 1;
        if (cost > 0 && spare < cost) {
            continue;
        }
        spare -= cost;
        ledger.m_charges.emplace(vm, budget_charge{operation, zone, own_epoch});
        granted.insert(vm);
    }
    return granted;
}

auto reconcile(const budget_ledger& ledger, const service& declared, const zone_report& report) -> budget_ledger
{
    auto next = ledger;
    next.m_service = declared.m_id;
    next.m_promised_vms = declared.m_promised_vms;
    if (next.m_pool != declared.m_pool) {
        // The members were counted in the previous pool. A zone counts as empty until it reports its members in the new
        // pool.
        next.m_pool = declared.m_pool;
        for (auto& [id, zone] : next.m_zones) {
            zone.m_members = 0;
            zone.m_unhealthy.clear();
        }
    }
    std::erase_if(next.m_charges, [&report](const auto& item) {
        return item.second.m_availability_zone == report.m_availability_zone &&
               !is_charge_needed(item.first, item.second, report);
    });
    next.m_zones[report.m_availability_zone] = {report.m_epoch, static_cast<int>(report.m_members.size()),
                                                report.m_unhealthy};
    for (const auto& [vm, operation] : report.m_operations) {
        next.m_charges.try_emplace(vm, budget_charge{operation, report.m_availability_zone, report.m_epoch});
    }
    std::ignore = charge_batch(next, report.m_availability_zone, report.m_epoch, report.m_requested);
    return next;
}

} // namespace cicadalug
