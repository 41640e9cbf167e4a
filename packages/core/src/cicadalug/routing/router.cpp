#include <cicadalug/routing/deadline_rule.hpp>
#include <cicadalug/routing/router.hpp>
#include <cicadalug/routing/routing_steps.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

using namespace internal;

// If a request fails on several upstreams, the request is more likely the cause than the upstreams.
constexpr int max_attempts = 4;
constexpr milliseconds probe_timeout{1'000};
constexpr milliseconds no_upstream_retry_delay{1'000};
// Number of observations of a service from which on timed-out attempts are no longer counted as run times.
constexpr std::size_t sufficient_run_time_samples = 20;

[[nodiscard]] auto refusal(const routing_request& request, const outcome_reason reason, const milliseconds retry_after)
    -> final_outcome
{
    return {request.m_id, outcome_kind::not_run, reason, retry_after};
}

[[nodiscard]] auto add_request(routing_state& state, const routing_request& request, const service_index service,
                               const time_point now) -> request_number
{
    const auto number = ++state.m_last_request;
    live_request live;
    live.m_request = request;
    live.m_service = service;
    const auto team = state.m_team_numbers.find(request.m_team);
    live.m_team = team == state.m_team_numbers.end() ? 0 : team->second;
    live.m_pool = state.m_services[service].m_pool;
    live.m_submitted = now;
    state.m_requests.emplace(number, std::move(live));
    state.m_request_numbers[request.m_id] = number;
    state.m_timers.push({request.m_deadline, timer_kind::request_deadline, number});
    return number;
}

/** @brief Queues a request for which no slot is free, or refuses it if it would wait too long. */
auto admit(routing_state& state, const request_number number, const time_point now, routing_effects& effects) -> void
{
    const auto& live = state.m_requests.find(number)->second;
    const auto& service = state.m_services[live.m_service];
    const auto& pool = state.m_pools[live.m_pool];
    const queue_place place{!live.m_request.m_urgent, live.m_request.m_deadline, number};
    const auto wait = estimated_wait(count_before(pool.m_queue, place), pool.m_slots, pool.m_run_time.m_mean);
    const auto remaining = live.m_request.m_deadline - now;
    const auto overrun = wait + needed_time(service.m_run_time, remaining) - remaining;
    if (overrun > microseconds{0}) {
        refuse_request(state, number, outcome_reason::deadline, retry_delay(overrun), effects);
        return;
    }
    if (service.m_waiting >= service.m_service.m_queue_limit) {
        const auto last = last_of_service(pool.m_queue, live.m_service);
        const auto displaces = live.m_request.m_urgent && last && last->m_place.m_normal;
        refuse_request(state, displaces ? last->m_number : number, outcome_reason::queue_full, retry_delay(wait),
                       effects);
        if (!displaces) {
            return;
        }
    }
    queue_request(state, number);
}

/** @brief Queues a request again after an attempt, or reports its final outcome. */
auto retry_or_finish(routing_state& state, const request_number number, const attempt_outcome outcome,
                     const time_point now, routing_effects& effects) -> void
{
    auto& live = state.m_requests.find(number)->second;
    auto& budget = state.m_services[live.m_service].m_budget;
    if (outcome == attempt_outcome::never_runs) {
        refund_retries(budget, live.m_attempts - 1);
        refuse_request(state, number, outcome_reason::never_runs, milliseconds{0}, effects);
        return;
    }
    live.m_possibly_run = live.m_possibly_run || !is_not_run(outcome);
    const auto is_allowed = is_retry_allowed(outcome, live.m_request.m_idempotent);
    const auto in_time = now < live.m_request.m_deadline;
    if (is_allowed && in_time && live.m_attempts < max_attempts && take_retry(budget)) {
        queue_request(state, number);
        dispatch_pool(state, live.m_pool, now, effects);
        return;
    }
    if (outcome == attempt_outcome::answered || outcome == attempt_outcome::failed) {
        finish_request(state, number, {live.m_request.m_id, outcome_kind::answered, outcome_reason::none, {}}, effects);
        return;
    }
    const auto reason = !is_not_run(outcome)              ? outcome_reason::no_response
                        : !in_time                        ? outcome_reason::deadline
                        : live.m_attempts >= max_attempts ? outcome_reason::not_accepted
                                                          : outcome_reason::retry_budget;
    refuse_request(state, number, reason, no_upstream_retry_delay, effects);
}

/** @brief Updates the health of the upstream and the run times, and returns the time until which the slot is held. */
[[nodiscard]] auto update_upstream_health(routing_state& state, live_attempt& attempt, const attempt_outcome outcome,
                                          const time_point now) -> time_point
{
    const auto upstream = attempt.m_slot.m_upstream;
    auto& health = state.m_upstreams[upstream].m_health;
    auto& service = state.m_services[attempt.m_service];
    auto& pool_times = state.m_pools[attempt.m_pool].m_run_time;
    const microseconds mean{static_cast<microseconds::rep>(service.m_run_time.m_mean)};
    switch (outcome) {
    case attempt_outcome::answered: {
        const auto was_failing = is_failing(health);
        count_success(health);
        record_run_time(service.m_run_time, now - attempt.m_started);
        record_run_time(pool_times, now - attempt.m_started);
        if (was_failing) {
            update_ejections(state, state.m_upstreams[upstream].m_pool, now);
        }
        return now;
    }
    case attempt_outcome::never_runs:
        return now;
    case attempt_outcome::no_slot:
        // Another entry VM is using the slot; it is likely to be free after the mean run time of a job.
        return now + mean;
    case attempt_outcome::leaving:
        health.m_leaving = true;
        update_ejections(state, state.m_upstreams[upstream].m_pool, now);
        return now;
    case attempt_outcome::connect_failed:
    case attempt_outcome::failed:
        record_upstream_failure(state, upstream, now);
        // A slot that fails fast is held as long as a mean job takes, so that it does not attract more requests.
        return std::max(now, attempt.m_started + mean);
    case attempt_outcome::timed_out:
    case attempt_outcome::connection_lost:
        // A timeout caused by a deadline shorter than an ordinary run does not indicate a failure of the upstream.
        if (!attempt.m_overdue && (outcome == attempt_outcome::connection_lost ||
                                   now - attempt.m_started >= percentile(service.m_run_time, 0.99))) {
            record_upstream_failure(state, upstream, now);
        }
        if (outcome == attempt_outcome::timed_out && service.m_run_time.m_samples < sufficient_run_time_samples) {
            record_run_time(service.m_run_time, now - attempt.m_started);
        }
        return std::max(now, attempt.m_hold_until);
    case attempt_outcome::cancelled:
        return std::max(now, attempt.m_hold_until);
    }
    return now;
}

auto complete_probe(routing_state& state, const std::uint64_t attempt, const attempt_outcome outcome,
                    const time_point now) -> void
{
    const auto upstream = state.m_attempts.find(attempt)->second.m_slot.m_upstream;
    state.m_attempts.erase(attempt);
    auto& entry = state.m_upstreams[upstream];
    entry.m_probe_scheduled = false;
    count_probe(entry.m_health, outcome == attempt_outcome::answered);
    update_ejections(state, entry.m_pool, now);
}

auto run_probe(routing_state& state, const upstream_index upstream, const time_point now, routing_effects& effects)
    -> void
{
    auto& entry = state.m_upstreams[upstream];
    if (!entry.m_serving || !(is_failing(entry.m_health) || entry.m_health.m_leaving)) {
        entry.m_probe_scheduled = false;
        return;
    }
    const attempt_id attempt{++state.m_last_attempt};
    live_attempt probe;
    probe.m_slot.m_upstream = upstream;
    state.m_attempts[attempt.value()] = probe;
    effects.m_probes.push_back({state.m_ledger.m_vms[upstream], attempt, now + probe_timeout});
}

auto run_timer(routing_state& state, const routing_timer& timer, const time_point now, routing_effects& effects) -> void
{
    const auto attempt = state.m_attempts.find(timer.m_subject);
    switch (timer.m_kind) {
    case timer_kind::request_deadline:
        if (const auto found = state.m_requests.find(timer.m_subject); found != state.m_requests.end()) {
            auto& live = found->second;
            live.m_possibly_run = live.m_possibly_run || !live.m_waiting;
            refuse_request(state, timer.m_subject, outcome_reason::deadline, no_upstream_retry_delay, effects);
        }
        return;
    case timer_kind::attempt_overdue:
        if (attempt != state.m_attempts.end() && !attempt->second.m_ended) {
            attempt->second.m_overdue = true;
            record_upstream_failure(state, attempt->second.m_slot.m_upstream, now);
        }
        return;
    case timer_kind::slot_release:
        if (attempt != state.m_attempts.end()) {
            release_slot(state, attempt_id{timer.m_subject}, now, now);
        }
        return;
    case timer_kind::probe:
        run_probe(state, static_cast<upstream_index>(timer.m_subject), now, effects);
        return;
    }
}

} // namespace

auto submit(routing_state& state, const routing_request& request, const time_point now) -> routing_effects
{
    routing_effects effects;
    const auto service = state.m_service_numbers.find(request.m_service);
    if (service == state.m_service_numbers.end() || !state.m_services[service->second].m_known) {
        effects.m_outcomes.push_back(refusal(request, outcome_reason::unknown_service, milliseconds{0}));
        return effects;
    }
    const auto& entry = state.m_services[service->second];
    if (request.m_deadline <= now) {
        effects.m_outcomes.push_back(refusal(request, outcome_reason::deadline, milliseconds{0}));
        return effects;
    }
    const auto number = add_request(state, request, service->second, now);
    const auto& pool = state.m_pools[entry.m_pool];
    if (pool.m_queue.m_requests.empty() && start_request(state, number, now, effects)) {
        return effects;
    }
    if (pool.m_serving == 0) {
        refuse_request(state, number, outcome_reason::no_upstream, no_upstream_retry_delay, effects);
    }
    else {
        admit(state, number, now, effects);
        dispatch_pool(state, entry.m_pool, now, effects);
    }
    return effects;
}

auto complete(routing_state& state, const attempt_id attempt, const attempt_outcome outcome, const time_point now)
    -> routing_effects
{
    routing_effects effects;
    const auto found = state.m_attempts.find(attempt.value());
    if (found == state.m_attempts.end() || found->second.m_ended) {
        return effects;
    }
    auto& entry = found->second;
    if (entry.m_number == 0) {
        complete_probe(state, attempt.value(), outcome, now);
        dispatch_freed(state, now, effects);
        return effects;
    }
    entry.m_ended = true;
    const auto number = entry.m_number;
    const auto hold_until = update_upstream_health(state, entry, outcome, now);
    if (!can_still_run(outcome)) {
        end_running(state, entry);
    }
    release_slot(state, attempt, hold_until, now);
    if (state.m_requests.contains(number)) {
        retry_or_finish(state, number, outcome, now, effects);
    }
    dispatch_freed(state, now, effects);
    return effects;
}

auto cancel(routing_state& state, const request_id& request, const time_point now) -> routing_effects
{
    routing_effects effects;
    const auto found = state.m_request_numbers.find(request);
    if (found != state.m_request_numbers.end()) {
        erase_request(state, found->second);
        dispatch_freed(state, now, effects);
    }
    return effects;
}

auto tick(routing_state& state, const time_point now) -> routing_effects
{
    routing_effects effects;
    while (!state.m_timers.empty() && state.m_timers.top().m_time <= now) {
        const auto timer = state.m_timers.top();
        state.m_timers.pop();
        run_timer(state, timer, now, effects);
    }
    for (const auto key : expire_loans(state.m_ledger, now)) {
        refresh_upstream(state, key.m_upstream);
    }
    return_idle_loans(state, now, effects);
    if (state.m_spare_pool && !state.m_waiting_pools.empty()) {
        // Overflow to the spare pool can become possible without a slot of that pool becoming free.
        state.m_freed_pools.insert(*state.m_spare_pool);
    }
    dispatch_freed(state, now, effects);
    request_peer_slots(state, now, effects);
    return effects;
}

} // namespace cicadalug
