#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/unanswered_start.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <tuple>

namespace cicadalug {

namespace {

/** @brief Checks whether the runs of an expected worker may be of a service: it has an entry of that service, or none.
 */
[[nodiscard]] auto may_serve(const scheduler_state& state, const worker_id& id, const service_id& service) -> bool
{
    const auto index = find_worker(state, id);
    return index == no_worker || state.m_workers[static_cast<std::size_t>(index)].m_entry.m_service == service;
}

/** @brief Checks whether a worker has a lease, or its next incarnation may still carry out a start without a response.
 */
[[nodiscard]] auto may_hold_runs(const scheduler_state& state, const worker_slot& worker, const time_point now) -> bool
{
    return has_lease(state, worker, now) ||
           std::any_of(worker.m_runs.begin(), worker.m_runs.end(),
                       [&](const placed_run& run) { return may_start_in_next_incarnation(state, worker, run, now); });
}

} // namespace

auto expect_late_calls(scheduler_state& state, const worker_entry& entry) -> void
{
    const auto known = state.m_expected_incarnations.find(entry.m_id);
    const auto start = entry.m_incarnation_start_unix_ms;
    if (!state.m_expected_workers.contains(entry.m_id) || known == state.m_expected_incarnations.end() || start == 0 ||
        start == known->second) {
        return;
    }
    known->second = start;
    state.m_expected_unheard.insert(entry.m_id);
    state.m_expected_restart_listed = false;
}

auto count_expected_workers(const scheduler_state& state, const service_id& service) -> std::int64_t
{
    return std::count_if(state.m_expected_workers.begin(), state.m_expected_workers.end(),
                         [&](const worker_id& id) { return may_serve(state, id, service); });
}

auto is_recovered(const scheduler_state& state, const service_id& service, const time_point now) -> bool
{
    return std::none_of(state.m_expected_workers.begin(), state.m_expected_workers.end(), [&](const worker_id& id) {
        const bool ended = now > expected_lease_end(state, id) && now < state.m_term_guaranteed_until;
        return !ended && may_serve(state, id, service);
    });
}

auto has_unlisted_lease(const scheduler_state& state, const time_point now) -> bool
{
    return !state.m_expected_restart_listed ||
           std::any_of(state.m_current_workers.begin(), state.m_current_workers.end(), [&](const worker_index index) {
               const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
               return (!worker.m_lease_listed && may_hold_runs(state, worker, now)) ||
                      (!worker.m_restart_listed && worker.m_stale_until_ms > 0);
           });
}

auto awaited_workers(const scheduler_state& state, const time_point now) -> std::vector<worker_id>
{
    std::vector<worker_id> awaited;
    std::copy_if(state.m_expected_workers.begin(), state.m_expected_workers.end(), std::back_inserter(awaited),
                 [&](const worker_id& id) { return now < expected_lease_end(state, id); });
    return awaited;
}

auto last_awaited_worker(const scheduler_state& state, const service_id& service, const time_point now)
    -> std::optional<worker_id>
{
    auto awaited = awaited_workers(state, now);
    std::erase_if(awaited, [&](const worker_id& id) { return !may_serve(state, id, service); });
    const auto last =
        std::max_element(awaited.begin(), awaited.end(), [&state](const worker_id& left, const worker_id& right) {
            return expected_lease_end(state, left) < expected_lease_end(state, right);
        });
    return last == awaited.end() ? std::nullopt : std::optional{*last};
}

auto are_expected_workers_listed(const scheduler_state& state, const time_point now) -> bool
{
    return !awaited_workers(state, now).empty();
}

auto has_ended_lease_in_list(const scheduler_state& state, const time_point now) -> bool
{
    return (state.m_expected_listed && !are_expected_workers_listed(state, now)) ||
           std::any_of(state.m_workers.begin(), state.m_workers.end(), [&](const worker_slot& worker) {
               return (worker.m_lease_listed && !may_hold_runs(state, worker, now)) ||
                      (worker.m_restart_listed && worker.m_stale_until_ms == 0);
           });
}

auto begin_lease_list(scheduler_state& state, const time_point now) -> std::vector<worker_index>
{
    state.m_expected_restart_listed = true;
    std::vector<worker_index> leased;
    for (const auto index : state.m_current_workers) {
        if (may_hold_runs(state, state.m_workers[static_cast<std::size_t>(index)], now)) {
            leased.push_back(index);
        }
    }
    std::vector<bool> in_list(state.m_workers.size(), false);
    for (const auto index : leased) {
        in_list[static_cast<std::size_t>(index)] = true;
    }
    // Workers that have left the table of current workers may be registered again.
    for (std::size_t index = 0; index < state.m_workers.size(); ++index) {
        auto& worker = state.m_workers[index];
        worker.m_lease_listed = worker.m_lease_listed && in_list[index];
        worker.m_restart_being_listed = in_list[index] && worker.m_stale_until_ms > 0;
        worker.m_restart_listed = worker.m_restart_listed && worker.m_restart_being_listed;
    }
    return leased;
}

auto complete_lease_list(scheduler_state& state, const std::vector<worker_index>& listed) -> void
{
    for (const auto index : listed) {
        auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        state.m_dispatch_requested =
            state.m_dispatch_requested || !worker.m_lease_listed || worker.m_restart_being_listed;
        worker.m_lease_listed = true;
        worker.m_restart_listed = worker.m_restart_being_listed;
    }
}

auto restarted_workers(const scheduler_state& state, const std::vector<worker_index>& leased, const time_point now)
    -> std::map<worker_id, milliseconds>
{
    std::map<worker_id, milliseconds> restarted;
    const auto add = [&](const worker_id& id, const time_point end) {
        restarted[id] = std::chrono::ceil<milliseconds>(std::max(end - now, microseconds{0}));
    };
    for (const auto& id : awaited_workers(state, now)) {
        if (const auto end = expected_lease_end(state, id); end > inherited_leases_end(state)) {
            add(id, end);
        }
    }
    for (const auto index : leased) {
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        auto end = worker.m_restart_being_listed ? end_of_lease(state, worker, worker.m_stale_until_ms) : now;
        if (is_of_other_incarnation(worker)) {
            for (const auto& run : worker.m_runs) {
                end = std::max(end, run.m_confirmed ? now : end_of_unanswered_start(state, worker, run));
            }
        }
        if (end > now) {
            add(worker.m_entry.m_id, end);
        }
    }
    return restarted;
}

auto incarnations_of_listed_workers(const scheduler_state& state, const std::vector<worker_index>& leased,
                                    const time_point now) -> std::map<worker_id, std::int64_t>
{
    std::map<worker_id, std::int64_t> incarnations;
    for (const auto& id : awaited_workers(state, now)) {
        if (const auto called = state.m_expected_incarnations.find(id); called != state.m_expected_incarnations.end()) {
            incarnations.insert(*called);
        }
    }
    for (const auto index : leased) {
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        // The entry may be older than the last report.
        const auto registered = worker.m_entry.m_incarnation_start_unix_ms;
        const bool registered_last = registered != 0 && worker.m_fenced_incarnation_unix_ms == registered;
        if (const auto start = registered_last ? registered : worker.m_incarnation_start_unix_ms; start != 0) {
            incarnations[worker.m_entry.m_id] = start;
        }
    }
    return incarnations;
}

auto vms_of_listed_workers(const scheduler_state& state, const std::vector<worker_index>& leased,
                           const bool lists_expected) -> std::map<worker_id, vm_id>
{
    std::map<worker_id, vm_id> vms;
    if (lists_expected) {
        vms = state.m_expected_vms;
    }
    for (const auto index : leased) {
        const auto& entry = state.m_workers[static_cast<std::size_t>(index)].m_entry;
        if (!entry.m_vm.empty()) {
            vms[entry.m_id] = entry.m_vm;
        }
    }
    return vms;
}

auto drop_replaced_workers(scheduler_state& state, const worker_slot& reporting) -> void
{
    const auto& [id, vm] = std::tie(reporting.m_entry.m_id, reporting.m_entry.m_vm);
    state.m_expected_vms.erase(id);
    if (vm.empty()) {
        return;
    }
    for (auto known = state.m_expected_vms.begin(); known != state.m_expected_vms.end();) {
        if (known->second != vm) {
            ++known;
            continue;
        }
        state.m_expected_workers.erase(known->first);
        state.m_dispatch_requested = true;
        known = state.m_expected_vms.erase(known);
    }
}

} // namespace cicadalug
