#include <cicadalug/fleet/planner.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cicadalug {

namespace {

/** @brief Lasting term with equal weights. Surges last seconds, so minutes tell lasting demand from them. */
constexpr seconds base_term{600};
constexpr seconds shortest_term{120};
constexpr seconds longest_term{3'600};
/** @brief Terms over which a peak of overflow is forgotten. */
constexpr double peak_terms = 6.0;
/** @brief Share of a pool that lasting demand may fill before the pool counts as short. */
constexpr double fill_limit = 0.85;
/** @brief Share of a pool below which its lasting demand makes VMs superfluous. */
constexpr double idle_limit = 0.4;

/** @brief Time for a chosen VM to get its charge before the choice is dropped. */
constexpr seconds pending_limit{30};

[[nodiscard]] auto elapsed_seconds(const planner_state& state, const time_point now) -> double
{
    return state.m_last ? std::chrono::duration<double>(now - *state.m_last).count() : 0.0;
}

[[nodiscard]] auto wanted_members(const pool_demand& pool, const double lasting) -> int
{
    return std::max(pool.m_promised, static_cast<int>(std::ceil(lasting / fill_limit)));
}

} // namespace

auto lasting_term(const planning_policy& policy) noexcept -> seconds
{
    const auto buffer = std::max(policy.m_buffer_weight, 0.01);
    const auto moves = std::max(policy.m_moves_weight, 0.01);
    const seconds term{static_cast<seconds::rep>(static_cast<double>(base_term.count()) * std::sqrt(moves / buffer))};
    return std::clamp(term, shortest_term, longest_term);
}

auto plan_moves(planner_state& state, const std::map<pool_id, pool_demand>& pools, const pool_id& spare,
                const pool_demand& spare_demand, const planning_policy& policy, const time_point now) -> move_plan
{
    const auto term = lasting_term(policy);
    const auto passed = elapsed_seconds(state, now);
    const auto share = 1.0 - std::exp(-passed / static_cast<double>(term.count()));
    double overflow = 0.0;
    for (const auto& [id, pool] : pools) {
        auto [entry, added] =
            state.m_pools.try_emplace(id, planner_state::entry{pool.m_needed, std::nullopt, std::nullopt});
        // Demand beyond a pool and its share of the spare pool cannot be served, so it does not count in full.
        const auto capped = std::min(pool.m_needed, 2.0 * pool.m_members);
        entry->second.m_lasting += added ? 0.0 : share * (capped - entry->second.m_lasting);
        overflow += std::max(0.0, capped - pool.m_members);
    }
    const auto forgotten = std::exp(-passed / (peak_terms * static_cast<double>(term.count())));
    state.m_overflow_peak = std::max(overflow, state.m_overflow_peak * forgotten);
    state.m_last = now;

    // The peak is covered in full when buffer is cheap, and by half when it is dear.
    const auto covered =
        std::clamp(policy.m_moves_weight / (policy.m_moves_weight + policy.m_buffer_weight + 0.01), 0.5, 1.0);
    move_plan plan;
    plan.m_spare_size = spare_demand.m_promised + static_cast<int>(std::ceil(covered * state.m_overflow_peak));
    auto available = std::min(spare_demand.m_movable, spare_demand.m_members - spare_demand.m_promised);
    auto spare_members = spare_demand.m_members;
    for (const auto& [id, pool] : pools) {
        auto& entry = state.m_pools[id];
        const auto missing = wanted_members(pool, entry.m_lasting) - pool.m_members;
        if (missing <= 0) {
            entry.m_short_since.reset();
            continue;
        }
        if (!entry.m_short_since) {
            entry.m_short_since = now;
        }
        const auto vms = std::min(missing, std::max(0, available));
        if (now - *entry.m_short_since >= term && vms > 0) {
            plan.m_transfers.push_back({spare, id, vms});
            available -= vms;
            spare_members -= vms;
        }
    }
    for (const auto& [id, pool] : pools) {
        auto& entry = state.m_pools[id];
        if (std::max(entry.m_lasting, pool.m_needed) >= idle_limit * pool.m_members) {
            // A surge of seconds does not show that the pool needs its VMs, so it does not start the time again.
            if (entry.m_lasting >= idle_limit * pool.m_members) {
                entry.m_idle_since.reset();
            }
            continue;
        }
        if (!entry.m_idle_since) {
            entry.m_idle_since = now;
        }
        const auto vms = std::min({plan.m_spare_size - spare_members, pool.m_movable,
                                   pool.m_members - wanted_members(pool, entry.m_lasting)});
        if (vms > 0 && now - *entry.m_idle_since >= term) {
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
               found->second->m_pool != item.second.m_from || now - item.second.m_since >= pending_limit;
    });
    for (const auto& transfer : plan.m_transfers) {
        auto left = transfer.m_vms;
        for (const auto& [id, pending] : state.m_pending) {
            left -= pending.m_from == transfer.m_from && pending.m_to == transfer.m_to ? 1 : 0;
        }
        for (auto item = vms.begin(); item != vms.end() && left > 0; ++item) {
            const auto& record = *item->second;
            if (record.m_pool == transfer.m_from && record.m_operation.empty() &&
                state.m_pending
                    .try_emplace(record.m_vm, planner_state::pending_move{transfer.m_from, transfer.m_to, now})
                    .second) {
                --left;
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
