#include <cicadalug/scheduler/maintenance.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Share of its progress at which a task that lasts is at work. */
constexpr std::int64_t at_work_percent{100};

/**
 * @brief Checks whether it is known what would end with a worker. A worker that was not heard since a takeover may run
 * anything, until its leases from before are over; ends that are not stored yet would be lost with it.
 */
[[nodiscard]] auto are_runs_known(const scheduler_state& state, const worker_index index, const time_point now) -> bool
{
    const bool leases_over = now > state.m_began + state.m_settings.m_grant_horizon * 2;
    if (index == no_worker) {
        return leases_over;
    }
    const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    if (!worker.m_has_reported || worker.m_unresponsive) {
        return leases_over && worker.m_runs.empty() && !worker.m_registered;
    }
    return worker.m_acknowledged_end == worker.m_last_end;
}

/** @brief Counts the tasks of a step that are not at work, those on a worker included. */
[[nodiscard]] auto tasks_away(const job_entry& job, const task_ref& task, const worker_index index) -> std::int64_t
{
    const auto* step = find_step(job, task);
    if (step == nullptr) {
        return 0;
    }
    const auto& tasks = step->m_tasks;
    return std::count_if(tasks.begin(), tasks.end(), [index](const task_state& member) {
        return member.m_phase != task_phase::running || member.m_percent < at_work_percent ||
               (index != no_worker && member.m_worker == index);
    });
}

[[nodiscard]] auto has_short_runs(const scheduler_state& state, const worker_slot& worker) -> bool
{
    return std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&state](const placed_run& run) {
        const auto* job = find_job(state, run.m_task.m_job);
        return job != nullptr && !is_final(job->m_state) && !step_of(*job, run.m_task).m_long_running;
    });
}

/** @brief Share of a pool's processors that is reserved, in thousandths. */
[[nodiscard]] auto pool_load(const scheduler_state& state, const service_id& pool) -> std::int64_t
{
    std::int64_t used{0};
    std::int64_t capacity{0};
    for (const auto& worker : state.m_workers) {
        if (worker.m_registered && worker.m_entry.m_service == pool) {
            used += worker.m_used.m_cpu.value();
            capacity += worker.m_entry.m_capacity.m_cpu.value();
        }
    }
    return capacity == 0 ? 0 : used * 1'000 / capacity;
}

/** @brief Number of VMs that should be cordoned or down now for the wave to end in time. */
[[nodiscard]] auto wanted_concurrency(const maintenance_settings& settings, const wave_progress_state& wave,
                                      const std::int64_t open, const time_point now) -> std::int64_t
{
    const auto aim = wave.m_began + wave.m_request.m_duration * settings.m_aim_percent / 100;
    const auto left = std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(aim - now).count());
    const auto cycle = (settings.m_maintenance_time + settings.m_longest_drain).count();
    const auto needed = (open * cycle + left - 1) / left;
    return std::clamp<std::int64_t>(needed, 1, std::max<std::int64_t>(1, wave.m_request.m_concurrency));
}

/** @brief Stops a task whose step has too many members on one worker, if its budget allows that now. The worker is
 * cordoned, so the task starts elsewhere. */
auto evacuate(scheduler_state& state, const task_ref& task, const worker_index index) -> void
{
    const auto* job = find_job(state, task.m_job);
    auto* known = find_task(state, task);
    if (job == nullptr || known == nullptr || known->m_percent < at_work_percent ||
        tasks_away(*job, task, no_worker) >= step_of(*job, task).m_disruption_budget) {
        return;
    }
    for (auto& run : state.m_workers[static_cast<std::size_t>(index)].m_runs) {
        if (run.m_task == task && run.m_run == known->m_run) {
            run.m_stop_wanted = true;
            known->m_percent = 0;
        }
    }
}

