#include "soak_simulation.hpp"

#include <cicadalug/scheduler/jobs.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug::test {

namespace {

constexpr milliseconds simulation_step{10};
constexpr std::int64_t unix_origin_ms{1'700'000'000'000};
/** @brief Number of revisions of the store in a term; the fencing tokens of a term are among them. */
constexpr std::uint64_t revisions_per_term{100'000};
constexpr std::int64_t worker_millicores{16'000};
constexpr std::int64_t worker_mebibytes{32'768};

/** @brief The platform's times. */
constexpr milliseconds heartbeat{500};
constexpr milliseconds entry_lifetime{1'500};

[[nodiscard]] auto to_unix_ms(const time_point time) -> std::int64_t
{
    return unix_origin_ms + std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

} // namespace

soak_simulation::soak_simulation(const std::uint64_t seed, const milliseconds longest_lease)
    : m_random{seed}, m_later_random{~seed}, m_feature_random{seed ^ 0x5eed5eed5eed5eedULL},
      m_election_random{seed ^ 0xe1ec7edULL}, m_longest_lease{longest_lease}
{
    begin_term();
}

auto soak_simulation::schedule(const time_point at, std::function<void()> event) -> void
{
    m_events.emplace(at, std::move(event));
}

auto soak_simulation::clock() const -> clock_reading
{
    return {m_now, to_unix_ms(m_now)};
}

auto soak_simulation::add_vm(const std::string& pool, const std::string& rack, const milliseconds age) -> worker_id
{
    const auto name = std::to_string(++m_next_worker);
    soak_worker worker;
    worker.m_entry.m_id = worker_id{"w" + name};
    worker.m_entry.m_vm = vm_id{"vm" + name};
    worker.m_entry.m_service = service_id{pool};
    worker.m_entry.m_address = "127.0.0.1:1";
    worker.m_entry.m_capacity = {millicores{worker_millicores}, mebibytes{worker_mebibytes}, 0};
    worker.m_entry.m_labels = {rack};
    worker.m_entry.m_incarnation_start_unix_ms = to_unix_ms(m_now - age);
    worker.m_started = m_now - age;
    worker.m_longest_lease = m_longest_lease;
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
    if (m_decider) {
        m_decider->job_submitted(id);
    }
    return id;
}

auto soak_simulation::cancel(const job_id& id) -> void
{
    m_jobs.at(id).m_cancelled = true;
    if (m_decider) {
        m_decider->job_cancelled(id);
    }
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
    worker.m_has_stale_lease = false;
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
    m_decider.reset();
    const auto term = ++m_term;
    schedule(m_now + delay, [this, term] {
        // The term is stored, and the jobs are read.
        if (term == m_term && m_store_up && m_now >= m_term_taken_until) {
            begin_term();
        }
        else if (term == m_term) {
            take_over(milliseconds{100});
        }
    });
}

auto soak_simulation::cut_decider_off(const milliseconds delay, const soak_cut& cut) -> void
{
    if (m_decider && !m_decider->is_cut_off()) {
        m_decider->cut_off(cut);
        m_cut_deciders.push_back(m_decider);
        m_term_taken_until = m_now + soak_term_lease;
        take_over(delay);
    }
}

auto soak_simulation::begin_term() -> void
{
    m_decider = std::make_shared<soak_decider>(*this, fencing_token{++m_term * revisions_per_term});
    m_decider->load();
}

auto soak_simulation::note_entry(const worker_id& id) -> void
{
    if (m_decider) {
        m_decider->entry_changed(id);
    }
}

auto soak_simulation::start_run(soak_worker& worker, const start_command& command, const fencing_token token,
                                const std::int64_t lease_until_ms) -> command_result
{
    const auto& job = m_jobs.at(command.m_task.m_job).m_record;
    const auto& spec = job.m_spec.m_steps[static_cast<std::size_t>(command.m_task.m_step)];
    const soak_run started{command.m_task,          command.m_run,       reserved_demand(spec), m_now,
                           m_now + spec.m_estimate, spec.m_long_running, spec.m_long_running};
    const auto before = worker.m_runs.size();
    const auto result = execute_start(worker, started, token, lease_until_ms, m_now);
    if (worker.m_runs.size() == before) {
        return result;
    }
    auto& run = worker.m_runs.back();
    if (spec.m_long_running) {
        const auto mean = m_mean_time_to_failure.count();
        run.m_end = mean == 0 ? time_point::max() : m_now + random_time(1, 2 * mean);
    }
    if (spec.m_gang) {
        run.m_gang_size = spec.m_count;
        run.m_end = time_point::max();
    }
    if (worker.m_fails_all) {
        run.m_end = m_now + random_time(10, 200);
    }
    return result;
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
            note_entry(id);
        }
    }
    for (auto entry = m_registry.begin(); entry != m_registry.end();) {
        const auto worker = m_workers.find(entry->first);
        if (worker == m_workers.end() || m_now - worker->second.m_last_heartbeat > entry_lifetime) {
            note_entry(entry->first);
            entry = m_registry.erase(entry);
        }
        else {
            ++entry;
        }
    }
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
    const bool lapsed = clock_of(worker, m_now) > worker.m_lease_until_ms;
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
    advance_gangs(m_gangs, m_workers, m_feature_random, m_now);
    update_registry();
    if (m_decider) {
        m_decider->step();
    }
    for (const auto& decider : m_cut_deciders) {
        decider->step();
    }
    std::erase_if(m_cut_deciders, [](const auto& decider) { return decider->has_ended(); });
}

} // namespace cicadalug::test
