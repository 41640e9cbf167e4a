#include "soak_faults.hpp"

#include "scheduler_simulation.hpp"
#include "soak_series.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <utility>

namespace cicadalug::test {

namespace {

constexpr std::array<std::string_view, soak_faults> names{
    "smaller_capacity",
    "less_memory",
    "no_capacity",
    "other_labels",
    "cut_from_decider",
    "cut_from_store",
    "cut_off",
    "restarted",
    "clock_ahead",
    "clock_back",
    "replaced",
    "late_commands",
    "failing_workers",
    "failing_tasks",
    "rack_lost",
    "vm_removed",
    "vm_added",
    "draining",
    "store_down",
    "job_watch_stalled",
    "worker_watch_stalled",
    "takeover",
    "two_takeovers",
    "handover",
    "deadly_tasks",
    "decider_cut_off",
    "restarted_with_late_renewals",
    "restarted_with_late_calls",
    "takeover_series",
};

constexpr std::array<const char*, 2> pools{"field", "shed"};
constexpr const char* common_label{"standard"};

/** @brief For how long the first workers have been running: their clocks are far ahead of those of new incarnations. */
constexpr milliseconds worker_age{60'000};

/** @brief A soak in progress. */
struct soak {
    soak_settings m_settings;
    soak_simulation m_simulation;
    soak_checks m_checks;
    time_point m_calm_since{};
    time_point m_next_fault{};
    time_point m_next_later_fault{};

    std::set<soak_fault> m_first_faults;
    std::set<soak_fault> m_later_faults;

    auto disturb_until(const time_point end) -> void { m_calm_since = std::max(m_calm_since, end); }
};

auto print_fault(const soak& run, const soak_fault fault, const milliseconds time) -> void
{
    if (run.m_settings.m_verbose) {
        const auto at = std::chrono::duration_cast<milliseconds>(run.m_simulation.now().time_since_epoch()).count();
        std::cout << at - 1'000'000 << " ms: " << name_of(fault) << " for " << time.count() << " ms\n";
    }
}

auto submit_long_running(soak& run, const std::string& pool) -> void
{
    auto& simulation = run.m_simulation;
    auto record = make_long_running_job(pool, 3 + simulation.random(4), 1 + simulation.random(2));
    auto& step = record.m_spec.m_steps.front();
    step.m_required_label = simulation.random(3) == 0 ? common_label : "";
    step.m_max_per_worker = simulation.random(3) == 0 ? 2 : 0;
    static_cast<void>(simulation.submit(std::move(record)));
}

auto submit_load(soak& run) -> void
{
    auto& simulation = run.m_simulation;
    for (const auto* pool : pools) {
        if (simulation.random(run.m_settings.m_steps_per_job) == 0) {
            static_cast<void>(simulation.submit(
                make_job(pool, 1 + simulation.random(11), 1'100, simulation.random_time(400, 1'600))));
        }
    }
    if (simulation.random(1'000) == 0) {
        submit_long_running(run, pools[static_cast<std::size_t>(simulation.random(2))]);
        const auto cancelled = simulation.random(static_cast<std::int64_t>(simulation.m_long_running.size()));
        const auto& id = simulation.m_long_running[static_cast<std::size_t>(cancelled)];
        if (!simulation.m_jobs.at(id).m_cancelled) {
            simulation.cancel(id);
        }
    }
}

/** @brief Submits jobs whose tasks work only together, at times with a limit for each worker. */
auto submit_gangs(soak& run) -> void
{
    auto& random = run.m_simulation.m_feature_random;
    for (const auto* pool : pools) {
        if (random.number(60) == 0) {
            auto record = make_job(pool, 2 + random.number(6), 1'000 + random.number(4) * 1'500, milliseconds{1'000});
            auto& step = record.m_spec.m_steps.front();
            step.m_gang = true;
            step.m_same_rack = random.number(2) == 0;
            step.m_max_per_worker = random.number(3) == 0 ? 2 : 0;
            const auto id = run.m_simulation.submit(std::move(record));
            if (random.number(6) == 0) {
                run.m_simulation.schedule(run.m_simulation.now() + random.time(0, 2'000),
                                          [&run, id] { run.m_simulation.cancel(id); });
            }
        }
    }
}

/** @brief Selects workers: one, some, or all of a pool. */
[[nodiscard]] auto choose_workers(const soak_simulation& simulation, soak_random& random) -> std::vector<worker_id>
{
    const std::string pool = pools[static_cast<std::size_t>(random.number(2))];
    const auto percent = std::array<std::int64_t, 4>{10, 35, 70, 100}[static_cast<std::size_t>(random.number(4))];
    std::vector<worker_id> chosen;
    for (const auto& [id, worker] : simulation.m_workers) {
        if (worker.m_alive && worker.m_entry.m_service.str() == pool && random.number(100) < percent) {
            chosen.push_back(id);
        }
    }
    return chosen;
}

[[nodiscard]] auto choose_workers(soak_simulation& simulation) -> std::vector<worker_id>
{
    return choose_workers(simulation, simulation.m_random);
}

/** @brief Changes workers for a time. */
template<typename Change, typename Revert>
auto change_workers(soak& run, const milliseconds time, const Change& change, const Revert& revert) -> void
{
    auto& simulation = run.m_simulation;
    for (const auto& id : choose_workers(simulation)) {
        change(simulation.m_workers.at(id));
        simulation.schedule(simulation.now() + time, [&simulation, id, revert] {
            const auto worker = simulation.m_workers.find(id);
            if (worker != simulation.m_workers.end()) {
                revert(worker->second);
            }
        });
    }
    // An entry that has expired while its worker was cut off is written again with the next heartbeat.
    run.disturb_until(simulation.now() + time);
}

auto remove_common_label(soak_worker& worker) -> void
{
    std::erase(worker.m_entry.m_labels, common_label);
}

/** @brief Adds the label, which may be there again if several faults have removed it. */
auto add_common_label(soak_worker& worker) -> void
{
    auto& labels = worker.m_entry.m_labels;
    if (std::find(labels.begin(), labels.end(), common_label) == labels.end()) {
        labels.emplace_back(common_label);
    }
}

template<typename Member>
auto set_for(soak& run, const milliseconds time, Member soak_worker::*member, const Member value) -> void
{
    change_workers(
        run, time, [&](soak_worker& worker) { worker.*member = value; },
        [member, value](soak_worker& worker) { worker.*member = !value; });
}

auto change_capacity(soak& run, const milliseconds time, const std::int64_t cpu_percent,
                     const std::int64_t memory_percent) -> void
{
    static const auto normal = run.m_simulation.m_workers.begin()->second.m_entry.m_capacity;
    const resources changed{millicores{normal.m_cpu.value() * cpu_percent / 100},
                            mebibytes{normal.m_memory.value() * memory_percent / 100}, 0};
    change_workers(
        run, time, [&](soak_worker& worker) { worker.m_entry.m_capacity = changed; },
        [](soak_worker& worker) { worker.m_entry.m_capacity = normal; });
}

/** @brief Crashes workers, which start again under the same id or another one. */
auto restart_workers(soak& run, const std::vector<worker_id>& workers, const bool keep_id,
                     const milliseconds clock_offset) -> void
{
    auto& simulation = run.m_simulation;
    for (const auto& id : workers) {
        simulation.crash(id);
        const auto down = simulation.random_time(50, 3'000);
        const auto entry_delay = simulation.random(2) == 0 ? milliseconds{0} : simulation.random_time(0, 2'000);
        run.disturb_until(simulation.now() + down + entry_delay);
        simulation.schedule(simulation.now() + down, [&simulation, id, keep_id, clock_offset, entry_delay] {
            const auto found = simulation.m_workers.find(id);
            if (found == simulation.m_workers.end() || found->second.m_alive) {
                return;
            }
            if (keep_id) {
                simulation.restart(id, clock_offset, entry_delay);
            }
            else {
                simulation.replace(id);
            }
        });
    }
}

auto lose_rack(soak& run) -> void
{
    auto& simulation = run.m_simulation;
    const auto rack = "rack" + std::to_string(simulation.random(4));
    for (auto& [id, worker] : simulation.m_workers) {
        const auto& labels = worker.m_entry.m_labels;
        if (std::find(labels.begin(), labels.end(), rack) != labels.end()) {
            simulation.crash(id);
        }
    }
    run.disturb_until(simulation.now());
}

auto add_vm(soak& run, const std::string& pool, const std::string& rack, const milliseconds age) -> void
{
    add_common_label(run.m_simulation.m_workers.at(run.m_simulation.add_vm(pool, rack, age)));
}

auto remove_vm(soak& run) -> void
{
    auto& simulation = run.m_simulation;
    const auto chosen = choose_workers(simulation);
    if (!chosen.empty()) {
        simulation.m_workers.erase(chosen.front());
        run.disturb_until(simulation.now());
    }
}

/** @brief Drains workers; those that are still there at the end leave. */
auto drain_workers(soak& run, const milliseconds time) -> void
{
    auto& simulation = run.m_simulation;
    for (const auto& id : choose_workers(simulation)) {
        simulation.m_workers.at(id).m_entry.m_state = worker_state::draining;
        simulation.schedule(simulation.now() + time, [&run, &simulation, id] {
            const auto found = simulation.m_workers.find(id);
            if (found != simulation.m_workers.end()) {
                found->second.m_entry.m_state = worker_state::ready;
                simulation.crash(id);
                simulation.replace(id);
            }
            run.disturb_until(simulation.now());
        });
    }
    run.disturb_until(simulation.now() + time);
}

auto take_over(soak& run, const milliseconds delay) -> void
{
    run.m_simulation.take_over(delay);
    // The machine of the decider is disturbed when it ends; the rest is up to the successor.
    run.disturb_until(run.m_simulation.now());
}

template<typename Member>
auto switch_off(soak& run, const milliseconds time, Member soak_simulation::*member) -> void
{
    auto& simulation = run.m_simulation;
    simulation.*member = false;
    simulation.schedule(simulation.now() + time, [&simulation, member] { simulation.*member = true; });
    run.disturb_until(simulation.now() + time);
}

auto submit_deadly(soak& run) -> void
{
    auto& simulation = run.m_simulation;
    const auto delay = simulation.random(2) == 0 ? milliseconds{10} : simulation.random_time(10, 1'000);
    for (std::int64_t count = 1 + simulation.random(4); count > 0; --count) {
        auto record = make_job(pools[static_cast<std::size_t>(simulation.random(2))], 1 + simulation.random(3), 1'100,
                               milliseconds{1'200});
        simulation.m_deadly[simulation.submit(std::move(record))] = delay;
    }
    run.disturb_until(simulation.now());
}

/** @brief Cuts the decider off from the store and from some workers, and its successor from others. */
auto cut_decider_off(soak& run, const milliseconds time) -> void
{
    auto& simulation = run.m_simulation;
    auto& random = simulation.m_later_random;
    if (simulation.decider() == nullptr) {
        return;
    }
    constexpr std::array<std::int64_t, 3> shares{0, 40, 100};
    const auto unreachable_percent = shares[static_cast<std::size_t>(random.number(3))];
    const auto kept_percent = shares[static_cast<std::size_t>(random.number(3))];
    soak_cut cut{{}, {}, simulation.now() + time};
    for (auto& [id, worker] : simulation.m_workers) {
        if (random.number(100) < unreachable_percent) {
            cut.m_unreachable.insert(id);
        }
        else if (random.number(100) < kept_percent && worker.m_reaches_decider) {
            cut.m_kept.insert(id);
            worker.m_reaches_decider = false;
            simulation.schedule(cut.m_end, [&simulation, id = id] {
                const auto found = simulation.m_workers.find(id);
                if (found != simulation.m_workers.end()) {
                    found->second.m_reaches_decider = true;
                }
            });
        }
    }
    simulation.cut_decider_off(random.time(1'200, 2'500), cut);
    run.disturb_until(simulation.now() + time);
}

/** @brief Submits tasks for all workers, in four jobs and some more. */
auto submit_backlog(soak& run, const std::int64_t more_jobs, const std::int64_t least_ms, const std::int64_t most_ms)
    -> void
{
    auto& random = run.m_simulation.m_later_random;
    for (const auto* pool : pools) {
        for (std::int64_t count = 4 + random.number(more_jobs); count > 0; --count) {
            static_cast<void>(run.m_simulation.submit(make_job(pool, 10, 1'100, random.time(least_ms, most_ms))));
        }
    }
}

/** @brief Changes a worker at a time, unless it is gone by then. */
auto change_worker_at(soak_simulation& simulation, const time_point at, const worker_id& id,
                      std::function<void(soak_worker&)> change) -> void
{
    simulation.schedule(at, [&simulation, id, change = std::move(change)] {
        const auto found = simulation.m_workers.find(id);
        if (found != simulation.m_workers.end()) {
            change(found->second);
        }
    });
}

/** @brief Crashes a worker, and starts it again under its id. @return When its entry is written at the latest. */
auto restart_at(soak_simulation& simulation, const time_point at, const worker_id& id) -> time_point
{
    auto& random = simulation.m_later_random;
    const auto up = at + random.time(50, 1'500);
    const auto entry_delay = random.number(2) == 0 ? milliseconds{0} : random.time(0, 3'000);
    change_worker_at(simulation, at, id, [&simulation](soak_worker& worker) { simulation.crash(worker.m_entry.m_id); });
    change_worker_at(simulation, up, id, [&simulation, entry_delay](soak_worker& worker) {
        if (!worker.m_alive) {
            simulation.restart(worker.m_entry.m_id, milliseconds{0}, entry_delay);
        }
    });
    return up + entry_delay;
}

/**
 * @brief Restarts workers under their ids while calls to them are carried out late, and replaces the decider.
 * @param run The soak.
 * @param time For how long calls to the workers get no answer and are carried out late.
 * @param late_commands Commands are late, too, not only renewals.
 */
auto restart_with_late_calls(soak& run, const milliseconds time, const bool late_commands) -> void
{
    auto& simulation = run.m_simulation;
    auto& random = simulation.m_later_random;
    const auto now = simulation.now();
    const auto late_percent = random.number(2) == 0 ? 50 : 100;
    const auto crash = now + std::max(milliseconds{100}, time - random.time(100, 4'000));
    const auto second_crash = random.number(4) == 0 ? crash + random.time(2'000, 6'000) : time_point{};
    const auto cut = now + time + random.time(200, 3'000);
    const auto cut_percent = std::array<std::int64_t, 3>{30, 60, 90}[static_cast<std::size_t>(random.number(3))];
    const bool cut_from_store = random.number(2) == 0;
    auto end = now + time;
    // Tasks that outlast a lease are started on the workers when they can be reached again.
    simulation.schedule(now + time, [&run] { submit_backlog(run, 4, 4'000, 12'000); });
    for (const auto& id : choose_workers(simulation, random)) {
        auto& worker = simulation.m_workers.at(id);
        worker.m_late_renewal_percent = late_percent;
        worker.m_late_command_percent = late_commands ? late_percent : 0;
        change_worker_at(simulation, now + time, id, [](soak_worker& changed) {
            changed.m_late_renewal_percent = changed.m_late_command_percent = 0;
        });
        end = std::max(end, restart_at(simulation, crash, id));
        if (second_crash != time_point{}) {
            end = std::max(end, restart_at(simulation, second_crash, id));
        }
        if (random.number(100) < cut_percent) {
            const auto reconnected = cut + random.time(4'000, 10'000);
            change_worker_at(simulation, cut, id, [cut_from_store](soak_worker& changed) {
                changed.m_reaches_decider = false;
                changed.m_reaches_store = !cut_from_store;
            });
            change_worker_at(simulation, reconnected, id,
                             [](soak_worker& changed) { changed.m_reaches_decider = changed.m_reaches_store = true; });
            end = std::max(end, reconnected);
        }
    }
    auto replaced = crash;
    for (auto takeovers = 1 + random.number(2); takeovers > 0; --takeovers) {
        replaced += random.time(0, 3'000);
        simulation.schedule(replaced, [&run] { take_over(run, run.m_simulation.m_later_random.time(1'200, 2'500)); });
    }
    run.disturb_until(end);
    // Another restart would end the runs on the workers before their leases end.
    run.m_next_later_fault = end;
}

auto begin_later_fault(soak& run, const soak_fault fault) -> void
{
    const auto time = run.m_simulation.m_later_random.time(1'500, 9'000);
    print_fault(run, fault, time);
    if (fault == soak_fault::restarted_with_late_renewals || fault == soak_fault::restarted_with_late_calls) {
        restart_with_late_calls(run, time, fault == soak_fault::restarted_with_late_calls);
    }
    if (fault == soak_fault::takeover_series) {
        run.m_next_later_fault = begin_takeover_series(run.m_simulation, run.m_settings.m_seed % 3 == 0);
        run.disturb_until(run.m_next_later_fault);
    }
    if (fault == soak_fault::decider_cut_off) {
        // The decider has work that it can start for a while.
        submit_backlog(run, 12, 300, 1'200);
        run.m_simulation.schedule(run.m_simulation.now() + run.m_simulation.m_later_random.time(10, 300),
                                  [&run, time] { cut_decider_off(run, time); });
    }
}

auto begin_fault(soak& run, const soak_fault fault) -> void
{
    auto& simulation = run.m_simulation;
    const auto time = simulation.random_time(200, 6'000);
    print_fault(run, fault, time);
    switch (fault) {
    case soak_fault::smaller_capacity:
        return change_capacity(run, time, 10 + simulation.random(60), 100);
    case soak_fault::less_memory:
        return change_capacity(run, time, 100, simulation.random(20));
    case soak_fault::no_capacity:
        return change_capacity(run, time, 0, 0);
    case soak_fault::other_labels:
        return change_workers(run, time, remove_common_label, add_common_label);
    case soak_fault::cut_from_decider:
        return set_for(run, time, &soak_worker::m_reaches_decider, false);
    case soak_fault::cut_from_store:
        return set_for(run, time, &soak_worker::m_reaches_store, false);
    case soak_fault::cut_off:
        return change_workers(
            run, time, [](soak_worker& worker) { worker.m_reaches_decider = worker.m_reaches_store = false; },
            [](soak_worker& worker) { worker.m_reaches_decider = worker.m_reaches_store = true; });
    case soak_fault::restarted:
        return restart_workers(run, choose_workers(simulation), true, milliseconds{0});
    case soak_fault::clock_ahead:
        return restart_workers(run, choose_workers(simulation), true, milliseconds{30'000});
    case soak_fault::clock_back:
        return restart_workers(run, choose_workers(simulation), true, milliseconds{-30'000});
    case soak_fault::replaced:
        return restart_workers(run, choose_workers(simulation), false, milliseconds{0});
    case soak_fault::late_commands:
        // A command that is under way at the end may still be carried out 4 s later.
        return set_for(run, time, &soak_worker::m_answers_commands, false);
    case soak_fault::failing_workers:
        return set_for(run, time, &soak_worker::m_fails_all, true);
    case soak_fault::failing_tasks:
        simulation.m_mean_time_to_failure = simulation.random_time(200, 3'000);
        return;
    case soak_fault::rack_lost:
        return lose_rack(run);
    case soak_fault::vm_removed:
        return remove_vm(run);
    case soak_fault::vm_added:
        return add_vm(run, pools[static_cast<std::size_t>(simulation.random(2))], "rack9", milliseconds{0});
    case soak_fault::draining:
        return drain_workers(run, time);
    case soak_fault::store_down:
        return switch_off(run, time, &soak_simulation::m_store_up);
    case soak_fault::job_watch_stalled:
        return switch_off(run, time, &soak_simulation::m_job_watch_up);
    case soak_fault::worker_watch_stalled:
        return switch_off(run, time, &soak_simulation::m_worker_watch_up);
    case soak_fault::takeover:
        return take_over(run, simulation.random_time(1'200, 2'500));
    case soak_fault::two_takeovers:
        simulation.schedule(simulation.now() + simulation.random_time(1'300, 3'000),
                            [&run] { take_over(run, run.m_simulation.random_time(1'200, 2'500)); });
        return take_over(run, milliseconds{1'200});
    case soak_fault::handover:
        return simulation.take_over(simulation.random_time(20, 200));
    case soak_fault::deadly_tasks:
        return submit_deadly(run);
    default:
        return;
    }
}

auto begin_faults(soak& run) -> void
{
    auto& simulation = run.m_simulation;
    const auto& faults = run.m_first_faults;
    if (faults.empty() || simulation.now() < run.m_next_fault) {
        return;
    }
    const auto chosen = simulation.random(static_cast<std::int64_t>(faults.size()));
    begin_fault(run, *std::next(faults.begin(), chosen));
    // Faults strike together, or with calm in between.
    const auto gap =
        simulation.random(2) == 0 ? simulation.random_time(0, 1'500) : simulation.random_time(3'000, 14'000);
    run.m_next_fault = simulation.now() + gap;
}

auto begin_later_faults(soak& run) -> void
{
    auto& simulation = run.m_simulation;
    auto& random = simulation.m_later_random;
    const auto& faults = run.m_later_faults;
    if (faults.empty() || simulation.now() < run.m_next_later_fault) {
        return;
    }
    begin_later_fault(run, *std::next(faults.begin(), random.number(static_cast<std::int64_t>(faults.size()))));
    run.m_next_later_fault =
        std::max(run.m_next_later_fault,
                 simulation.now() + (random.number(2) == 0 ? random.time(0, 2'500) : random.time(3'000, 12'000)));
}

} // namespace

auto name_of(const soak_fault fault) noexcept -> std::string_view
{
    return names[static_cast<std::size_t>(fault)];
}

auto run_soak(const soak_settings& settings) -> soak_findings
{
    soak run{settings, soak_simulation{settings.m_seed, settings.m_longest_lease}, {}, {}, {}, {}, {}, {}};
    auto& simulation = run.m_simulation;
    for (const auto fault : settings.m_faults) {
        (static_cast<std::size_t>(fault) < first_soak_faults ? run.m_first_faults : run.m_later_faults).insert(fault);
    }
    for (std::int64_t number = 0; number < 14; ++number) {
        add_vm(run, pools[number < 8 ? 0 : 1], "rack" + std::to_string(number / 4), worker_age);
    }
    run.disturb_until(simulation.now());
    const auto begin = simulation.now();
    run.m_next_fault = begin + milliseconds{3'000};
    run.m_next_later_fault = begin + simulation.m_later_random.time(2'000, 6'000);
    for (const auto* pool : pools) {
        submit_long_running(run, pool);
        submit_long_running(run, pool);
    }
    while (simulation.now() < begin + settings.m_faulty + settings.m_calm) {
        submit_load(run);
        if (settings.m_features.contains(soak_feature::gangs)) {
            submit_gangs(run);
        }
        if (simulation.now() < begin + settings.m_faulty) {
            begin_faults(run);
            begin_later_faults(run);
        }
        simulation.step();
        if (!simulation.m_crashed.empty()) {
            restart_workers(run, std::exchange(simulation.m_crashed, {}), simulation.random(2) == 0, milliseconds{0});
        }
        check_step(run.m_checks, simulation, run.m_calm_since);
        if (settings.m_faults.contains(soak_fault::takeover_series)) {
            check_long_waits(run.m_checks, simulation);
        }
    }
    if (!settings.m_features.empty()) {
        check_end(run.m_checks, simulation, run.m_calm_since);
    }
    return run.m_checks.m_findings;
}

} // namespace cicadalug::test