/** @brief Spreads steps that have more tasks on a VM of the wave than their budget, before the VM's turn comes. */
auto evacuate_crowded(scheduler_state& state, const wave_progress_state& wave, const std::vector<vm_status>& vms)
    -> void
{
    for (const auto& id : wave.m_request.m_vms) {
        const auto* vm = find_vm(vms, id);
        const auto index = vm == nullptr || wave.m_begun.contains(id) ? no_worker : find_worker(state, vm->m_worker);
        if (index == no_worker) {
            continue;
        }
        const auto& runs = state.m_workers[static_cast<std::size_t>(index)].m_runs;
        for (const auto& run : runs) {
            const auto* job = find_job(state, run.m_task.m_job);
            if (job == nullptr || is_final(job->m_state) || run.m_stop_wanted) {
                continue;
            }
            const auto budget = step_of(*job, run.m_task).m_disruption_budget;
            const auto members = std::count_if(runs.begin(), runs.end(), [&run](const placed_run& other) {
                return other.m_task.m_job == run.m_task.m_job && other.m_task.m_step == run.m_task.m_step;
            });
            if (budget > 0 && members > budget) {
                evacuate(state, run.m_task, index);
            }
        }
    }
}

/** @brief Notes which VMs are back from their upkeep, and which are gone for good. */
auto note_vms(scheduler_state& state, const maintenance_settings& settings, wave_progress_state& wave,
              const std::vector<vm_status>& vms, const time_point now) -> void
{
    for (auto down = wave.m_down.begin(); down != wave.m_down.end();) {
        const auto* vm = find_vm(vms, down->first);
        const bool back =
            vm == nullptr || (vm->m_phase == vm_phase::up && now - down->second > settings.m_maintenance_time);
        down = back ? wave.m_down.erase(down) : std::next(down);
    }
    for (const auto& id : wave.m_request.m_vms) {
        const auto* vm = find_vm(vms, id);
        if (vm == nullptr) {
            wave.m_begun.insert(id);
        }
        else if (vm->m_phase == vm_phase::in_maintenance) {
            // Ordered by the decider before.
            wave.m_begun.insert(id);
            wave.m_down.try_emplace(id, now - settings.m_maintenance_time);
        }
    }
    for (auto cordoned = wave.m_cordoned.begin(); cordoned != wave.m_cordoned.end();) {
        const auto* vm = find_vm(vms, cordoned->first);
        const bool begun = wave.m_begun.contains(cordoned->first);
        if (vm == nullptr || vm->m_phase != vm_phase::up || begun) {
            // The worker of a VM that has begun its upkeep is over, and stays cordoned until its entry goes.
            if (vm != nullptr && !begun) {
                release_worker(state, vm->m_worker);
            }
            cordoned = wave.m_cordoned.erase(cordoned);
        }
        else {
            ++cordoned;
        }
    }
}

auto cordon_next(scheduler_state& state, const maintenance_settings& settings, wave_progress_state& wave,
                 const std::vector<vm_status>& vms, const time_point now) -> void
{
    std::vector<std::pair<std::tuple<std::int64_t, std::int64_t>, const vm_status*>> open;
    for (const auto& id : wave.m_request.m_vms) {
        const auto* vm = find_vm(vms, id);
        if (wave.m_begun.contains(id) || wave.m_cordoned.contains(id) || vm == nullptr || vm->m_phase != vm_phase::up) {
            continue;
        }
        const auto index = find_worker(state, vm->m_worker);
        const auto used =
            index == no_worker ? 0 : state.m_workers[static_cast<std::size_t>(index)].m_used.m_cpu.value();
        open.push_back({{pool_load(state, vm->m_pool), used}, vm});
    }
    std::sort(open.begin(), open.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    const auto unfinished = static_cast<std::int64_t>(open.size() + wave.m_cordoned.size());
    const auto wanted = wanted_concurrency(settings, wave, unfinished, now);
    auto busy = static_cast<std::int64_t>(wave.m_cordoned.size() + wave.m_down.size());
    for (const auto& [key, vm] : open) {
        if (busy >= wanted) {
            return;
        }
        const auto index = find_worker(state, vm->m_worker);
        if (index != no_worker) {
            state.m_workers[static_cast<std::size_t>(index)].m_cordoned = true;
        }
        wave.m_cordoned.emplace(vm->m_vm, now);
        ++busy;
    }
}

} // namespace

