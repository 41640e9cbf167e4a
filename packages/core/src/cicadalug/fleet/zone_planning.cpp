#include <cicadalug/fleet/budget.hpp>
#include <cicadalug/fleet/zone_planning.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

[[nodiscard]] auto count_members(const budget_ledger& ledger) -> int
{
    int members = 0;
    for (const auto& [zone, zone_entry] : ledger.m_zones) {
        members += zone_entry.m_members;
    }
    return members;
}

/**
 * @brief Applies the promised capacity of a service to its pool and limits the movable VMs to the spare VMs of its
 * ledger.
 */
auto apply_service_budget(pool_demand& pool, const zone_control_state& state, const service_id& service) -> void
{
    const auto found = state.m_ledgers.find(service);
    if (found == state.m_ledgers.end()) {
        // Without a ledger, the spare VMs of the service are unknown.
        pool.m_movable = 0;
        return;
    }
    const auto& ledger = found->second.m_value;
    const auto total_members = std::max(1, count_members(ledger));
    const auto promised = (ledger.m_promised_vms * pool.m_members + total_members - 1) / total_members;
    pool.m_promised = std::max(pool.m_promised, promised);
    pool.m_movable = std::min(pool.m_movable, std::max(0, spare_vms(ledger)));
}

} // namespace

auto zone_demands(const zone_control_state& state, const fleet_view& view, const std::map<pool_id, int>& needed)
    -> std::map<pool_id, pool_demand>
{
    std::map<pool_id, pool_demand> demands;
    for (const auto& [id, pool] : view.m_pools) {
        const auto found = needed.find(id);
        demands[id].m_needed = found == needed.end() ? 0.0 : found->second;
    }
    for (const auto& [number, shard] : state.m_shards) {
        for (const auto& [id, record] : shard.m_value.m_vms) {
            if (const auto pool = demands.find(record.m_pool); pool != demands.end()) {
                ++pool->second.m_members;
            }
        }
    }
    for (auto& [id, pool] : demands) {
        pool.m_movable = pool.m_members;
    }
    for (const auto& [id, service] : view.m_services) {
        if (const auto pool = demands.find(service.m_pool); pool != demands.end()) {
            apply_service_budget(pool->second, state, id);
        }
    }
    return demands;
}

auto plan_zone(planner_state& planner, const zone_control_state& state, const fleet_view& view,
               const std::map<pool_id, int>& needed, const time_point now) -> std::map<vm_id, pool_id>
{
    const auto spare =
        std::find_if(view.m_pools.begin(), view.m_pools.end(), [](const auto& entry) { return entry.second.m_spare; });
    if (spare == view.m_pools.end()) {
        return {};
    }
    auto pools = zone_demands(state, view, needed);
    const auto spare_demand = pools.extract(spare->first).mapped();
    const auto plan = plan_moves(planner, pools, spare->first, spare_demand, view.m_policy, now);
    std::map<vm_id, const vm_record*> vms;
    for (const auto& [number, shard] : state.m_shards) {
        for (const auto& [id, record] : shard.m_value.m_vms) {
            vms.emplace(id, &record);
        }
    }
    return choose_moves(planner, plan, vms, now);
}

} // namespace cicadalug
