#include <cicadalug/routing/deadline_rule.hpp>
#include <cicadalug/routing/routing_steps.hpp>

#include <algorithm>

namespace cicadalug::internal {

namespace {

// Time in which a loan can be used again and again; after it, the rest of the term only covers jobs that were started.
constexpr milliseconds loan_use_time{2'000};
constexpr milliseconds longest_loan{60'000};
// The first interval is a few round trips between zones' racks; the last keeps a long surge within the traffic limit.
constexpr milliseconds first_ask_interval{25};
constexpr milliseconds longest_ask_interval{800};

/** @brief Longest time that a request of a pool keeps a slot, apart from deadlines that callers set themselves. */
[[nodiscard]] auto longest_hold(const routing_pool& pool) -> microseconds
{
    return std::max<microseconds>(pool.m_longest_deadline, overdue_bound(pool.m_run_time));
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
        effects.m_messages.push_back({lender, give_back(state.m_ledger, key)});
        refresh_upstream(state, key.m_upstream);
    }
}

auto ask_peers(routing_state& state, const time_point now, routing_effects& effects) -> void
{
    if (!state.m_settings.m_borrowing || state.m_shutting_down || state.m_peers.empty()) {
        return;
    }
    for (const auto number : state.m_waiting_pools) {
        auto& pool = state.m_pools[number];
        if (now < pool.m_next_ask) {
            continue;
        }
        pool.m_ask_interval = std::clamp(2 * pool.m_ask_interval, first_ask_interval, longest_ask_interval);
        pool.m_next_ask = now + pool.m_ask_interval;
        const auto waiting = static_cast<std::uint32_t>(pool.m_queue.m_requests.size());
        const auto peers = static_cast<std::uint32_t>(state.m_peers.size());
        const auto count = std::min(max_slots_per_grant, (waiting + peers - 1) / peers);
        const auto term = std::min(longest_loan, std::chrono::ceil<milliseconds>(longest_hold(pool) + loan_use_time));
        for (const auto& [peer, incarnation] : state.m_peers) {
            effects.m_messages.push_back({peer, ask_for_slots(state.m_ledger, peer, pool.m_id, count, term, now)});
        }
    }
}

} // namespace cicadalug::internal
