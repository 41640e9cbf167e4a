#include <cicadalug/routing/deadline_rule.hpp>
#include <cicadalug/routing/routing_steps.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

namespace cicadalug::internal {

namespace {

// Time in which a loan can be used again and again; after it, the rest of the term only covers jobs that were started.
constexpr milliseconds loan_use_time{2'000};
constexpr milliseconds longest_loan{60'000};
// A pool that gets nothing asks less and less often.
constexpr milliseconds first_ask_interval{25};
constexpr milliseconds longest_ask_interval{200};
// Bounds the traffic, however many pools wait: 20 requests of about 100 bytes a second to each peer of the zone.
constexpr milliseconds least_ask_gap{50};

/** @brief Longest time that a request of a pool keeps a slot, apart from deadlines that callers set themselves. */
[[nodiscard]] auto longest_hold(const routing_pool& pool) -> microseconds
{
    return std::max<microseconds>(pool.m_longest_deadline, overdue_bound(pool.m_run_time));
}

/** @brief A pool that slots are wanted for. */
struct wanted_slots {
    pool_index m_pool{0};
    std::size_t m_waiting{0};
    bool m_overflow{false};
};

/** @brief Chooses the pool that may have asked for the longest time, of those with waiting requests. */
[[nodiscard]] auto choose_wanted(const routing_state& state, const time_point now) -> std::optional<wanted_slots>
{
    std::optional<wanted_slots> chosen;
    const auto consider = [&](const wanted_slots& wanted) {
        const auto next = state.m_pools[wanted.m_pool].m_next_ask;
        if (wanted.m_waiting > 0 && next <= now && (!chosen || next < state.m_pools[chosen->m_pool].m_next_ask)) {
            chosen = wanted;
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
        effects.m_messages.push_back({lender, give_back(state.m_ledger, key)});
        refresh_upstream(state, key.m_upstream);
    }
}

auto ask_peers(routing_state& state, const time_point now, routing_effects& effects) -> void
{
    if (!state.m_settings.m_borrowing || state.m_shutting_down || state.m_peers.empty()) {
        return;
    }
    const auto wanted = now < state.m_next_ask ? std::nullopt : choose_wanted(state, now);
    if (!wanted) {
        return;
    }
    auto& pool = state.m_pools[wanted->m_pool];
    pool.m_ask_interval = std::clamp(2 * pool.m_ask_interval, first_ask_interval, longest_ask_interval);
    pool.m_next_ask = now + pool.m_ask_interval;
    state.m_next_ask = now + least_ask_gap;
    const auto peers = state.m_peers.size();
    const auto count = std::min<std::size_t>(max_slots_per_grant, (wanted->m_waiting + peers - 1) / peers);
    const auto term = std::min(longest_loan, std::chrono::ceil<milliseconds>(longest_hold(pool) + loan_use_time));
    for (const auto& [peer, incarnation] : state.m_peers) {
        auto request = ask_for_slots(state.m_ledger, peer, pool.m_id, static_cast<std::uint32_t>(count), term, now);
        request.m_overflow = wanted->m_overflow;
        effects.m_messages.push_back({peer, request});
    }
}

} // namespace cicadalug::internal
