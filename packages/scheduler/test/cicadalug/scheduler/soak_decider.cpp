#include "soak_decider.hpp"

#include "soak_simulation.hpp"

#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/end_acknowledgement.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug::test {

namespace {

constexpr milliseconds call_time{10};
constexpr milliseconds renewal_wait{900};
constexpr milliseconds trial_renewal_wait{150};
constexpr milliseconds renewal_slack{500};
constexpr milliseconds renewal_gap{60};
constexpr milliseconds renewal_pause{200};
constexpr milliseconds write_time{20};
constexpr milliseconds write_timeout{700};
constexpr milliseconds lease_list_interval{1'000};
constexpr milliseconds lease_end_interval{200};

/** @brief The platform's bounds on the delay of a call that is carried out late. */
constexpr std::int64_t least_lateness_ms{2'000};
constexpr std::int64_t most_lateness_ms{soak_longest_lateness.count()};

constexpr std::int64_t longest_election_delay_ms{300};

/** @brief A decider whose lease has not been renewed for this time ends its term. */
constexpr milliseconds unrenewed_limit{8'000};

} // namespace

soak_decider::soak_decider(soak_simulation& simulation, const fencing_token token)
    : m_simulation{simulation}, m_random{&simulation.m_random}, m_revision{token.value()}
{
    m_state.m_token = token;
    m_state.m_settings.m_longest_lease = simulation.longest_lease();
    record_term_write(m_state, store_revision{++m_revision});
}

auto soak_decider::now() const -> time_point
{
    return m_simulation.now();
}

auto soak_decider::cut_off(const soak_cut& cut) -> void
{
    m_cut = cut;
    m_random = &m_simulation.m_later_random;
}

auto soak_decider::has_ended() const -> bool
{
    // The lease of the term ends in the store, and is missing when the decider reaches it again.
    return m_state.m_deposed ||
           (m_cut && (now() - m_last_renewal > unrenewed_limit || (now() >= m_cut->m_end && m_simulation.m_store_up)));
}

auto soak_decider::reaches_store() const -> bool
{
    return !m_cut && m_simulation.m_store_up;
}

auto soak_decider::reaches(const soak_worker& worker) const -> bool
{
    const auto& id = worker.m_entry.m_id;
    return m_cut && m_cut->m_kept.contains(id)
               ? now() < m_cut->m_end
               : worker.m_reaches_decider && !(m_cut && m_cut->m_unreachable.contains(id));
}

auto soak_decider::load() -> void
{
    m_state.m_began = now();
    m_state.m_expected_workers = m_simulation.m_stored_leases;
    m_state.m_expected_vms = m_simulation.m_stored_vms;
    m_state.m_expected_incarnations = m_simulation.m_stored_incarnations;
    if (const auto bounds = decode_lease_bounds(m_simulation.m_stored_bounds)) {
        // A successor sees the election late, never early.
        const auto delay = m_simulation.m_election_random.time(0, longest_election_delay_ms);
        inherit_lease_bounds(m_state, *bounds, m_simulation.m_bounds_elected + delay);
    }
    m_state.m_expected_listed = !m_state.m_expected_workers.empty();
    m_last_renewal = now();
    for (const auto& [id, job] : m_simulation.m_jobs) {
        add_job(m_state, job.m_record, job.m_progress, true, m_simulation.clock());
        if (job.m_cancelled) {
            cancel_job(m_state, id, now());
        }
    }
    std::vector<worker_entry> entries;
    for (const auto& [id, entry] : m_simulation.m_registry) {
        entries.push_back(entry);
    }
    apply_registry(m_state, entries);
    m_state.m_jobs_current_at = now();
    m_state.m_workers_current_at = now();
}

auto soak_decider::step() -> void
{
    watch_store();
    update_lease_limits(m_state, m_last_renewal, soak_term_lease);
    renew_leases();
    expire_runs(m_state, now());
    dispatch(m_state, now());
    send_starts();
    send_stops();
    announce_fences();
    m_state.m_events.clear();
    write_progress();
}

auto soak_decider::schedule_in_term(const time_point at, std::function<void()> event) -> void
{
    m_simulation.schedule(at, [term = weak_from_this(), event = std::move(event)] {
        if (const auto decider = term.lock()) {
            event();
        }
    });
}

auto soak_decider::watch_store() -> void
{
    if (!reaches_store()) {
        return;
    }
    m_last_renewal = now();
    if (m_simulation.m_worker_watch_up) {
        for (const auto& id : std::exchange(m_changed_entries, {})) {
            const auto entry = m_simulation.m_registry.find(id);
            if (entry != m_simulation.m_registry.end()) {
                register_worker(m_state, entry->second);
            }
            else {
                unregister_worker(m_state, id);
            }
        }
        m_state.m_workers_current_at = now();
    }
    if (m_simulation.m_job_watch_up) {
        for (const auto& id : std::exchange(m_new_jobs, {})) {
            add_job(m_state, m_simulation.m_jobs.at(id).m_record, std::nullopt, false, m_simulation.clock());
        }
        for (const auto& id : std::exchange(m_new_cancels, {})) {
            cancel_job(m_state, id, now());
        }
        m_state.m_jobs_current_at = now();
    }
}

auto soak_decider::renew_lease(const worker_index index) -> void
{
    auto& call = m_renewals[index];
    if (call.m_in_flight) {
        finish_renewal(index, call);
        return;
    }
    auto& slot = m_state.m_workers[static_cast<std::size_t>(index)];
    if (now() < call.m_due || (!slot.m_registered && slot.m_runs.empty())) {
        return;
    }
    call = {};
    call.m_in_flight = true;
    call.m_sent = now();
    call.m_due = now();
    call.m_called_incarnation = slot.m_incarnation_start_unix_ms;
    std::int64_t acknowledged_end{0};
    std::int64_t lease_until_ms{0};
    // Acknowledgement and lease are for the incarnation that has reported.
    if (slot.m_has_reported && !slot.m_unresponsive && !is_of_other_incarnation(slot)) {
        acknowledged_end = unconfirmed_acknowledgement(slot);
        lease_until_ms = grant_lease(m_state, index, now());
        call.m_due += m_state.m_trials.empty() ? renewal_wait : trial_renewal_wait;
    }
    call.m_acknowledged = acknowledged_end;
    const auto found = m_simulation.m_workers.find(slot.m_entry.m_id);
    if (found == m_simulation.m_workers.end() || !found->second.m_alive || !reaches(found->second)) {
        call.m_lost = found != m_simulation.m_workers.end() && found->second.m_alive;
        return;
    }
    auto& worker = found->second;
    call.m_incarnation = worker.m_incarnation;
    call.m_token = fence_of(m_state, slot);
    const auto renew = [&simulation = m_simulation, token = call.m_token, acknowledged_end,
                        lease_until_ms](soak_worker& receiver) {
        return execute_renewal(receiver, token, acknowledged_end, lease_until_ms, simulation.now());
    };
    if (is_late(worker.m_late_renewal_percent)) {
        call.m_lost = true;
        execute_late(slot, renew);
        return;
    }
    call.m_fenced = execute_call(worker, slot.m_incarnation_start_unix_ms, renew) == command_result::fenced;
    if (call.m_fenced) {
        call.m_due = now() + call_time;
    }
}

auto soak_decider::finish_renewal(const worker_index index, renewal& call) -> void
{
    const auto& id = m_state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id;
    const auto found = m_simulation.m_workers.find(id);
    const bool there = found != m_simulation.m_workers.end() && found->second.m_alive;
    if (there && found->second.m_incarnation == call.m_incarnation && !call.m_lost) {
        const auto& worker = found->second;
        const bool ended = std::any_of(worker.m_ended.begin(), worker.m_ended.end(), [&](const ended_report& end) {
            return end.m_number > m_state.m_workers[static_cast<std::size_t>(index)].m_last_end;
        });
        if (!reaches(worker)) {
            call.m_lost = true;
            return;
        }
        if (call.m_fenced) {
            const auto result = settle_fenced(m_state, index, call.m_token, command_result::fenced);
            m_state.m_deposed = m_state.m_deposed || result == command_result::fenced;
            call = {};
            return;
        }
        if (!ended && now() < call.m_due) {
            return;
        }
        auto report = report_of(worker, now());
        report.m_token = call.m_token;
        apply_report(m_state, index, report, call.m_sent, now());
        confirm_acknowledgement(m_state.m_workers[static_cast<std::size_t>(index)], call.m_called_incarnation,
                                call.m_acknowledged);
        call = {};
        call.m_due = now() + renewal_gap;
        return;
    }
    if (call.m_lost && now() < call.m_due + renewal_slack) {
        return;
    }
    m_state.m_workers[static_cast<std::size_t>(index)].m_unresponsive = true;
    call = {};
    call.m_due = now() + renewal_pause;
}

auto soak_decider::renew_leases() -> void
{
    const auto current = m_state.m_current_workers;
    for (const auto index : current) {
        renew_lease(index);
    }
}

auto soak_decider::is_late(const std::int64_t late_percent) const -> bool
{
    return late_percent > 0 && m_simulation.m_later_random.number(100) < late_percent;
}

auto soak_decider::execute_late(const worker_slot& slot, std::function<command_result(soak_worker&)> call) const -> void
{
    auto& simulation = m_simulation;
    const auto arrival = now() + simulation.m_later_random.time(least_lateness_ms, most_lateness_ms);
    simulation.schedule(arrival, [&simulation, id = slot.m_entry.m_id, incarnation = slot.m_incarnation_start_unix_ms,
                                  call = std::move(call)] {
        const auto found = simulation.m_workers.find(id);
        if (found != simulation.m_workers.end() && found->second.m_alive) {
            static_cast<void>(execute_call(found->second, incarnation, call));
        }
    });
}

auto soak_decider::perform(const worker_index index, std::int64_t soak_worker::*const late_percent,
                           std::function<command_result(soak_worker&)> command,
                           std::function<void(command_result)> on_result) -> void
{
    auto& simulation = m_simulation;
    // A command may be carried out after the term of its sender.
    const auto respond = [&simulation, term = weak_from_this(),
                          on_result = std::move(on_result)](const time_point at, const command_result result) {
        simulation.schedule(at, [term, on_result, result] {
            if (const auto decider = term.lock()) {
                on_result(result);
            }
        });
    };
    const auto& slot = m_state.m_workers[static_cast<std::size_t>(index)];
    const auto& id = slot.m_entry.m_id;
    const auto found = simulation.m_workers.find(id);
    const auto timeout = now() + m_state.m_settings.m_command_timeout;
    if (found == simulation.m_workers.end() || !found->second.m_alive) {
        respond(now() + call_time, m_random->number(2) == 0 ? command_result::unavailable : command_result::unknown);
        return;
    }
    if (!reaches(found->second)) {
        respond(timeout, command_result::unknown);
        return;
    }
    if (is_late(found->second.*late_percent)) {
        execute_late(slot, std::move(command));
        respond(timeout, command_result::unknown);
        return;
    }
    const bool answers = found->second.m_answers_commands;
    const auto arrival = now() + (answers ? call_time : m_random->time(50, 4'000));
    simulation.schedule(arrival, [&simulation, id, incarnation = slot.m_incarnation_start_unix_ms,
                                  command = std::move(command), respond, answers] {
        const auto worker = simulation.m_workers.find(id);
        if (worker == simulation.m_workers.end() || !worker->second.m_alive) {
            if (answers) {
                respond(simulation.now() + call_time, command_result::unknown);
            }
            return;
        }
        const auto result = execute_call(worker->second, incarnation, command);
        if (answers) {
            respond(simulation.now() + call_time, result);
        }
    });
    if (!answers) {
        respond(timeout, command_result::unknown);
    }
}

auto soak_decider::send_starts() -> void
{
    for (const auto& command : std::exchange(m_state.m_starts, {})) {
        if (!is_start_valid(m_state, command, now())) {
            apply_start_result(m_state, command, command_result::withdrawn, now());
            continue;
        }
        if (m_simulation.is_superseded(*this)) {
            m_simulation.m_broken_rules.push_back("ONE start of " + command.m_task.m_job.str() +
                                                  " by the decider of term " + std::to_string(m_state.m_token.value()) +
                                                  ", which has a successor");
        }
        static_cast<void>(mark_started(m_state, *find_job(m_state, command.m_task.m_job)));
        const auto lease_until_ms = grant_start_lease(m_state, command.m_worker, now());
        const auto token = fence_of(m_state, m_state.m_workers[static_cast<std::size_t>(command.m_worker)]);
        record_start(m_state, command, token, lease_until_ms);
        m_simulation.m_unanswered_starts[command.m_task] = now();
        perform(
            command.m_worker, &soak_worker::m_late_command_percent,
            [&simulation = m_simulation, command, lease_until_ms, token](soak_worker& worker) {
                return simulation.start_run(worker, command, token, lease_until_ms);
            },
            [this, command, token](const command_result result) {
                if (result != command_result::unknown) {
                    m_simulation.m_unanswered_starts.erase(command.m_task);
                }
                const auto settled = settle_fenced(m_state, command.m_worker, token, result);
                apply_start_result(m_state, command, settled, now());
            });
    }
}

auto soak_decider::send_stops() -> void
{
    for (const auto& command : std::exchange(m_state.m_stops, {})) {
        const auto& slot = m_state.m_workers[static_cast<std::size_t>(command.m_worker)];
        const auto token = fence_of(m_state, slot);
        perform(
            command.m_worker, &soak_worker::m_late_command_percent,
            [command, token](soak_worker& worker) { return execute_stop(worker, command, token); },
            [this, command, token](const command_result result) {
                const auto settled = settle_fenced(m_state, command.m_worker, token, result);
                apply_stop_result(m_state, command, settled, now());
            });
    }
}

auto soak_decider::announce_fences() -> void
{
    for (const auto index : std::exchange(m_state.m_fence_announcements, {})) {
        const auto& slot = m_state.m_workers[static_cast<std::size_t>(index)];
        perform(
            // The announcement is a renewal without a lease.
            index, &soak_worker::m_late_renewal_percent,
            [token = fence_of(m_state, slot)](soak_worker& worker) {
                return accept_token(worker, token) ? command_result::accepted : command_result::fenced;
            },
            [](const command_result) {});
    }
}

auto soak_decider::write_progress() -> void
{
    if (m_writing) {
        return;
    }
    const bool lists_leases =
        has_unlisted_lease(m_state, now()) ||
        (now() - m_leases_listed_at > lease_list_interval && has_ended_lease_in_list(m_state, now())) ||
        (now() - m_leases_listed_at > lease_end_interval && has_unlisted_end(m_state, now()));
    if (m_state.m_dirty.empty() && !lists_leases && !has_worker_without_fence(m_state)) {
        acknowledge_ends(m_state);
        return;
    }
    m_writing = true;
    std::map<job_id, job_progress> progress;
    for (auto* job : std::exchange(m_state.m_dirty, {})) {
        job->m_dirty = false;
        progress[job->m_record.m_id] = progress_of(*job);
    }
    std::optional<std::vector<worker_index>> leased;
    std::set<worker_id> list;
    std::map<worker_id, vm_id> vms;
    std::string bounds;
    std::map<worker_id, std::int64_t> incarnations;
    const bool lists_expected = are_expected_workers_listed(m_state, now());
    if (lists_leases) {
        leased = begin_lease_list(m_state, now());
        m_leases_listed_at = now();
        for (const auto index : *leased) {
            list.insert(m_state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id);
        }
        vms = vms_of_listed_workers(m_state, *leased, lists_expected);
        bounds = encode(lease_bounds_of(m_state, *leased, now()));
        incarnations = incarnations_of_listed_workers(m_state, *leased, now());
        for (const auto& id : awaited_workers(m_state, now())) {
            list.insert(id);
        }
    }
    const bool succeeds = reaches_store();
    const auto finish = [this, progress, leased, list, vms, bounds, incarnations, lists_expected, succeeds] {
        m_writing = false;
        for (const auto& [id, stored] : progress) {
            auto& job = *find_job(m_state, id);
            if (succeeds && reaches_store()) {
                m_simulation.m_jobs.at(id).m_progress = stored;
                apply_stored_progress(m_state, job, stored);
            }
            else {
                mark_dirty(m_state, job);
            }
        }
        if (succeeds && reaches_store()) {
            record_term_write(m_state, store_revision{++m_revision});
            acknowledge_ends(m_state);
            if (leased) {
                m_simulation.m_stored_leases = list;
                m_simulation.m_stored_vms = vms;
                m_simulation.m_stored_bounds = bounds;
                m_simulation.m_bounds_elected = m_state.m_began;
                m_simulation.m_stored_incarnations = incarnations;
                complete_lease_list(m_state, *leased);
                m_state.m_expected_listed = lists_expected;
            }
        }
    };
    schedule_in_term(now() + (succeeds ? write_time : write_timeout), finish);
}

} // namespace cicadalug::test
