#include <cicadalug/routing/deadline_rule.hpp>
#include <cicadalug/routing/overflow.hpp>
#include <cicadalug/routing/routing_steps.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cicadalug::internal {

namespace {

/** @brief Time at which the connection is closed; earlier than the end of the hold only if a retry is possible. */
[[nodiscard]] auto attempt_timeout(const routing_request& request, const microseconds overdue,
                                   const time_point hold_until, const time_point now) -> time_point
{
    const auto retry_at = now + std::max<microseconds>(overdue, (request.m_deadline - now) / 4);
    return request.m_idempotent && retry_at < request.m_deadline ? retry_at : hold_until;
}

/** @brief Returns whether the response of a waiting request would miss its deadline if the request started now. */
[[nodiscard]] auto misses_deadline(const routing_state& state, const live_request& live, const bool others_wait,
                                   const time_point now) -> bool
{
    const auto& times = state.m_services[live.m_service].m_run_time;
    const auto needed =
        others_wait ? needed_time(times, live.m_request.m_deadline - live.m_submitted) : microseconds{0};
    return now + needed >= live.m_request.m_deadline;
}

auto record_start(routing_state& state, const request_number number, const pool_index slot_pool, const slot_key slot,
                  const time_point hold_until, const time_point now, routing_effects& effects) -> void
{
    auto& live = state.m_requests.find(number)->second;
    auto& service = state.m_services[live.m_service];
    const attempt_id attempt{++state.m_last_attempt};
    if (live.m_attempts++ == 0) {
        count_first_attempt(service.m_budget, service.m_service.m_retry_ratio);
    }
    live.m_tried.push_back(slot.m_upstream);
    state.m_attempts[attempt.value()] = {number, slot,       live.m_service, live.m_team, live.m_pool, slot_pool,
                                         now,    hold_until, false,          true,        false};
    ++state.m_upstreams[slot.m_upstream].m_running;
    ++state.m_pools[live.m_pool].m_teams.m_in_use[live.m_team];
    if (slot_pool != live.m_pool) {
        ++state.m_pools[slot_pool].m_overflow;
    }
    const auto overdue = overdue_bound(service.m_run_time);
    state.m_timers.push({now + overdue, timer_kind::attempt_overdue, attempt.value()});
    effects.m_starts.push_back({live.m_request.m_id, state.m_ledger.m_vms[slot.m_upstream], attempt,
                                attempt_timeout(live.m_request, overdue, hold_until, now)});
    refresh_upstream(state, slot.m_upstream);
}

[[nodiscard]] auto start_in_pool(routing_state& state, const request_number number, const pool_index pool,
                                 const time_point now, routing_effects& effects) -> bool
{
    auto& live = state.m_requests.find(number)->second;
    if (state.m_pools[pool].m_free == 0) {
        return false;
    }
    const auto bound = overdue_bound(state.m_services[live.m_service].m_run_time);
    const auto hold_until = std::max(live.m_request.m_deadline, now + bound);
    slot_key slot;
    const auto is_tried = [&live](const upstream_index upstream) {
        return std::find(live.m_tried.begin(), live.m_tried.end(), upstream) != live.m_tried.end();
    };
    const auto take = [&](const upstream_index upstream) {
        const auto taken = acquire_slot(state.m_ledger, upstream, hold_until);
        slot = {upstream, taken.value_or(0)};
        return taken.has_value();
    };
    if (!choose_upstream(state.m_pools[pool].m_ranked, is_tried, take)) {
        return false;
    }
    record_start(state, number, pool, slot, hold_until, now, effects);
    return true;
}

} // namespace

auto spare_capacity_of(const routing_pool& spare) noexcept -> spare_capacity
{
    return {spare.m_slots, spare.m_promised_slots, spare.m_overflow, static_cast<int>(spare.m_queue.m_requests.size())};
}

auto start_request(routing_state& state, const request_number number, const time_point now, routing_effects& effects)
    -> bool
{
    const auto pool = state.m_requests.find(number)->second.m_pool;
    if (start_in_pool(state, number, pool, now, effects)) {
        return true;
    }
    return state.m_spare_pool && *state.m_spare_pool != pool &&
           is_overflow_allowed(spare_capacity_of(state.m_pools[*state.m_spare_pool])) &&
           start_in_pool(state, number, *state.m_spare_pool, now, effects);
}

