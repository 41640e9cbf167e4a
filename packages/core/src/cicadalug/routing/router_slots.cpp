#include <cicadalug/routing/router.hpp>
#include <cicadalug/routing/routing_steps.hpp>

#include <algorithm>
#include <variant>

namespace cicadalug {

namespace {

using namespace internal;

auto refresh_slots(routing_state& state, const std::vector<slot_key>& keys) -> void
{
    for (const auto key : keys) {
        refresh_upstream(state, key.m_upstream);
    }
}

/** @brief Computes how many slots of a pool can be lent. */
[[nodiscard]] auto lending_limit(const routing_state& state, const routing_pool& pool, const bool overflow)
    -> std::uint32_t
{
    // Slots are lent for overflow only while no request of this entry VM waits in any pool.
    if (!pool.m_queue.m_requests.empty() || (overflow && !state.m_waiting_pools.empty())) {
        return 0;
    }
    // Half of the free slots are kept for the callers of this entry VM, whose requests arrive at the same rate.
    const auto half = pool.m_free / 2;
    return static_cast<std::uint32_t>(overflow ? std::min(half, surplus_slots(spare_capacity_of(pool))) : half);
}

auto apply_slot_message(routing_state& state, const slot_request& request, const time_point now,
                        routing_effects& effects) -> void
{
    const auto found = state.m_pool_numbers.find(request.m_pool);
    if (found == state.m_pool_numbers.end() || !state.m_peers.contains(request.m_from) || state.m_shutting_down) {
        return;
    }
    const auto& pool = state.m_pools[found->second];
    std::vector<upstream_index> upstreams;
    for (const auto upstream : pool.m_upstreams) {
        const auto& entry = state.m_upstreams[upstream];
        if (entry.m_counted_free > 0 && !is_failing(entry.m_health)) {
            upstreams.push_back(upstream);
        }
    }
    const auto limit = lending_limit(state, pool, request.m_overflow);
    if (auto grant = lend_slots(state.m_ledger, request, upstreams, limit, now)) {
        for (const auto upstream : upstreams) {
            refresh_upstream(state, upstream);
        }
        effects.m_messages.push_back({request.m_from, std::move(*grant)});
    }
}

auto apply_slot_message(routing_state& state, const slot_grant& grant, const time_point now, routing_effects&) -> void
{
    for (const auto key : accept_grant(state.m_ledger, grant, now)) {
        refresh_upstream(state, key.m_upstream);
        auto& pool = state.m_pools[state.m_upstreams[key.m_upstream].m_pool];
        pool.m_slot_request_interval = milliseconds{0};
        pool.m_next_slot_request = now;
    }
}

auto apply_slot_message(routing_state& state, const slot_return& message, time_point, routing_effects&) -> void
{
    refresh_slots(state, reclaim_slots(state.m_ledger, message));
}

} // namespace

auto receive(routing_state& state, const slot_message& message, const time_point now) -> routing_effects
{
    routing_effects effects;
    std::visit([&](const auto& content) { apply_slot_message(state, content, now, effects); }, message);
    dispatch_freed(state, now, effects);
    return effects;
}

auto return_slots(routing_state& state, const time_point now) -> routing_effects
{
    routing_effects effects;
    state.m_shutting_down = true;
    return_idle_loans(state, now, effects);
    dispatch_freed(state, now, effects);
    return effects;
}

} // namespace cicadalug
