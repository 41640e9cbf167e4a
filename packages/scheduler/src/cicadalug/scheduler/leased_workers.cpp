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

/** @brief Checks whether a worker has a lease or waits for one, or its next incarnation may still carry out a start
 * without a response. */
[[nodiscard]] auto may_hold_runs(const scheduler_state& state, const worker_slot& worker, const time_point now) -> bool
{
    const bool waits_for_lease = worker.m_listed_end && (!worker.m_unresponsive || *worker.m_listed_end > now);
    return waits_for_lease || has_lease(state, worker, now) ||
           std::any_of(worker.m_runs.begin(), worker.m_runs.end(),
                       [&](const placed_run& run) { return may_start_in_next_incarnation(state, worker, run, now); });
}

/** @brief Returns the end of the stale lease of a worker that a write of the list names, or of what its new incarnation
 * may run by a start without a response; the current time if there is neither. */
[[nodiscard]] auto stale_end_of(const scheduler_state& state, const worker_slot& worker, const time_point now)
    -> time_point
{
    auto end = worker.m_restart_being_listed ? end_of_lease(state, worker, worker.m_stale_until_ms) : now;
    if (is_of_other_incarnation(worker)) {
        for (const auto& run : worker.m_runs) {
            end = std::max(end, run.m_confirmed ? now : end_of_unanswered_start(state, worker, run));
        }
    }
    return end;
}

/** @brief Returns the end of all that a worker which does not respond may run, unless it restarts. */
[[nodiscard]] auto end_of_runs(const scheduler_state& state, const worker_slot& worker) -> time_point
{
    auto end = lease_end(state, worker);
    for (const auto& run : worker.m_runs) {
        end = std::max(end, run.m_confirmed || run.m_held ? end : end_of_unanswered_start(state, worker, run));
    }
    return end;
}

/** @brief A worker is silent if it does not respond for this long after a renewal had no response, in which the next
 * one is answered if a single response was lost. A stored end keeps its lease from being renewed until the next write.
 */
constexpr milliseconds silence_time{250};

/** @brief Checks whether a worker that has reported in this term does not respond any more. */
[[nodiscard]] auto has_fallen_silent(const worker_slot& worker, const time_point now) -> bool
{
    return worker.m_has_reported && worker.m_unresponsive && now - worker.m_silent_since.value_or(now) >= silence_time;
}

/** @brief Returns the start of the incarnation of a worker of which this decider has heard last, 0 if it is not known.
 */
[[nodiscard]] auto last_incarnation_of(const worker_slot& worker) -> std::int64_t
{
    // The entry may be older than the last report.
    const auto registered = worker.m_entry.m_incarnation_start_unix_ms;
    const bool registered_last = registered != 0 && worker.m_fenced_incarnation_unix_ms == registered;
    return registered_last ? registered : worker.m_incarnation_start_unix_ms;
}

/** @brief Checks whether the incarnation of a worker of which this decider has heard last carries out no call to an
 * earlier one any more. One that only its entry has shown may not have answered a call with its raised token. */
[[nodiscard]] auto is_settled(const worker_slot& worker) -> bool
{
    return worker.m_has_reported && !worker.m_takes_stale_leases &&
           last_incarnation_of(worker) == worker.m_incarnation_start_unix_ms;
}

/** @brief Checks whether an expected worker is not likely to report: it is not registered, does not respond, or has
 * restarted. Its lease gets an end, until which a report brings it no other lease. */
[[nodiscard]] auto is_silent(const scheduler_state& state, const worker_id& id) -> bool
{
    const auto index = find_worker(state, id);
    if (index == no_worker || state.m_expected_unheard.contains(id)) {
        return true;
    }
    const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    return !worker.m_registered || worker.m_unresponsive;
}

} // namespace

auto is_settled(const scheduler_state& state, const worker_id& id) -> bool
{
    const auto found = state.m_expected_leases.find(id);
    return state.m_lease_bounds_known && (found == state.m_expected_leases.end() || found->second.m_settled);
}

auto expect_listed_end(const scheduler_state& state, worker_slot& worker) -> void
{
    const auto found = state.m_expected_leases.find(worker.m_entry.m_id);
    worker.m_listed_end = found == state.m_expected_leases.end() ? std::nullopt : found->second.m_end;
}

auto expect_late_calls(scheduler_state& state, const worker_entry& entry) -> void
{
    const auto known = state.m_expected_incarnations.find(entry.m_id);
    const auto start = entry.m_incarnation_start_unix_ms;
    if (state.m_expected_workers.contains(entry.m_id) && known != state.m_expected_incarnations.end() && start != 0 &&
        start != known->second) {
        state.m_expected_unheard.insert(entry.m_id);
    }
}

auto count_expected_workers(const scheduler_state& state, const service_id& service) -> std::int64_t
{
    return std::count_if(state.m_expected_workers.begin(), state.m_expected_workers.end(),
                         [&](const worker_id& id) { return may_serve(state, id, service); });
}

auto is_awaited(const scheduler_state& state, const worker_id& id, const time_point now) -> bool
{
    const bool ended = now > expected_lease_end(state, id) && now < state.m_term_guaranteed_until;
    return !ended && state.m_expected_workers.contains(id);
}

auto is_recovered(const scheduler_state& state, const service_id& service, const time_point now) -> bool
{
    return std::none_of(state.m_expected_workers.begin(), state.m_expected_workers.end(), [&](const worker_id& id) {
        return is_awaited(state, id, now) && may_serve(state, id, service);
    });
}

