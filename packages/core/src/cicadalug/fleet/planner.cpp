#include <cicadalug/fleet/planner.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cicadalug {

namespace {

/**
 * @brief Averaging period with equal weights. Surges last seconds, so a period of minutes distinguishes sustained
 * demand from them.
 */
constexpr seconds base_averaging_period{600};
constexpr seconds min_averaging_period{120};
constexpr seconds max_averaging_period{3'600};
/** @brief Time constant for the decay of the overflow peak, in averaging periods. */
constexpr double peak_decay_periods = 6.0;
/** @brief Fraction of a pool that sustained demand may use before the pool counts as short of VMs. */
constexpr double target_utilization = 0.85;
/** @brief Fraction of a pool below which its sustained demand makes VMs redundant. */
constexpr double idle_utilization = 0.4;

/** @brief Time limit for a selected VM to obtain its charge before the selection is dropped. */
constexpr seconds pending_move_timeout{30};

[[nodiscard]] auto elapsed_seconds(const planner_state& state, const time_point now) -> double
{
    return state.m_last_update ? std::chrono::duration<double>(now - *state.m_last_update).count() : 0.0;
}

[[nodiscard]] auto required_members(const pool_demand& pool, const double sustained_demand) -> int
{
    return std::max(pool.m_promised, static_cast<int>(std::ceil(sustained_demand / target_utilization)));
}

} // namespace

auto averaging_period(const planning_policy& policy) noexcept -> seconds
{
    const auto buffer = std::max(policy.m_buffer_weight, 0.01);
    const auto moves = std::max(policy.m_moves_weight, 0.01);
    const seconds period{
        static_cast<seconds::rep>(static_cast<double>(base_averaging_period.count()) * std::sqrt(moves / buffer))};
    return std::clamp(period, min_averaging_period, max_averaging_period);
}

auto plan_moves(planner_state& state, const std::map<pool_id, pool_demand>& pools, const pool_id& spare,
                const pool_demand& spare_demand, const planning_policy& policy, const time_point now) -> move_plan
{
    const auto period = averaging_period(policy);
    const auto elapsed = elapsed_seconds(state, now);
    const auto smoothing_factor = 1.0 - std::exp(-elapsed / static_cast<double>(period.count()));
    double overflow = 0.0;
    for (const auto& [id, pool] : pools) {
        auto [entry, added] =
            state.m_pools.try_emplace(id, planner_state::pool_state{pool.m_needed, std::nullopt, std::nullopt});
        // Demand beyond a pool and its share of the spare pool cannot be served, so it is capped.
        const auto capped = std::min(pool.m_needed, 2.0 * pool.m_members);
        entry->second.m_sustained_demand +=
            added ? 0.0 : smoothing_factor * (capped - entry->second.m_sustained_demand);
        overflow += std::max(0.0, capped - pool.m_members);
    }
    const auto peak_decay = std::exp(-elapsed / (peak_decay_periods * static_cast<double>(period.count())));
    state.m_overflow_peak = std::max(overflow, state.m_overflow_peak * peak_decay);
    state.m_last_update = now;

    // The spare pool covers the full peak if the weight of the buffer is low, and half of it if the weight is high.
    const auto peak_coverage =
        std::clamp(policy.m_moves_weight / (policy.m_moves_weight + policy.m_buffer_weight + 0.01), 0.5, 1.0);
    move_plan plan;
    plan.m_spare_size = spare_demand.m_promised + static_cast<int>(std::ceil(peak_coverage * state.m_overflow_peak));
    auto available = std::min(spare_demand.m_movable, spare_demand.m_members - spare_demand.m_promised);
    auto spare_members = spare_demand.m_members;
    for (const auto& [id, pool] : pools) {
        auto& entry = state.m_pools[id];
        const auto missing = required_members(pool, entry.m_sustained_demand) - pool.m_members;
        if (missing <= 0) {
            entry.m_shortage_since.reset();
            continue;
        }
        if (!entry.m_shortage_since) {
            entry.m_shortage_since = now;
        }
        const auto vms = std::min(missing, std::max(0, available));
        if (now - *entry.m_shortage_since >= period && vms > 0) {
            plan.m_transfers.push_back({spare, id, vms});
            available -= vms;
            spare_members -= vms;
        }
    }
    for (const auto& [id, pool] : pools) {
        auto& entry = state.m_pools[id];
        if (std::max(entry.m_sustained_demand, pool.m_needed) >= idle_utilization * pool.m_members) {
            // A surge of seconds does not show that the pool requires its VMs, so it does not restart the idle time.
            if (entry.m_sustained_demand >= idle_utilization * pool.m_members) {
                entry.m_idle_since.reset();
            }
            continue;
        }
        if (!entry.m_idle_since) {
            entry.m_idle_since = now;
        }
        const auto vms = std::min({plan.m_spare_size - spare_members, pool.m_movable,
                                   pool.m_members - required_members(pool, entry.m_sustained_demand)});
        if (vms > 0 && now - *entry.m_idle_since >= period) {
            plan.m_transfers.push_back({id, spare, vms});
            spare_members += vms;
        }
    }
    return plan;
}

auto choose_moves(planner_state& state, const move_plan& plan, const std::map<vm_id, const vm_record*>& vms,
                  const time_point now) -> std::map<vm_id, pool_id>
{
    std::erase_if(state.m_pending, [&](const auto& item) {
        const auto found = vms.find(item.first);
        return found == vms.end() || !found->second->m_operation.empty() ||
               found->second->m_pool != item.second.m_from || now - item.second.m_since >= pending_move_timeout;
    });
    for (const auto& transfer : plan.m_transfers) {
        auto remaining = transfer.m_vms;
        for (const auto& [id, pending] : state.m_pending) {
            remaining -= pending.m_from == transfer.m_from && pending.m_to == transfer.m_to ? 1 : 0;
        }
        for (auto item = vms.begin(); item != vms.end() && remaining > 0; ++item) {
            const auto& record = *item->second;
            if (record.m_pool == transfer.m_from && record.m_operation.empty() &&
                state.m_pending
                    .try_emplace(record.m_vm, planner_state::pending_move{transfer.m_from, transfer.m_to, now})
                    .second) {
                --remaining;
            }
        }
    }
    std::map<vm_id, pool_id> moves;
    for (const auto& [id, pending] : state.m_pending) {
        moves.emplace(id, pending.m_to);
    }
    return moves;
}

} // namespace cicadalug
