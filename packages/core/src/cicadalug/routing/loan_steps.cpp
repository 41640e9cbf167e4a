#include <cicadalug/routing/deadline_rule.hpp>
#include <cicadalug/routing/routing_steps.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

namespace cicadalug::internal {

namespace {

// Time in which a borrowed slot can be used for new jobs; the rest of the term only covers jobs that were already
// started.
constexpr milliseconds loan_use_time{2'000};
constexpr milliseconds max_loan_term{60'000};
// A pool whose requests are not granted doubles its request interval up to the maximum.
constexpr milliseconds min_slot_request_interval{25};
constexpr milliseconds max_slot_request_interval{200};
// Limits the traffic regardless of the number of waiting pools: 20 requests per second, of about 100 bytes each, to
// each peer of the zone.
constexpr milliseconds min_slot_request_gap{50};

/** @brief Maximum time that a request of a pool holds a slot, except for requests with a deadline set by the caller. */
[[nodiscard]] auto longest_hold(const routing_pool& pool) -> microseconds
{
    return std::max<microseconds>(pool.m_longest_deadline, overdue_bound(pool.m_run_time));
}

/** @brief Pool for which slots are requested from the peers. */
struct slot_demand {
    pool_index m_pool{0};
    std::size_t m_waiting{0};
    bool m_overflow{false};
};

/** @brief Chooses, of the pools with waiting requests, the one whose next slot request has been due for longest. */
[[nodiscard]] auto choose_slot_demand(const routing_state& state, const time_point now) -> std::optional<slot_demand>
{
    std::optional<slot_demand> chosen;
    const auto consider = [&](const slot_demand& demand) {
        const auto next = state.m_pools[demand.m_pool].m_next_slot_request;
        if (demand.m_waiting > 0 && next <= now &&
            (!chosen || next < state.m_pools[chosen->m_pool].m_next_slot_request)) {
            chosen = demand;
        }
    };
    std::size_t others_waiting{0};
    for (const auto pool : state.m_waiting_pools) {
        const auto waiting = state.m_pools[pool].m_queue.m_requests.size();
        others_waiting += state.m_spare_pool == pool ? 0 : waiting;
        consider({pool, waiting, false});
    }
    if (state.m_spare_pool && !state.m_waiting_pools.contains(*state.m_spare_pool)) {
        consider({*state.m_spare_pool, others_waiting, true});
    }
    return chosen;
}

} // namespace

auto return_idle_loans(routing_state& state, const time_point now, routing_effects& effects) -> void
{
    std::vector<slot_key> idle;
    for (const auto& [key, loan] : state.m_ledger.m_borrowed) {
        const auto& upstream = state.m_upstreams[key.m_upstream];
        const auto& pool = state.m_pools[upstream.m_pool];
        const auto in_use = ((state.m_ledger.m_slots[key.m_upstream].m_busy >> key.m_slot) & 1U) != 0;
        const auto is_usable = upstream.m_counted_slots > 0 && now + longest_hold(pool) < loan.m_until;
        const auto is_needed =
            is_usable && !state.m_shutting_down && (!pool.m_queue.m_requests.empty() || pool.m_free < 2);
        if (!in_use && !is_needed) {
            idle.push_back(key);
        }
    }
    for (const auto key : idle) {
        const auto lender = state.m_ledger.m_borrowed.find(key)->second.m_lender;
        effects.m_messages.push_back({lender, return_borrowed_slot(state.m_ledger, key)});
        refresh_upstream(state, key.m_upstream);
    }
}

auto request_peer_slots(routing_state& state, const time_point now, routing_effects& effects) -> void
{
    if (!state.m_settings.m_borrowing || state.m_shutting_down || state.m_peers.empty()) {
        return;
    }
    const auto demand = now < state.m_next_slot_request ? std::nullopt : choose_slot_demand(state, now);
    if (!demand) {
        return;
    }
    auto& pool = state.m_pools[demand->m_pool];
    pool.m_slot_request_interval =
        std::clamp(2 * pool.m_slot_request_interval, min_slot_request_interval, max_slot_request_interval);
    pool.m_next_slot_request = now + pool.m_slot_request_interval;
    state.m_next_slot_request = now + min_slot_request_gap;
    const auto peers = state.m_peers.size();
    const auto count = std::min<std::size_t>(max_slots_per_grant, (demand->m_waiting + peers - 1) / peers);
    const auto term = std::min(max_loan_term, std::chrono::ceil<milliseconds>(longest_hold(pool) + loan_use_time));
    for (const auto& [peer, incarnation] : state.m_peers) {
        auto request = make_slot_request(state.m_ledger, peer, pool.m_id, static_cast<std::uint32_t>(count), term, now);
        request.m_overflow = demand->m_overflow;
        effects.m_messages.push_back({peer, request});
    }
}

} // namespace cicadalug::internal