auto has_unlisted_lease(const scheduler_state& state, const time_point now) -> bool
{
    return std::any_of(state.m_current_workers.begin(), state.m_current_workers.end(), [&](const worker_index index) {
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        return (!worker.m_lease_listed && may_hold_runs(state, worker, now)) ||
               (worker.m_listed_end && !worker.m_unresponsive) ||
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

auto has_unlisted_end(const scheduler_state& state, const time_point now) -> bool
{
    const auto awaited = awaited_workers(state, now);
    const bool awaits_unlisted = std::any_of(awaited.begin(), awaited.end(), [&state](const worker_id& id) {
        const auto lease = state.m_expected_leases.find(id);
        return is_silent(state, id) && (lease == state.m_expected_leases.end() || !lease->second.m_end);
    });
    return awaits_unlisted || state.m_lease_list_pending ||
           std::any_of(state.m_current_workers.begin(), state.m_current_workers.end(), [&](const worker_index index) {
               const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
               return has_fallen_silent(worker, now) && !worker.m_end_being_listed && has_lease(state, worker, now);
           });
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
    for (const auto& id : awaited_workers(state, now)) {
        if (is_silent(state, id)) {
            const bool settled = is_settled(state, id);
            auto& lease = state.m_expected_leases[id];
            lease.m_settled = settled;
            lease.m_end = expected_end_of_grants(state, id);
            lease.m_late_end = expected_end_of_late_calls(state, id);
        }
    }
    state.m_lease_list_pending = true;
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
        worker.m_end_being_listed = in_list[index] && has_fallen_silent(worker, now);
        if (worker.m_end_being_listed) {
            worker.m_listed_end = worker.m_listed_end.value_or(end_of_runs(state, worker));
        }
        worker.m_restart_being_listed = in_list[index] && worker.m_stale_until_ms > 0;
        worker.m_restart_listed = worker.m_restart_listed && worker.m_restart_being_listed;
    }
    return leased;
}

auto complete_lease_list(scheduler_state& state, const std::vector<worker_index>& listed) -> void
{
    state.m_lease_list_pending = false;
    for (const auto index : listed) {
        auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        state.m_dispatch_requested =
            state.m_dispatch_requested || !worker.m_lease_listed || worker.m_restart_being_listed;
        worker.m_lease_listed = true;
        if (!worker.m_end_being_listed) {
            worker.m_listed_end.reset();
        }
        worker.m_restart_listed = worker.m_restart_being_listed;
    }
}

auto lease_bounds_of(const scheduler_state& state, const std::vector<worker_index>& leased, const time_point now)
    -> lease_bounds
{
    const auto elected = state.m_elected.value_or(state.m_began);
    const auto since_election = [since = state.m_candidate_since.value_or(elected)](const time_point time) {
        return std::chrono::ceil<milliseconds>(time - since);
    };
    lease_bounds bounds;
    bounds.m_token = state.m_token;
    bounds.m_places_since = state.m_places_since;
    bounds.m_written = std::chrono::floor<milliseconds>(now - elected);
    for (const auto& id : awaited_workers(state, now)) {
        stored_lease lease;
        lease.m_settled = is_settled(state, id);
        if (const auto called = state.m_expected_incarnations.find(id); called != state.m_expected_incarnations.end()) {
            lease.m_incarnation_start_unix_ms = called->second;
        }
        if (const auto found = state.m_expected_leases.find(id); found != state.m_expected_leases.end()) {
            if (found->second.m_end) {
                lease.m_end = since_election(*found->second.m_end);
                lease.m_late_end = since_election(expected_end_of_late_calls(state, id));
            }
            if (found->second.m_stale_end.value_or(now) > now) {
                lease.m_stale_end = since_election(*found->second.m_stale_end);
            }
        }
        if (lease.m_end || lease.m_stale_end || !lease.m_settled) {
            bounds.m_leases[id] = lease;
        }
    }
    for (const auto index : leased) {
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        const auto stale_end = stale_end_of(state, worker, now);
        if (stale_end > now || !is_settled(worker) || worker.m_end_being_listed) {
            auto& lease = bounds.m_leases[worker.m_entry.m_id];
            if (worker.m_end_being_listed && worker.m_listed_end) {
                lease.m_end = since_election(*worker.m_listed_end);
                lease.m_late_end = since_election(end_of_late_calls(state, worker));
            }
            if (stale_end > now) {
                lease.m_stale_end = since_election(stale_end);
            }
            lease.m_settled = is_settled(worker);
            lease.m_incarnation_start_unix_ms = last_incarnation_of(worker);
        }
    }
    return bounds;
}

auto inherit_lease_bounds(scheduler_state& state, const lease_bounds& bounds, const time_point elected) -> void
{
    const auto local = [elected](const std::optional<milliseconds> time) {
        return time ? std::optional{elected + *time} : std::nullopt;
    };
    for (const auto& [id, lease] : bounds.m_leases) {
        state.m_expected_leases[id] = {local(lease.m_end), local(lease.m_stale_end), local(lease.m_late_end),
                                       lease.m_settled};
        // The incarnations are written less often than the bounds.
        if (lease.m_incarnation_start_unix_ms != 0) {
            state.m_expected_incarnations[id] = lease.m_incarnation_start_unix_ms;
        }
    }
    state.m_lease_bounds_known = true;
    state.m_places_since = bounds.m_places_since;
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
        if (const auto end = stale_end_of(state, worker, now); end > now) {
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
        if (const auto start = last_incarnation_of(worker); start != 0) {
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
