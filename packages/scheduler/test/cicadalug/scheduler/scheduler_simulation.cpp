#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/end_acknowledgement.hpp>
#include <cicadalug/scheduler/job_estimates.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>

#include <algorithm>
#include <optional>

namespace cicadalug::test {

namespace {

constexpr milliseconds simulation_step{10};
constexpr std::int64_t vm_millicores{32'000};
constexpr std::int64_t vm_mebibytes{65'536};
/** @brief Unix time at the origin of the simulated clock. */
constexpr std::int64_t unix_origin_ms{1'700'000'000'000};

} // namespace

auto make_job(const std::string& service, const std::int64_t tasks, const std::int64_t millicores_of_task,
              const milliseconds run_time) -> job_record
{
    job_record record;
    record.m_policy = {queue_id{service + "-queue"}, service_id{service}, 0, 3, 1.6, milliseconds{600}};
    step_spec step;
    step.m_count = tasks;
    step.m_demand = {millicores{millicores_of_task}, mebibytes{1'000}, 0};
    step.m_estimate = run_time;
    record.m_spec.m_steps.push_back(step);
    return record;
}

auto make_long_running_job(const std::string& service, const std::int64_t tasks, const std::int64_t budget)
    -> job_record
{
    auto record = make_job(service, tasks, 2'000, milliseconds{500});
    record.m_spec.m_steps.front().m_long_running = true;
    record.m_spec.m_steps.front().m_disruption_budget = budget;
    return record;
}

scheduler_simulation::scheduler_simulation()
{
    m_state.m_token = fencing_token{m_revision};
    m_state.m_began = m_now;
}

auto scheduler_simulation::clock() const -> clock_reading
{
    const auto passed = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    return {m_now, unix_origin_ms + passed};
}

auto scheduler_simulation::apply_registry_now() -> void
{
    std::vector<worker_entry> entries;
    for (const auto& [id, entry] : m_registry) {
        entries.push_back(entry);
    }
    apply_registry(m_state, entries);
}

auto scheduler_simulation::begin_with(const std::string& pool, const std::size_t count) -> void
{
    m_moves_enabled = false;
    add_vms(pool, count);
    run_for(milliseconds{50});
}

auto scheduler_simulation::listed_vms() const -> vm_list
{
    vm_list list;
    update_vm_list(list, {m_vms}, m_now);
    return list;
}

auto scheduler_simulation::add_vms(const std::string& pool, const std::size_t count) -> void
{
    for (std::size_t number = 0; number < count; ++number) {
        const auto name = std::to_string(++m_next_worker);
        worker_entry entry;
        entry.m_id = worker_id{"w" + name};
        entry.m_vm = vm_id{"vm" + name};
        entry.m_service = service_id{pool};
        entry.m_address = "127.0.0.1:1";
        entry.m_capacity = {millicores{vm_millicores}, mebibytes{vm_mebibytes}, 0};
        m_registry[entry.m_id] = entry;
        m_workers[entry.m_id];
        m_vms.push_back({entry.m_vm, entry.m_service, vm_phase::up, {}, entry.m_id, entry.m_capacity});
    }
    apply_registry_now();
}

auto scheduler_simulation::add_standby(const std::string& pool, const std::size_t count) -> void
{
    m_standby.insert(service_id{pool});
    for (std::size_t number = 0; number < count; ++number) {
        m_vms.push_back({vm_id{"spare" + std::to_string(number)},
                         service_id{pool},
                         vm_phase::up,
                         {},
                         {},
                         {millicores{vm_millicores}, mebibytes{vm_mebibytes}, 0}});
    }
}

auto scheduler_simulation::submit(job_record record) -> job_id
{
    record.m_id = job_id{"job" + std::to_string(++m_next_job)};
    record.m_arrived_unix_ms = clock().m_unix_ms;
    m_store[record.m_id].m_record = record;
    auto id = record.m_id;
    add_job(m_state, std::move(record), std::nullopt, false, clock());
    m_deadlines[id] = find_job(m_state, id)->m_deadline;
    return id;
}

auto scheduler_simulation::worker_ids() const -> std::vector<worker_id>
{
    std::vector<worker_id> ids;
    for (const auto& [id, worker] : m_workers) {
        ids.push_back(id);
    }
    return ids;
}

auto scheduler_simulation::report(const worker_id& id, simulated_worker& worker) -> void
{
    for (auto run = worker.m_runs.begin(); run != worker.m_runs.end();) {
        if (run->m_long_running || run->m_end > m_now) {
            ++run;
            continue;
        }
        const auto outcome = worker.m_fails_all ? run_end::failed : run_end::done;
        worker.m_ended.push_back({++worker.m_end_count, run->m_task, run->m_run, outcome, {}});
        run = worker.m_runs.erase(run);
    }
    const auto index = m_state.m_worker_by_id.find(id);
    if (!worker.m_reachable || !worker.m_alive || index == m_state.m_worker_by_id.end()) {
        if (index != m_state.m_worker_by_id.end()) {
            m_state.m_workers[static_cast<std::size_t>(index->second)].m_unresponsive = true;
        }
        return;
    }
    auto& slot = m_state.m_workers[static_cast<std::size_t>(index->second)];
    std::erase_if(worker.m_ended, [&slot](const ended_report& end) { return end.m_number <= slot.m_acknowledged_end; });
    worker_report sent_report;
    sent_report.m_incarnation_start_unix_ms = worker.m_incarnation;
    sent_report.m_incarnation_age = m_worker_age;
    sent_report.m_token = fence_of(m_state, slot);
    sent_report.m_clock_ms = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    for (const auto& run : worker.m_runs) {
        sent_report.m_running.push_back({run.m_task, run.m_run, {}, run.m_long_running ? 100 : 0, 0});
    }
    sent_report.m_ended = worker.m_ended;
    apply_report(m_state, index->second, sent_report, m_now, m_now);
    static_cast<void>(grant_lease(m_state, index->second, m_now));
}

auto scheduler_simulation::run_time(const step_spec& spec) -> microseconds
{
    const auto position = static_cast<double>(m_random()) / static_cast<double>(std::mt19937::max());
    return std::chrono::duration_cast<microseconds>(spec.m_estimate * (1.0 + m_run_time_spread * (2 * position - 1)));
}

auto scheduler_simulation::execute_start(const start_command& command) -> void
{
    const auto& id = m_state.m_workers[static_cast<std::size_t>(command.m_worker)].m_entry.m_id;
    mark_started(m_state, *find_job(m_state, command.m_task.m_job));
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || !found->second.m_reachable || !found->second.m_alive) {
        apply_start_result(m_state, command, command_result::unknown, m_now);
        return;
    }
    auto& worker = found->second;
    if (!m_state.m_permit_queues.empty() && command.m_permit != "permit-" + id.str()) {
        apply_start_result(m_state, command, command_result::no_permit, m_now);
        ++m_rejected_starts;
        return;
    }
    ++m_starts[command.m_task];
    const auto& spec = step_of(*find_job(m_state, command.m_task.m_job), command.m_task);
    worker.m_runs.push_back({command.m_task, command.m_run, m_now, m_now + run_time(spec), spec.m_long_running});
    apply_start_result(m_state, command, command_result::accepted, m_now);
    if (m_deadly.contains(command.m_task)) {
        m_crashes.emplace(m_now + m_crash_delay, id);
    }
}

auto scheduler_simulation::execute_commands() -> void
{
    for (auto& command : std::exchange(m_state.m_starts, {})) {
        m_starts_in_flight.emplace_back(m_now + m_start_delay, std::move(command));
    }
    while (!m_starts_in_flight.empty() && m_starts_in_flight.front().first <= m_now) {
        execute_start(m_starts_in_flight.front().second);
        m_starts_in_flight.pop_front();
    }
    for (const auto& command : std::exchange(m_state.m_stops, {})) {
        auto& worker = m_workers[m_state.m_workers[static_cast<std::size_t>(command.m_worker)].m_entry.m_id];
        if (worker.m_reachable && worker.m_alive) {
            for (auto run = worker.m_runs.begin(); run != worker.m_runs.end(); ++run) {
                if (run->m_task == command.m_task && run->m_run == command.m_run) {
                    worker.m_ended.push_back({++worker.m_end_count, run->m_task, run->m_run, run_end::stopped, {}});
                    worker.m_runs.erase(run);
                    break;
                }
            }
            apply_stop_result(m_state, command, command_result::accepted, m_now);
        }
    }
}

auto scheduler_simulation::handle_permit_requests() -> void
{
    for (const auto& request : std::exchange(m_state.m_permit_requests, {})) {
        ++m_permit_request_count;
        permit_response response{{}, m_permit_validity};
        for (const auto& [index, incarnation_start] : request.m_workers) {
            const auto& id = m_state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id;
            if (m_permitted.contains(id)) {
                response.m_granted.push_back({id, "permit-" + id.str()});
            }
        }
        apply_permit_response(m_state, request, m_permit_service_up ? std::optional{response} : std::nullopt, m_now,
                              m_now);
    }
}

auto scheduler_simulation::store() -> void
{
    if (!m_store_up || m_now.time_since_epoch() % m_store_interval != microseconds{0}) {
        return;
    }
    for (auto* job : std::exchange(m_state.m_dirty, {})) {
        job->m_dirty = false;
        const auto progress = progress_of(*job);
        m_store[job->m_record.m_id].m_progress = progress;
        apply_stored_progress(m_state, *job, progress);
        if (is_final(progress.m_state)) {
            learn_storing_time(m_state, *job, m_now);
        }
        if (progress.m_state == job_state::completed) {
            m_completed.try_emplace(job->m_record.m_id, m_now);
        }
    }
    record_term_write(m_state, store_revision{++m_revision});
    acknowledge_ends(m_state);
    list_leases();
}

auto scheduler_simulation::list_leases() -> void
{
    const auto leased = begin_lease_list(m_state, m_now);
    m_stored_leases.clear();
    for (const auto index : leased) {
        m_stored_leases.insert(m_state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id);
    }
    for (const auto& id : awaited_workers(m_state, m_now)) {
        m_stored_leases.insert(id);
    }
    m_stored_vms = vms_of_listed_workers(m_state, leased, are_expected_workers_listed(m_state, m_now));
    m_stored_bounds = encode(lease_bounds_of(m_state, leased, m_now));
    m_bounds_elected = m_state.m_began;
    m_stored_incarnations = incarnations_of_listed_workers(m_state, leased, m_now);
    complete_lease_list(m_state, leased);
}

auto scheduler_simulation::finish_moves() -> void
{
    for (auto move = m_moving_vms.begin(); move != m_moving_vms.end();) {
        if (move->second.second > m_now) {
            ++move;
            continue;
        }
        const auto vm = std::find_if(m_vms.begin(), m_vms.end(),
                                     [&move](const vm_status& listed) { return listed.m_vm == move->first; });
        vm->m_phase = vm_phase::up;
        vm->m_pool = move->second.first;
        if (!m_standby.contains(vm->m_pool)) {
            worker_entry entry;
            entry.m_id = worker_id{"w" + std::to_string(++m_next_worker)};
            entry.m_vm = vm->m_vm;
            entry.m_service = vm->m_pool;
            entry.m_address = "127.0.0.1:1";
            entry.m_capacity = {millicores{vm_millicores}, mebibytes{vm_mebibytes}, 0};
            vm->m_worker = entry.m_id;
            m_registry[entry.m_id] = entry;
            m_workers[entry.m_id];
        }
        move = m_moving_vms.erase(move);
        apply_registry_now();
    }
}

auto scheduler_simulation::set_capacity(const worker_id& id, const std::int64_t cpu) -> void
{
    m_registry.at(id).m_capacity.m_cpu = millicores{cpu};
    apply_registry_now();
}

auto scheduler_simulation::fail_runs(const worker_id& id) -> void
{
    auto& worker = m_workers[id];
    for (const auto& run : worker.m_runs) {
        worker.m_ended.push_back({++worker.m_end_count, run.m_task, run.m_run, run_end::failed, {}});
    }
    worker.m_runs.clear();
}

auto scheduler_simulation::fail_long_running() -> void
{
    for (auto& [id, worker] : m_workers) {
        std::erase_if(worker.m_runs, [&worker = worker](const simulated_worker::run& run) {
            if (run.m_long_running) {
                worker.m_ended.push_back({++worker.m_end_count, run.m_task, run.m_run, run_end::failed, {}});
            }
            return run.m_long_running;
        });
    }
}

auto scheduler_simulation::crash(const worker_id& id) -> void
{
    auto& worker = m_workers[id];
    worker.m_alive = false;
    worker.m_runs.clear();
    worker.m_ended.clear();
    worker.m_end_count = 0;
    m_restarts[id] = m_now + m_restart_time;
    ++m_crash_count;
}

auto scheduler_simulation::lose(const worker_id& id) -> void
{
    std::erase_if(m_vms, [&id](const vm_status& vm) { return vm.m_worker == id; });
    m_registry.erase(id);
    m_workers.erase(id);
    apply_registry_now();
}

auto scheduler_simulation::crash_workers() -> void
{
    while (!m_crashes.empty() && m_crashes.begin()->first <= m_now) {
        const auto id = m_crashes.begin()->second;
        m_crashes.erase(m_crashes.begin());
        if (m_workers[id].m_alive) {
            crash(id);
        }
    }
}

auto scheduler_simulation::restart_workers() -> void
{
    for (auto restart = m_restarts.begin(); restart != m_restarts.end();) {
        if (restart->second > m_now) {
            ++restart;
            continue;
        }
        auto entry = m_registry.at(restart->first);
        if (m_restart_keeps_id) {
            m_workers[entry.m_id].m_alive = true;
            m_workers[entry.m_id].m_incarnation = clock().m_unix_ms;
        }
        else {
            m_registry.erase(entry.m_id);
            entry.m_id = worker_id{"w" + std::to_string(++m_next_worker)};
            m_workers[entry.m_id];
            m_registry[entry.m_id] = entry;
            apply_registry_now();
        }
        restart = m_restarts.erase(restart);
    }
}

auto scheduler_simulation::step() -> void
{
    m_now += simulation_step;
    crash_workers();
    restart_workers();
    if (m_job_watch_up) {
        m_state.m_jobs_current_at = m_now;
    }
    if (m_worker_watch_up) {
        m_state.m_workers_current_at = m_now;
    }
    if (m_term_renewed) {
        m_last_renewal = m_now;
    }
    update_lease_limits(m_state, m_last_renewal, m_term_lease);
    // The workers report in turn.
    milliseconds turn{0};
    for (auto& [id, worker] : m_workers) {
        turn += simulation_step;
        if ((m_now + turn).time_since_epoch() % m_report_interval == microseconds{0}) {
            report(id, worker);
        }
    }
    finish_moves();
    expire_runs(m_state, m_now);
    dispatch(m_state, m_now);
    execute_commands();
    crash_workers();
    handle_permit_requests();
    store();
    const bool plan = m_now.time_since_epoch() % milliseconds{100} == microseconds{0};
    if (!m_moves_enabled || !plan) {
        return;
    }
    record_own_capacity(m_demand, m_vms, m_standby);
    update_demand(m_demand, m_state, m_now);
    for (const auto& command :
         plan_moves(m_state, m_demand, m_move_settings, m_moves, listed_vms(), m_standby, {}, m_now)) {
        ++m_move_count;
        m_moving_vms[command.m_vm] = {command.m_target, m_now + m_move_settings.m_move_time};
        const auto vm = std::find_if(m_vms.begin(), m_vms.end(),
                                     [&command](const vm_status& listed) { return listed.m_vm == command.m_vm; });
        vm->m_phase = vm_phase::moving;
        vm->m_worker = {};
        m_registry.erase(command.m_worker);
        m_workers.erase(command.m_worker);
        apply_move_result(m_state, m_moves, command, vm_command_result::accepted, m_now);
        apply_registry_now();
    }
}

auto scheduler_simulation::run_for(const milliseconds time) -> void
{
    for (const auto end = m_now + time; m_now < end;) {
        step();
    }
}

auto scheduler_simulation::dispatch_and_store(const job_id& id) -> void
{
    dispatch(m_state, m_now);
    auto& job = *find_job(m_state, id);
    apply_stored_progress(m_state, job, progress_of(job));
    dispatch(m_state, m_now);
}

auto scheduler_simulation::stop_decider(const milliseconds time) -> void
{
    m_now += time;
}

auto scheduler_simulation::take_over() -> void
{
    const auto settings = m_state.m_settings;
    m_starts_in_flight.clear();
    m_state = scheduler_state{};
    m_state.m_settings = settings;
    m_state.m_token = fencing_token{++m_revision};
    m_state.m_began = m_now;
    m_state.m_expected_workers = m_stored_leases;
    m_state.m_expected_vms = m_stored_vms;
    m_state.m_expected_incarnations = m_stored_incarnations;
    if (const auto bounds = decode_lease_bounds(m_stored_bounds)) {
        inherit_lease_bounds(m_state, *bounds, m_bounds_elected);
    }
    for (const auto& [id, stored] : m_store) {
        add_job(m_state, stored.m_record, stored.m_progress, true, clock());
    }
    apply_registry_now();
}

auto scheduler_simulation::in_time_share() const -> double
{
    const auto in_time = std::count_if(m_deadlines.begin(), m_deadlines.end(), [this](const auto& job) {
        const auto done = m_completed.find(job.first);
        return done != m_completed.end() && done->second <= job.second;
    });
    return static_cast<double>(in_time) / static_cast<double>(std::max<std::size_t>(1, m_deadlines.size()));
}

auto scheduler_simulation::starts_of(const task_ref& task) const -> std::int64_t
{
    const auto found = m_starts.find(task);
    return found == m_starts.end() ? 0 : found->second;
}

auto scheduler_simulation::stored_state(const job_id& id) const -> job_state
{
    const auto found = m_store.find(id);
    return found == m_store.end() || !found->second.m_progress ? job_state::queued : found->second.m_progress->m_state;
}

auto scheduler_simulation::total_starts() const -> std::int64_t
{
    std::int64_t total{0};
    for (const auto& [task, count] : m_starts) {
        total += count;
    }
    return total;
}

} // namespace cicadalug::test
