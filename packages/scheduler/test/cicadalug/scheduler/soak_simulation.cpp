#include "soak_simulation.hpp"

#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/reports.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug::test {

namespace {

constexpr milliseconds simulation_step{10};
constexpr std::int64_t unix_origin_ms{1'700'000'000'000};
constexpr std::int64_t worker_millicores{16'000};
constexpr std::int64_t worker_mebibytes{32'768};

/** @brief The platform's times. */
constexpr milliseconds heartbeat{500};
constexpr milliseconds entry_lifetime{1'500};
constexpr std::int64_t hold_max_ms{6'000};

/** @brief The decider's times. */
constexpr milliseconds term_lease{1'200};
constexpr milliseconds renewal_wait{900};
constexpr milliseconds trial_renewal_wait{150};
constexpr milliseconds renewal_slack{500};
constexpr milliseconds renewal_gap{60};
constexpr milliseconds renewal_pause{200};
constexpr milliseconds write_time{20};
constexpr milliseconds write_timeout{700};
constexpr milliseconds lease_list_interval{1'000};

[[nodiscard]] auto to_unix_ms(const time_point time) -> std::int64_t
{
    return unix_origin_ms + std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

} // namespace

soak_simulation::soak_simulation(const std::uint64_t seed) : m_random{seed}
{
    begin_term();
}

auto soak_simulation::random(const std::int64_t limit) -> std::int64_t
{
    return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, limit)));
}

auto soak_simulation::random_time(const std::int64_t least_ms, const std::int64_t most_ms) -> milliseconds
{
    return milliseconds{least_ms + random(most_ms - least_ms + 1)};
}

auto soak_simulation::schedule(const time_point at, std::function<void()> event) -> void
{
    m_events.emplace(at, std::move(event));
}

auto soak_simulation::clock() const -> clock_reading
{
    return {m_now, to_unix_ms(m_now)};
}

auto soak_simulation::clock_of(const soak_worker& worker) const -> std::int64_t
{
    const auto running = std::chrono::duration_cast<milliseconds>(m_now - worker.m_started).count();
    return 1 + running * worker.m_clock_permille / 1'000;
}

auto soak_simulation::add_vm(const std::string& pool, const std::string& rack) -> worker_id
{
    const auto name = std::to_string(++m_next_worker);
    soak_worker worker;
    worker.m_entry.m_id = worker_id{"w" + name};
    worker.m_entry.m_vm = vm_id{"vm" + name};
    worker.m_entry.m_service = service_id{pool};
    worker.m_entry.m_address = "127.0.0.1:1";
    worker.m_entry.m_capacity = {millicores{worker_millicores}, mebibytes{worker_mebibytes}, 0};
    worker.m_entry.m_labels = {rack};
    worker.m_entry.m_incarnation_start_unix_ms = to_unix_ms(m_now);
    worker.m_started = m_now;
    worker.m_clock_permille = 980 + random(21);
    worker.m_next_heartbeat = m_now;
    auto id = worker.m_entry.m_id;
    m_workers[id] = std::move(worker);
    return id;
}

auto soak_simulation::submit(job_record record) -> job_id
{
    record.m_id = job_id{"job" + std::to_string(++m_next_job)};
    record.m_arrived_unix_ms = to_unix_ms(m_now);
    auto id = record.m_id;
    if (record.m_spec.m_steps.front().m_long_running) {
        m_long_running.push_back(id);
    }
    m_jobs[id] = {std::move(record), std::nullopt, false, m_now};
    m_new_jobs.insert(id);
    return id;
}

auto soak_simulation::cancel(const job_id& id) -> void
{
    m_jobs.at(id).m_cancelled = true;
    m_new_cancels.insert(id);
}

auto soak_simulation::crash(const worker_id& id) -> void
{
    auto& worker = m_workers.at(id);
    worker.m_alive = false;
    worker.m_runs.clear();
    worker.m_ended.clear();
    worker.m_highest_ended.clear();
    worker.m_end_count = 0;
    worker.m_token = {};
    worker.m_lease_until_ms = 0;
}

auto soak_simulation::restart(const worker_id& id, const milliseconds clock_offset, const milliseconds entry_delay)
    -> void
{
    auto& worker = m_workers.at(id);
    worker.m_alive = true;
    ++worker.m_incarnation;
    worker.m_started = m_now;
    worker.m_entry.m_incarnation_start_unix_ms = to_unix_ms(m_now + clock_offset);
    worker.m_next_heartbeat = m_now + entry_delay;
}

auto soak_simulation::replace(const worker_id& id) -> void
{
    auto worker = m_workers.at(id);
    worker.m_entry.m_id = worker_id{"w" + std::to_string(++m_next_worker)};
    worker.m_entry.m_incarnation_start_unix_ms = to_unix_ms(m_now);
    worker.m_alive = true;
    worker.m_incarnation = 1;
    worker.m_started = m_now;
    worker.m_next_heartbeat = m_now;
    m_workers.erase(id);
    m_workers[worker.m_entry.m_id] = std::move(worker);
}

auto soak_simulation::take_over(const milliseconds delay) -> void
{
    m_decider_up = false;
    const auto term = ++m_term;
    schedule(m_now + delay, [this, term] {
        // The term is stored, and the jobs are read.
        if (term == m_term && m_store_up) {
            begin_term();
        }
        else if (term == m_term) {
            take_over(milliseconds{100});
        }
    });
}

auto soak_simulation::begin_term() -> void
{
    const auto settings = m_state.m_settings;
    m_state = scheduler_state{};
    m_state.m_settings = settings;
    m_state.m_token = fencing_token{++m_term};
    m_state.m_began = m_now;
    m_state.m_expected_workers = m_stored_leases;
    m_state.m_expected_vms = m_stored_vms;
    m_state.m_expected_listed = !m_stored_leases.empty();
    m_decider_up = true;
    m_renewals.clear();
    m_writing = false;
    m_leases_listed_at = {};
    m_last_renewal = m_now;
    for (const auto& [id, job] : m_jobs) {
        add_job(m_state, job.m_record, job.m_progress, true, clock());
        if (job.m_cancelled) {
            cancel_job(m_state, id, m_now);
        }
    }
    std::vector<worker_entry> entries;
    for (const auto& [id, entry] : m_registry) {
        entries.push_back(entry);
    }
    apply_registry(m_state, entries);
    m_state.m_jobs_current_at = m_now;
    m_state.m_workers_current_at = m_now;
    m_new_jobs.clear();
    m_new_cancels.clear();
    m_changed_entries.clear();
}

auto soak_simulation::update_registry() -> void
{
    if (!m_store_up) {
        return;
    }
    for (auto& [id, worker] : m_workers) {
        if (worker.m_alive && worker.m_reaches_store && m_now >= worker.m_next_heartbeat) {
            worker.m_next_heartbeat = m_now + heartbeat;
            worker.m_last_heartbeat = m_now;
            m_registry[id] = worker.m_entry;
            m_changed_entries.insert(id);
        }
    }
    for (auto entry = m_registry.begin(); entry != m_registry.end();) {
        const auto worker = m_workers.find(entry->first);
        if (worker == m_workers.end() || m_now - worker->second.m_last_heartbeat > entry_lifetime) {
            m_changed_entries.insert(entry->first);
            entry = m_registry.erase(entry);
        }
        else {
            ++entry;
        }
    }
}

auto soak_simulation::watch_store() -> void
{
    if (!m_store_up) {
        return;
    }
    m_last_renewal = m_now;
    if (m_worker_watch_up) {
        for (const auto& id : std::exchange(m_changed_entries, {})) {
            const auto entry = m_registry.find(id);
            if (entry != m_registry.end()) {
                register_worker(m_state, entry->second);
            }
            else {
                unregister_worker(m_state, id);
            }
        }
        m_state.m_workers_current_at = m_now;
    }
    if (m_job_watch_up) {
        for (const auto& id : std::exchange(m_new_jobs, {})) {
            add_job(m_state, m_jobs.at(id).m_record, std::nullopt, false, clock());
        }
        for (const auto& id : std::exchange(m_new_cancels, {})) {
            cancel_job(m_state, id, m_now);
        }
        m_state.m_jobs_current_at = m_now;
    }
}

auto soak_simulation::end_run(soak_worker& worker, const std::size_t position, const run_end outcome) -> void
{
    const auto run = worker.m_runs[position];
    worker.m_runs.erase(worker.m_runs.begin() + static_cast<std::ptrdiff_t>(position));
    worker.m_ended.push_back({++worker.m_end_count, run.m_task, run.m_run, outcome, {}});
    auto& highest = worker.m_highest_ended[run.m_task];
    highest = std::max(highest, run.m_run);
}

auto soak_simulation::advance_worker(const worker_id& id, soak_worker& worker) -> void
{
    if (!worker.m_alive) {
        return;
    }
    for (const auto& run : worker.m_runs) {
        const auto deadly = m_deadly.find(run.m_task.m_job);
        if (deadly != m_deadly.end() && m_now >= run.m_begin + deadly->second) {
            m_crashed.push_back(id);
            crash(id);
            return;
        }
    }
    const bool lapsed = clock_of(worker) > worker.m_lease_until_ms;
    for (std::size_t position = 0; position < worker.m_runs.size();) {
        const auto& run = worker.m_runs[position];
        if (lapsed) {
            end_run(worker, position, run_end::expired);
        }
        else if (m_now >= run.m_end) {
            end_run(worker, position, run.m_fails || worker.m_fails_all ? run_end::failed : run_end::done);
        }
        else {
            ++position;
        }
    }
}

auto soak_simulation::finish_renewal(const worker_index index, renewal& call) -> void
{
    const auto& id = m_state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id;
    const auto found = m_workers.find(id);
    const bool there = found != m_workers.end() && found->second.m_alive;
    if (there && found->second.m_incarnation == call.m_incarnation && !call.m_lost) {
        const auto& worker = found->second;
        const bool ended = std::any_of(worker.m_ended.begin(), worker.m_ended.end(), [&](const ended_report& end) {
            return end.m_number > m_state.m_workers[static_cast<std::size_t>(index)].m_last_end;
        });
        if (!worker.m_reaches_decider) {
            call.m_lost = true;
            return;
        }
        if (!ended && m_now < call.m_due) {
            return;
        }
        worker_report sent_report;
        sent_report.m_incarnation_start_unix_ms = worker.m_entry.m_incarnation_start_unix_ms;
        sent_report.m_clock_ms = clock_of(worker);
        for (const auto& run : worker.m_runs) {
            const bool ready = m_now - run.m_begin > milliseconds{300};
            sent_report.m_running.push_back({run.m_task, run.m_run, {}, run.m_long_running && ready ? 100 : 0, 0});
        }
        sent_report.m_ended = worker.m_ended;
        apply_report(m_state, index, sent_report, call.m_sent, m_now);
        call = {false, false, {}, m_now + renewal_gap, 0};
        return;
    }
    if (call.m_lost && m_now < call.m_due + renewal_slack) {
        return;
    }
    m_state.m_workers[static_cast<std::size_t>(index)].m_unresponsive = true;
    call = {false, false, {}, m_now + renewal_pause, 0};
}

auto soak_simulation::renew_lease(const worker_index index) -> void
{
    auto& call = m_renewals[index];
    if (call.m_in_flight) {
        finish_renewal(index, call);
        return;
    }
    auto& slot = m_state.m_workers[static_cast<std::size_t>(index)];
    if (m_now < call.m_due || (!slot.m_registered && slot.m_runs.empty())) {
        return;
    }
    call = {true, false, m_now, m_now, 0};
    std::int64_t lease_until_ms{0};
    if (slot.m_has_reported) {
        lease_until_ms = grant_lease(m_state, index, m_now);
        call.m_due += m_state.m_trials.empty() ? renewal_wait : trial_renewal_wait;
    }
    const auto found = m_workers.find(slot.m_entry.m_id);
    if (found == m_workers.end() || !found->second.m_alive || !found->second.m_reaches_decider) {
        call.m_lost = found != m_workers.end() && found->second.m_alive;
        return;
    }
    auto& worker = found->second;
    call.m_incarnation = worker.m_incarnation;
    worker.m_token = std::max(worker.m_token, m_state.m_token);
    const auto acknowledged = slot.m_acknowledged_end;
    std::erase_if(worker.m_ended, [acknowledged](const ended_report& end) { return end.m_number <= acknowledged; });
    worker.m_lease_until_ms =
        std::max(worker.m_lease_until_ms, std::min(lease_until_ms, clock_of(worker) + hold_max_ms));
}

auto soak_simulation::renew_leases() -> void
{
    const auto current = m_state.m_current_workers;
    for (const auto index : current) {
        renew_lease(index);
    }
}

auto soak_simulation::perform(const worker_id& id, std::function<command_result(soak_worker&)> command,
                              std::function<void(command_result)> on_result) -> void
{
    const auto respond = [this, on_result = std::move(on_result), term = m_term](const time_point at,
                                                                                 const command_result result) {
        schedule(at, [this, on_result, term, result] {
            if (m_decider_up && term == m_term) {
                on_result(result);
            }
        });
    };
    const auto found = m_workers.find(id);
    const auto timeout = m_now + m_state.m_settings.m_command_timeout;
    if (found == m_workers.end() || !found->second.m_alive) {
        respond(m_now + simulation_step, random(2) == 0 ? command_result::unavailable : command_result::unknown);
        return;
    }
    if (!found->second.m_reaches_decider) {
        respond(timeout, command_result::unknown);
        return;
    }
    const bool answers = found->second.m_answers_commands;
    const auto arrival = m_now + (answers ? simulation_step : random_time(50, 4'000));
    schedule(arrival, [this, id, command = std::move(command), respond, answers] {
        const auto worker = m_workers.find(id);
        if (worker == m_workers.end() || !worker->second.m_alive) {
            if (answers) {
                respond(m_now + simulation_step, command_result::unknown);
            }
            return;
        }
        const auto result = command(worker->second);
        if (answers) {
            respond(m_now + simulation_step, result);
        }
    });
    if (!answers) {
        respond(timeout, command_result::unknown);
    }
}

auto soak_simulation::execute_start(soak_worker& worker, const start_command& command, const job_record& record,
                                    const fencing_token token, const std::int64_t lease_until_ms) -> command_result
{
    if (token < worker.m_token) {
        return command_result::fenced;
    }
    worker.m_token = token;
    const auto& spec = record.m_spec.m_steps[static_cast<std::size_t>(command.m_task.m_step)];
    const auto highest = worker.m_highest_ended.find(command.m_task);
    if (highest != worker.m_highest_ended.end() && command.m_run <= highest->second) {
        return command_result::outdated_run;
    }
    if (lease_until_ms <= clock_of(worker)) {
        return command_result::lease_expired;
    }
    worker.m_lease_until_ms =
        std::max(worker.m_lease_until_ms, std::min(lease_until_ms, clock_of(worker) + hold_max_ms));
    const bool there = std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&command](const soak_run& run) {
        return run.m_task == command.m_task && run.m_run == command.m_run;
    });
    if (there) {
        return command_result::accepted;
    }
    soak_run run{command.m_task, command.m_run, reserved_demand(spec), m_now, {}, spec.m_long_running, false};
    run.m_end = m_now + spec.m_estimate;
    if (spec.m_long_running) {
        const auto mean = m_mean_time_to_failure.count();
        run.m_end = mean == 0 ? time_point::max() : m_now + random_time(1, 2 * mean);
        run.m_fails = true;
    }
    if (worker.m_fails_all) {
        run.m_end = m_now + random_time(10, 200);
    }
    worker.m_runs.push_back(run);
    return command_result::accepted;
}

auto soak_simulation::execute_stop(soak_worker& worker, const stop_command& command, const fencing_token token)
    -> command_result
{
    if (token < worker.m_token) {
        return command_result::fenced;
    }
    worker.m_token = token;
    auto& highest = worker.m_highest_ended[command.m_task];
    highest = std::max(highest, command.m_run);
    for (std::size_t position = 0; position < worker.m_runs.size(); ++position) {
        if (worker.m_runs[position].m_task == command.m_task && worker.m_runs[position].m_run == command.m_run) {
            end_run(worker, position, run_end::stopped);
            break;
        }
    }
    return command_result::accepted;
}

auto soak_simulation::send_starts() -> void
{
    for (const auto& command : std::exchange(m_state.m_starts, {})) {
        if (!is_start_valid(m_state, command, m_now)) {
            apply_start_result(m_state, command, command_result::withdrawn, m_now);
            continue;
        }
        static_cast<void>(mark_started(m_state, *find_job(m_state, command.m_task.m_job)));
        const auto lease_until_ms = grant_start_lease(m_state, command.m_worker, m_now);
        record_start_lease(m_state, command, lease_until_ms);
        perform(
            m_state.m_workers[static_cast<std::size_t>(command.m_worker)].m_entry.m_id,
            [this, command, lease_until_ms, token = m_state.m_token](soak_worker& worker) {
                return execute_start(worker, command, m_jobs.at(command.m_task.m_job).m_record, token, lease_until_ms);
            },
            [this, command](const command_result result) { apply_start_result(m_state, command, result, m_now); });
    }
}

auto soak_simulation::send_stops() -> void
{
    for (const auto& command : std::exchange(m_state.m_stops, {})) {
        perform(
            m_state.m_workers[static_cast<std::size_t>(command.m_worker)].m_entry.m_id,
            [this, command, token = m_state.m_token](soak_worker& worker) {
                return execute_stop(worker, command, token);
            },
            [this, command](const command_result result) { apply_stop_result(m_state, command, result, m_now); });
    }
}

auto soak_simulation::write_progress() -> void
{
    if (m_writing) {
        return;
    }
    const auto ends = capture_ends(m_state);
    const bool lists_leases = has_unlisted_lease(m_state, m_now) || (m_now - m_leases_listed_at > lease_list_interval &&
                                                                     has_ended_lease_in_list(m_state, m_now));
    if (m_state.m_dirty.empty() && !lists_leases) {
        acknowledge_ends(m_state, ends);
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
    const bool lists_expected = are_expected_workers_listed(m_state, m_now);
    if (lists_leases) {
        leased = begin_lease_list(m_state, m_now);
        m_leases_listed_at = m_now;
        for (const auto index : *leased) {
            list.insert(m_state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id);
        }
        vms = vms_of_listed_workers(m_state, *leased, lists_expected);
        if (lists_expected) {
            list.insert(m_state.m_expected_workers.begin(), m_state.m_expected_workers.end());
        }
    }
    const bool succeeds = m_store_up;
    const auto finish = [this, term = m_term, ends, progress, leased, list, vms, lists_expected, succeeds] {
        if (!m_decider_up || term != m_term) {
            return;
        }
        m_writing = false;
        for (const auto& [id, stored] : progress) {
            auto& job = *find_job(m_state, id);
            if (succeeds && m_store_up) {
                m_jobs.at(id).m_progress = stored;
                apply_stored_progress(m_state, job, stored);
            }
            else {
                mark_dirty(m_state, job);
            }
        }
        if (succeeds && m_store_up) {
            acknowledge_ends(m_state, ends);
            if (leased) {
                m_stored_leases = list;
                m_stored_vms = vms;
                complete_lease_list(m_state, *leased);
                m_state.m_expected_listed = lists_expected;
            }
        }
    };
    schedule(m_now + (succeeds ? write_time : write_timeout), finish);
}

auto soak_simulation::listed_vms() const -> std::vector<vm_status>
{
    std::vector<vm_status> vms;
    for (const auto& [id, worker] : m_workers) {
        vms.push_back({worker.m_entry.m_vm,
                       worker.m_entry.m_service,
                       worker.m_alive ? vm_phase::up : vm_phase::down,
                       {},
                       id,
                       worker.m_entry.m_capacity});
    }
    return vms;
}

auto soak_simulation::step() -> void
{
    m_now += simulation_step;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (auto& [id, worker] : m_workers) {
        advance_worker(id, worker);
    }
    update_registry();
    if (!m_decider_up) {
        return;
    }
    watch_store();
    update_lease_limits(m_state, m_last_renewal, term_lease);
    renew_leases();
    expire_runs(m_state, m_now);
    dispatch(m_state, m_now);
    send_starts();
    send_stops();
    m_state.m_events.clear();
    write_progress();
}

} // namespace cicadalug::test
