#include <cicadalug/routing/router.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

auto start_waiting(routing_state& state, const pool_id& pool, routing_effects& effects) -> void
{
    auto& waiting = state.m_waiting[pool];
    for (auto& [vm, upstream] : state.m_upstreams) {
        while (!waiting.empty() && upstream.m_pool == pool && upstream.m_takes_work &&
               upstream.m_in_use < upstream.m_slots) {
            const auto request = waiting.front();
            waiting.pop_front();
            const attempt_id attempt{++state.m_last_attempt};
            state.m_attempts[attempt.value()] = {request, vm};
            ++upstream.m_in_use;
            effects.m_starts.push_back({request, vm, attempt, state.m_requests[request].m_deadline});
        }
    }
}

} // namespace

auto submit(routing_state& state, const routing_request& request, const time_point now) -> routing_effects
{
    routing_effects effects;
    const auto found = state.m_services.find(request.m_service);
    if (found == state.m_services.end()) {
        effects.m_answers.push_back({request.m_id, answer_kind::not_run, answer_reason::unknown_service, {}});
        return effects;
    }
    if (request.m_deadline <= now) {
        effects.m_answers.push_back({request.m_id, answer_kind::not_run, answer_reason::deadline, {}});
        return effects;
    }
    state.m_requests[request.m_id] = request;
    state.m_waiting[found->second.m_pool].push_back(request.m_id);
    start_waiting(state, found->second.m_pool, effects);
    return effects;
}

auto complete(routing_state& state, const attempt_id attempt, const attempt_outcome outcome,
              [[maybe_unused]] const time_point now) -> routing_effects
{
    routing_effects effects;
    const auto found = state.m_attempts.find(attempt.value());
    if (found == state.m_attempts.end()) {
        return effects;
    }
    auto& upstream = state.m_upstreams[found->second.m_vm];
    --upstream.m_in_use;
    if (state.m_requests.erase(found->second.m_request) > 0) {
        const auto kind = is_not_run(outcome) ? answer_kind::not_run
                          : outcome == attempt_outcome::answered || outcome == attempt_outcome::failed
                              ? answer_kind::answered
                              : answer_kind::unknown;
        effects.m_answers.push_back({found->second.m_request, kind, answer_reason::none, {}});
    }
    state.m_attempts.erase(found);
    start_waiting(state, upstream.m_pool, effects);
    return effects;
}

auto cancel(routing_state& state, const request_id& request, [[maybe_unused]] const time_point now) -> routing_effects
{
    if (state.m_requests.erase(request) > 0) {
        for (auto& [pool, waiting] : state.m_waiting) {
            std::erase(waiting, request);
        }
    }
    return {};
}

auto tick(routing_state& state, const time_point now) -> routing_effects
{
    routing_effects effects;
    for (auto& [pool, waiting] : state.m_waiting) {
        std::erase_if(waiting, [&](const request_id& id) {
            const auto expired = state.m_requests[id].m_deadline <= now;
            if (expired) {
                effects.m_answers.push_back({id, answer_kind::not_run, answer_reason::deadline, {}});
                state.m_requests.erase(id);
            }
            return expired;
        });
    }
    return effects;
}

auto apply_view(routing_state& state, const fleet_view& view, [[maybe_unused]] const time_point now) -> routing_effects
{
    routing_effects effects;
    state.m_services = view.m_services;
    for (auto& [vm, upstream] : state.m_upstreams) {
        upstream.m_takes_work = false;
    }
    for (const auto& [vm, record] : view.m_vms) {
        if (record.m_availability_zone == state.m_settings.m_availability_zone) {
            auto& upstream = state.m_upstreams[vm];
            upstream.m_pool = record.m_pool;
            upstream.m_slots = record.m_slots;
            upstream.m_takes_work = takes_new_work(record) && !view.m_leaving.contains(vm);
        }
    }
    for (const auto& [pool, description] : view.m_pools) {
        start_waiting(state, pool, effects);
    }
    return effects;
}

auto apply_peers(routing_state&, const std::vector<routing_peer>&, time_point) -> routing_effects
{
    return {};
}

auto receive(routing_state&, const slot_message&, time_point) -> routing_effects
{
    return {};
}

auto return_slots(routing_state&, time_point) -> routing_effects
{
    return {};
}

auto in_flight(const routing_state& state, const vm_id& vm) -> int
{
    const auto found = state.m_upstreams.find(vm);
    return found == state.m_upstreams.end() ? 0 : found->second.m_in_use;
}

auto pool_pressures(const routing_state& state) -> std::vector<pool_pressure>
{
    std::map<pool_id, pool_pressure> pressures;
    for (const auto& [vm, upstream] : state.m_upstreams) {
        auto& pressure = pressures[upstream.m_pool];
        pressure.m_slots += upstream.m_slots;
        pressure.m_in_use += upstream.m_in_use;
    }
    std::vector<pool_pressure> list;
    for (auto& [pool, pressure] : pressures) {
        const auto waiting = state.m_waiting.find(pool);
        pressure.m_pool = pool;
        pressure.m_waiting = waiting == state.m_waiting.end() ? 0 : static_cast<int>(waiting->second.size());
        list.push_back(pressure);
    }
    return list;
}

} // namespace cicadalug
