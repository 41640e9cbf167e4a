#include <cicadalug/routing/ejection.hpp>
#include <cicadalug/routing/routing_steps.hpp>

#include <algorithm>
#include <bit>

namespace cicadalug::internal {

auto refresh_upstream(routing_state& state, const upstream_index upstream) -> void
{
    auto& entry = state.m_upstreams[upstream];
    auto& pool = state.m_pools[entry.m_pool];
    const auto& slots = state.m_ledger.m_slots[upstream];
    const auto is_available = entry.m_serving && !entry.m_ejected && !entry.m_health.m_leaving;
    const auto usable = is_available ? std::popcount(usable_slots(slots)) : 0;
    const auto free = is_available ? std::popcount(free_slots(slots)) : 0;
    if (free > entry.m_counted_free) {
        state.m_freed_pools.insert(entry.m_pool);
    }
    pool.m_slots += usable - entry.m_counted_slots;
    pool.m_free += free - entry.m_counted_free;
    entry.m_counted_slots = usable;
    entry.m_counted_free = free;
    set_rank(pool.m_ranked, state.m_places, upstream,
             is_available ? rank_upstream(entry.m_health, free) : unavailable_rank);
}

auto schedule_probe(routing_state& state, const upstream_index upstream, const time_point now) -> void
{
    auto& entry = state.m_upstreams[upstream];
    if (!entry.m_probe_scheduled && entry.m_serving && (is_failing(entry.m_health) || entry.m_health.m_leaving)) {
        entry.m_probe_scheduled = true;
        state.m_timers.push({now + entry.m_health.m_probe_interval, timer_kind::probe, upstream});
    }
}

auto update_ejections(routing_state& state, const pool_index pool, const time_point now) -> void
{
    auto& entry = state.m_pools[pool];
    std::vector<ejection_candidate> candidates;
    for (const auto upstream : entry.m_upstreams) {
        const auto& health = state.m_upstreams[upstream].m_health;
        if (state.m_upstreams[upstream].m_serving && !health.m_leaving) {
            candidates.push_back({upstream, is_failing(health), health.m_success_rate});
        }
    }
    const auto allowance =
        ejection_allowance(static_cast<int>(candidates.size()), static_cast<int>(entry.m_upstreams.size()),
                           entry.m_all_members, entry.m_promised_vms);
    const auto ejected = choose_ejected(std::move(candidates), allowance);
    for (const auto upstream : entry.m_upstreams) {
        state.m_upstreams[upstream].m_ejected = std::binary_search(ejected.begin(), ejected.end(), upstream);
        refresh_upstream(state, upstream);
        schedule_probe(state, upstream, now);
    }
}

auto record_upstream_failure(routing_state& state, const upstream_index upstream, const time_point now) -> void
{
    auto& entry = state.m_upstreams[upstream];
    const auto was_failing = is_failing(entry.m_health);
    count_failure(entry.m_health, now);
    std::set<pool_index> pools;
    if (is_failing(entry.m_health) != was_failing) {
        pools.insert(entry.m_pool);
    }
    std::vector<const upstream_health*> rack;
    for (const auto member : state.m_racks[entry.m_rack]) {
        if (state.m_upstreams[member].m_serving) {
            rack.push_back(&state.m_upstreams[member].m_health);
        }
    }
    if (is_rack_failed(rack, now)) {
        for (const auto member : state.m_racks[entry.m_rack]) {
            auto& other = state.m_upstreams[member];
            if (other.m_serving && !other.m_health.m_rack_failed) {
                other.m_health.m_rack_failed = true;
                pools.insert(other.m_pool);
            }
        }
    }
    for (const auto pool : pools) {
        update_ejections(state, pool, now);
    }
    refresh_upstream(state, upstream);
}

auto end_running(routing_state& state, live_attempt& attempt) -> void
{
    if (!attempt.m_running) {
        return;
    }
    attempt.m_running = false;
    --state.m_upstreams[attempt.m_slot.m_upstream].m_running;
    --state.m_pools[attempt.m_pool].m_teams.m_in_use[attempt.m_team];
}

auto release_slot(routing_state& state, const attempt_id attempt, const time_point until, const time_point now) -> void
{
    const auto found = state.m_attempts.find(attempt.value());
    if (now < until) {
        state.m_timers.push({until, timer_kind::slot_release, attempt.value()});
        return;
    }
    auto& entry = found->second;
    end_running(state, entry);
    mark_slot_free(state.m_ledger, entry.m_slot);
    if (entry.m_slot_pool != entry.m_pool) {
        --state.m_pools[entry.m_slot_pool].m_overflow;
    }
    const auto upstream = entry.m_slot.m_upstream;
    state.m_attempts.erase(found);
    refresh_upstream(state, upstream);
}

} // namespace cicadalug::internal