auto queue_request(routing_state& state, const request_number number) -> void
{
    auto& live = state.m_requests.find(number)->second;
    const queue_place place{!live.m_request.m_urgent, live.m_request.m_deadline, number};
    enqueue(state.m_pools[live.m_pool].m_queue, {place, number, live.m_service, live.m_team});
    live.m_waiting = true;
    ++state.m_services[live.m_service].m_waiting;
    state.m_waiting_pools.insert(live.m_pool);
}

namespace {

auto remove_from_queue(routing_state& state, const request_number number, live_request& live) -> void
{
    auto& pool = state.m_pools[live.m_pool];
    dequeue(pool.m_queue, number);
    live.m_waiting = false;
    --state.m_services[live.m_service].m_waiting;
    if (pool.m_queue.m_requests.empty()) {
        pool.m_slot_request_interval = milliseconds{0};
        state.m_waiting_pools.erase(live.m_pool);
        if (state.m_spare_pool && state.m_waiting_pools.empty()) {
            state.m_pools[*state.m_spare_pool].m_slot_request_interval = milliseconds{0};
        }
    }
}

} // namespace

auto erase_request(routing_state& state, const request_number number) -> void
{
    const auto found = state.m_requests.find(number);
    if (found->second.m_waiting) {
        remove_from_queue(state, number, found->second);
    }
    state.m_request_numbers.erase(found->second.m_request.m_id);
    state.m_requests.erase(found);
}

auto finish_request(routing_state& state, const request_number number, const final_outcome& outcome,
                    routing_effects& effects) -> void
{
    effects.m_outcomes.push_back(outcome);
    erase_request(state, number);
}

auto refuse_request(routing_state& state, const request_number number, const outcome_reason reason,
                    const milliseconds retry_after, routing_effects& effects) -> void
{
    const auto& live = state.m_requests.find(number)->second;
    const auto kind = live.m_possibly_run ? outcome_kind::unknown : outcome_kind::not_run;
    finish_request(state, number,
                   {live.m_request.m_id, kind, reason, live.m_possibly_run ? milliseconds{0} : retry_after}, effects);
}

auto dispatch_pool(routing_state& state, const pool_index pool, const time_point now, routing_effects& effects) -> void
{
    auto& entry = state.m_pools[pool];
    while (const auto next = next_request(entry.m_queue, entry.m_teams)) {
        auto& live = state.m_requests.find(next->m_number)->second;
        if (misses_deadline(state, live, entry.m_queue.m_requests.size() > 1, now)) {
            const auto wait = estimated_wait(entry.m_queue.m_requests.size(), entry.m_slots, entry.m_run_time.m_mean);
            refuse_request(state, next->m_number, outcome_reason::deadline, retry_delay(wait), effects);
            continue;
        }
        if (!start_request(state, next->m_number, now, effects)) {
            return;
        }
        remove_from_queue(state, next->m_number, live);
    }
}

auto dispatch_freed(routing_state& state, const time_point now, routing_effects& effects) -> void
{
    const auto freed = std::exchange(state.m_freed_pools, {});
    for (const auto pool : freed) {
        dispatch_pool(state, pool, now, effects);
    }
    if (state.m_spare_pool && freed.contains(*state.m_spare_pool) &&
        is_overflow_allowed(spare_capacity_of(state.m_pools[*state.m_spare_pool]))) {
        std::vector<std::pair<queue_place, pool_index>> waiting;
        for (const auto pool : state.m_waiting_pools) {
            waiting.emplace_back(state.m_pools[pool].m_queue.m_requests.get<internal::by_place>().begin()->m_place,
                                 pool);
        }
        std::sort(waiting.begin(), waiting.end());
        for (const auto& [place, pool] : waiting) {
            dispatch_pool(state, pool, now, effects);
        }
    }
    state.m_freed_pools.clear();
}

} // namespace cicadalug::internal