auto find_vm(const std::vector<vm_status>& vms, const vm_id& id) -> const vm_status*
{
    const auto found = std::find_if(vms.begin(), vms.end(), [&id](const vm_status& vm) { return vm.m_vm == id; });
    return found == vms.end() ? nullptr : &*found;
}

auto set_runs_ending(scheduler_state& state, const worker_id& worker, const bool ending) -> void
{
    const auto index = find_worker(state, worker);
    if (index == no_worker) {
        return;
    }
    for (auto& run : state.m_workers[static_cast<std::size_t>(index)].m_runs) {
        run.m_ending = ending;
        auto* task = find_task(state, run.m_task);
        if (task != nullptr && ending) {
            task->m_percent = 0;
        }
    }
}

auto blocking_task(const scheduler_state& state, const worker_id& worker) -> std::optional<task_ref>
{
    const auto index = find_worker(state, worker);
    if (index == no_worker) {
        return std::nullopt;
    }
    for (const auto& run : state.m_workers[static_cast<std::size_t>(index)].m_runs) {
        const auto* job = find_job(state, run.m_task.m_job);
        if (job == nullptr || is_final(job->m_state)) {
            continue;
        }
        const auto budget = step_of(*job, run.m_task).m_disruption_budget;
        if (budget > 0 && tasks_away(*job, run.m_task, index) > budget) {
            return run.m_task;
        }
    }
    return std::nullopt;
}

auto plan_maintenance(scheduler_state& state, const maintenance_settings& settings, wave_progress_state& wave,
                      const std::vector<vm_status>& vms, const std::set<vm_id>& reserved, const time_point now)
    -> std::vector<vm_id>
{
    note_vms(state, settings, wave, vms, now);
    // Orders of the decider before may still be carried out.
    const auto in_doubt = std::count_if(wave.m_request.m_vms.begin(), wave.m_request.m_vms.end(), [&](const vm_id& id) {
        return reserved.contains(id) && !wave.m_down.contains(id);
    });
    evacuate_crowded(state, wave, vms);
    cordon_next(state, settings, wave, vms, now);
    std::vector<vm_id> begin;
    for (const auto& [id, since] : wave.m_cordoned) {
        if (static_cast<std::int64_t>(wave.m_down.size()) + in_doubt >= wave.m_request.m_concurrency) {
            break;
        }
        if (wave.m_down.contains(id)) {
            continue;
        }
        const auto* vm = find_vm(vms, id);
        const auto index = vm == nullptr ? no_worker : find_worker(state, vm->m_worker);
        if (!are_runs_known(state, index, now)) {
            continue;
        }
        const bool drained = index == no_worker || now - since > settings.m_longest_drain ||
                             !has_short_runs(state, state.m_workers[static_cast<std::size_t>(index)]);
        if (vm == nullptr || !drained || reserved.contains(id)) {
            continue;
        }
        if (const auto blocking = blocking_task(state, vm->m_worker)) {
            evacuate(state, *blocking, index);
            continue;
        }
        wave.m_down.emplace(id, now);
        begin.push_back(id);
        set_runs_ending(state, vm->m_worker, true);
    }
    return begin;
}

auto is_still_up(const std::vector<vm_status>& vms, const vm_id& vm, const worker_id& worker) -> bool
{
    const auto* listed = find_vm(vms, vm);
    return listed != nullptr && listed->m_phase == vm_phase::up && listed->m_worker == worker;
}

auto is_wave_completed(const wave_progress_state& wave) -> bool
{
    return wave.m_down.empty() && std::all_of(wave.m_request.m_vms.begin(), wave.m_request.m_vms.end(),
                                              [&wave](const vm_id& vm) { return wave.m_begun.contains(vm); });
}

} // namespace cicadalug
