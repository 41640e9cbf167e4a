#include <cicadalug/scheduler/crash_suspicion.hpp>
#include <cicadalug/scheduler/maintenance.hpp>
#include <cicadalug/scheduler/needed_workers.hpp>
#include <cicadalug/scheduler/placement.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Reported progress, in percent, from which a long-running task is available. */
constexpr std::int64_t ready_percent{100};

/**
 * @brief Checks whether it is known which runs would end with a worker. A worker that has not reported since a takeover
 * may run anything until its leases from the previous term have expired; ended runs that are not stored yet would be
 * lost with the worker.
 */
[[nodiscard]] auto are_runs_known(const scheduler_state& state, const worker_index index, const time_point now) -> bool
{
    const bool leases_expired = now > state.m_began + state.m_settings.m_grant_horizon * 2;
    if (index == no_worker) {
        return leases_expired;
    }
    const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    if (!worker.m_has_reported || worker.m_unresponsive) {
        return leases_expired && worker.m_runs.empty() && !worker.m_registered;
    }
    return worker.m_acknowledged_end == worker.m_last_end;
}

/** @brief Counts the unavailable tasks of a step, including those on a given worker. */
[[nodiscard]] auto unavailable_tasks(const job_entry& job, const task_ref& task, const worker_index index)
    -> std::int64_t
{
    const auto* step = find_step(job, task);
    if (step == nullptr) {
        return 0;
    }
    const auto& tasks = step->m_tasks;
    return std::count_if(tasks.begin(), tasks.end(), [index](const task_state& member) {
        return member.m_phase != task_phase::running || member.m_percent < ready_percent ||
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

/** @brief Returns the share of a pool's cores that is reserved, in thousandths. */
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

/** @brief Returns the number of VMs that have to be cordoned or down now for the wave to end in time. They may be more
 * than may be down at once, so that the next ones have drained when the last ones come up. */
[[nodiscard]] auto required_concurrency(const maintenance_settings& settings, const wave_progress_state& wave,
                                        const std::int64_t open, const time_point now) -> std::int64_t
{
    const auto target_end = wave.m_began + wave.m_request.m_duration * settings.m_target_time_percent / 100;
    const auto remaining_ms =
        std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(target_end - now).count());
    const auto cycle_ms = (settings.m_maintenance_time + settings.m_drain_timeout).count();
    const auto needed = (open * cycle_ms + remaining_ms - 1) / remaining_ms;
    const auto down = std::max<std::int64_t>(1, wave.m_request.m_concurrency);
    const auto limit = down * cycle_ms / std::max<std::int64_t>(1, settings.m_maintenance_time.count());
    return std::clamp<std::int64_t>(needed, 1, std::max(down, limit));
}

/** @brief Checks whether a task would be restarted on another worker if it was stopped. A worker that is not cordoned
 * could get the task again; the other one must then have fewer tasks of the step even with it. */
[[nodiscard]] auto has_place_elsewhere(const scheduler_state& state, const job_entry& job, const task_ref& task,
                                       const task_state& known, const worker_index index, const time_point now) -> bool
{
    const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    const auto& policy = job.m_record.m_policy;
    const bool needs_permit = state.m_permit_queues.contains(policy.m_queue);
    const placement_request request{&step_of(job, task), task, &known.m_failed_workers,
                                    needs_permit ? find_step(job, task) : nullptr};
    const auto members = tasks_of_step(worker, task);
    const auto& failed = known.m_failed_workers;
    return std::any_of(state.m_current_workers.begin(), state.m_current_workers.end(), [&](const worker_index other) {
        const auto& slot = state.m_workers[static_cast<std::size_t>(other)];
        const bool preferred = worker.m_cordoned || (tasks_of_step(slot, task) + 1 < members &&
                                                     std::find(failed.begin(), failed.end(), other) == failed.end());
        return other != index && slot.m_entry.m_service == policy.m_service && preferred &&
               find_obstacle(slot, now) == worker_obstacle::none && !is_in_trial(state, other) &&
               can_place(state, other, request, now);
    });
}

/** @brief Stops a task whose step has too many tasks on one worker, if its disruption budget currently allows that and
 * another worker has room for it. */
auto evacuate(scheduler_state& state, const task_ref& task, const worker_index index, const time_point now) -> void
{
    const auto* job = find_job(state, task.m_job);
    auto* known = find_task(state, task);
    if (job == nullptr || known == nullptr || known->m_percent < ready_percent ||
        unavailable_tasks(*job, task, no_worker) >= step_of(*job, task).m_disruption_budget ||
        !has_place_elsewhere(state, *job, task, *known, index, now)) {
        return;
    }
    for (auto& run : state.m_workers[static_cast<std::size_t>(index)].m_runs) {
        if (run.m_task == task && run.m_run == known->m_run) {
            run.m_stop_requested = true;
            known->m_percent = 0;
        }
    }
}

/** @brief Spreads steps with more tasks on a VM of the wave than their disruption budget, before that VM is due. */
auto evacuate_overcrowded_vms(scheduler_state& state, const wave_progress_state& wave,
                              const std::vector<vm_status>& vms, const time_point now) -> void
{
    for (const auto& id : wave.m_request.m_vms) {
        const auto* vm = find_vm(vms, id);
        const auto index = vm == nullptr || is_settled(wave, id) ? no_worker : find_worker(state, vm->m_worker);
        if (index == no_worker) {
            continue;
        }
        const auto& runs = state.m_workers[static_cast<std::size_t>(index)].m_runs;
        for (const auto& run : runs) {
            const auto* job = find_job(state, run.m_task.m_job);
            if (job == nullptr || is_final(job->m_state) || run.m_stop_requested) {
                continue;
            }
            const auto budget = step_of(*job, run.m_task).m_disruption_budget;
            const auto members = std::count_if(runs.begin(), runs.end(), [&run](const placed_run& other) {
                return other.m_task.m_job == run.m_task.m_job && other.m_task.m_step == run.m_task.m_step;
            });
            if (budget > 0 && members > budget) {
                evacuate(state, run.m_task, index, now);
            }
        }
    }
}

/** @brief Records which VMs have been removed. One that is listed again is part of the wave again. */
auto update_removed_vms(const maintenance_settings& settings, wave_progress_state& wave, const vm_list& list) -> void
{
    wave.m_removed.clear();
    for (const auto& id : wave.m_request.m_vms) {
        if (find_vm(list.m_vms, id) != nullptr) {
            wave.m_missing.erase(id);
            continue;
        }
        const auto missing_since = wave.m_missing.try_emplace(id, list.m_requested).first->second;
        if (list.m_requested - missing_since >= settings.m_missing_timeout) {
            wave.m_removed.insert(id);
            wave.m_excluded.erase(id);
        }
    }
}

/** @brief Removes the VMs that are up again from those that are down. */
auto update_returned_vms(const maintenance_settings& settings, wave_progress_state& wave, const vm_list& list) -> void
{
    for (auto down = wave.m_down.begin(); down != wave.m_down.end();) {
        const auto* vm = find_vm(list.m_vms, down->first);
        const bool maintained = list.m_requested - down->second > settings.m_maintenance_time;
        const bool back =
            wave.m_removed.contains(down->first) || (vm != nullptr && vm->m_phase == vm_phase::up && maintained);
        if (!back) {
            ++down;
            continue;
        }
        wave.m_in_doubt.erase(down->first);
        down = wave.m_down.erase(down);
    }
}

/** @brief Counts VMs in maintenance as down if an earlier decider may have sent the command for this wave. */
auto update_doubtful_vms(const maintenance_settings& settings, wave_progress_state& wave, const vm_list& list,
                         const claimed_vms& others) -> void
{
    for (const auto& id : wave.m_request.m_vms) {
        const auto* vm = find_vm(list.m_vms, id);
        if (vm == nullptr || vm->m_phase != vm_phase::in_maintenance) {
            if (vm != nullptr) {
                wave.m_busy.erase(id);
            }
            continue;
        }
        if (!wave.m_recovered || wave.m_busy.contains(id) || others.m_in_maintenance.contains(id)) {
            continue;
        }
        // Without a response to the command, the VM may have come up and begun its maintenance just now.
        const auto since =
            wave.m_begun.contains(id) ? list.m_requested - settings.m_maintenance_time : list.m_requested;
        if (wave.m_down.try_emplace(id, since).second) {
            wave.m_in_doubt.insert(id);
        }
    }
}

/** @brief Checks whether a command of an earlier decider for a VM that does not count as down may still be carried out.
 */
[[nodiscard]] auto may_be_commanded(const wave_progress_state& wave, const std::set<vm_id>& reserved, const vm_id& id)
    -> bool
{
    return !wave.m_down.contains(id) && (reserved.contains(id) || wave.m_commanded_before.contains(id));
}

/** @brief Updates a wave by the platform's list, and releases the workers of VMs that are not to be maintained now. */
auto update_wave_progress(scheduler_state& state, const maintenance_settings& settings, wave_progress_state& wave,
                          const vm_list& list, const claimed_vms& others) -> void
{
    update_removed_vms(settings, wave, list);
    update_returned_vms(settings, wave, list);
    update_doubtful_vms(settings, wave, list, others);
    for (auto cordoned = wave.m_cordoned.begin(); cordoned != wave.m_cordoned.end();) {
        const auto& id = cordoned->first;
        const auto* vm = find_vm(list.m_vms, id);
        const bool begun = wave.m_begun.contains(id);
        const bool down = wave.m_down.contains(id);
        // The command for a VM that counts as down may be carried out, even if a list lacks the VM.
        const bool leaves = vm == nullptr ? !down : vm->m_phase != vm_phase::up;
        const bool withdrawn = !down && !is_requested(wave, id);
        if (begun || leaves || withdrawn) {
            // Once maintenance has begun, the VM's worker has terminated. It stays cordoned until its entry is removed.
            if (!begun || wave.m_removed.contains(id)) {
                release_worker(state, cordoned->second.m_worker);
            }
            cordoned = wave.m_cordoned.erase(cordoned);
        }
        else {
            ++cordoned;
        }
    }
}

/** @brief Releases cordoned VMs whose workers are needed by waiting long-running tasks. */
auto release_needed(scheduler_state& state, wave_progress_state& wave, const std::vector<vm_status>& vms,
                    const time_point now) -> void
{
    std::map<worker_index, vm_id> releasable;
    for (const auto& [id, cordon] : wave.m_cordoned) {
        const auto* vm = find_vm(vms, id);
        const auto index = vm == nullptr ? no_worker : find_worker(state, vm->m_worker);
        // The command for a VM that counts as down may be carried out.
        if (index != no_worker && !wave.m_down.contains(id)) {
            releasable.emplace(index, id);
        }
    }
    std::set<worker_index> indices;
    for (const auto& [index, id] : releasable) {
        indices.insert(index);
    }
    for (const auto index : find_needed_workers(state, indices, now)) {
        if (const auto found = releasable.find(index); found != releasable.end()) {
            release_worker(state, state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id);
            wave.m_cordoned.erase(found->second);
        }
    }
}

/** @brief Checks whether a VM has the only worker of its pool that accepts work while others are cordoned or down, and
 * accept work again later. */
[[nodiscard]] auto is_last_accepting(const scheduler_state& state, const wave_progress_state& wave,
                                     const std::vector<vm_status>& vms, const vm_status& vm, const time_point now)
    -> bool
{
    const auto of_pool = [&](const auto& entry) {
        const auto* other = find_vm(vms, entry.first);
        return other != nullptr && other->m_pool == vm.m_pool;
    };
    const bool others_return = std::any_of(wave.m_cordoned.begin(), wave.m_cordoned.end(), of_pool) ||
                               std::any_of(wave.m_down.begin(), wave.m_down.end(), of_pool);
    return others_return &&
           std::none_of(state.m_current_workers.begin(), state.m_current_workers.end(), [&](const worker_index index) {
               const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
               return worker.m_entry.m_id != vm.m_worker && worker.m_entry.m_service == vm.m_pool &&
                      find_obstacle(worker, now) == worker_obstacle::none;
           });
}

/** @brief Releases cordoned VMs for which no command was sent. */
auto release_without_command(scheduler_state& state, wave_progress_state& wave) -> void
{
    for (auto cordoned = wave.m_cordoned.begin(); cordoned != wave.m_cordoned.end();) {
        if (wave.m_down.contains(cordoned->first)) {
            ++cordoned;
            continue;
        }
        release_worker(state, cordoned->second.m_worker);
        cordoned = wave.m_cordoned.erase(cordoned);
    }
}

auto cordon_next(scheduler_state& state, const maintenance_settings& settings, wave_progress_state& wave,
                 const std::vector<vm_status>& vms, const claimed_vms& others, const time_point now) -> void
{
    // A VM with a command of an earlier decider takes a place until its own command is sent.
    std::vector<std::pair<std::tuple<bool, std::int64_t, std::int64_t>, const vm_status*>> open;
    for (const auto& id : wave.m_request.m_vms) {
        const auto* vm = find_vm(vms, id);
        if (is_settled(wave, id) || wave.m_cordoned.contains(id) || others.m_claimed.contains(id) || vm == nullptr ||
            vm->m_phase != vm_phase::up) {
            continue;
        }
        const auto index = find_worker(state, vm->m_worker);
        const auto used =
            index == no_worker ? 0 : state.m_workers[static_cast<std::size_t>(index)].m_used.m_cpu.value();
        open.push_back({{!wave.m_commanded_before.contains(id), pool_load(state, vm->m_pool), used}, vm});
    }
    std::sort(open.begin(), open.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    const auto unfinished = static_cast<std::int64_t>(open.size() + wave.m_cordoned.size());
    const auto required = required_concurrency(settings, wave, unfinished, now);
    auto busy = static_cast<std::int64_t>(wave.m_cordoned.size() + wave.m_down.size());
    auto needed = find_needed_workers(state, {}, now);
    for (const auto& [key, vm] : open) {
        if (busy >= required) {
            return;
        }
        const auto index = find_worker(state, vm->m_worker);
        if (needed.contains(index) || is_last_accepting(state, wave, vms, *vm, now)) {
            continue;
        }
        if (index != no_worker) {
            state.m_workers[static_cast<std::size_t>(index)].m_cordoned = true;
            needed = find_needed_workers(state, {}, now);
        }
        wave.m_cordoned.emplace(vm->m_vm, wave_progress_state::cordon{now, vm->m_worker});
        ++busy;
    }
}

} // namespace

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
        if (budget > 0 && unavailable_tasks(*job, run.m_task, index) > budget) {
            return run.m_task;
        }
    }
    return std::nullopt;
}

auto plan_maintenance(scheduler_state& state, const maintenance_settings& settings, wave_progress_state& wave,
                      const vm_list& list, const std::set<vm_id>& reserved, const time_point now,
                      const claimed_vms& others) -> std::vector<vm_id>
{
    if (!is_current(list, now)) {
        release_without_command(state, wave);
        return {};
    }
    const auto& vms = list.m_vms;
    update_wave_progress(state, settings, wave, list, others);
    // Commands of the previous decider may still be carried out.
    if (now - wave.m_read > settings.m_late_command_time) {
        wave.m_commanded_before.clear();
    }
    auto unconfirmed = std::count_if(wave.m_request.m_vms.begin(), wave.m_request.m_vms.end(),
                                     [&](const vm_id& id) { return may_be_commanded(wave, reserved, id); });
    release_needed(state, wave, vms, now);
    evacuate_overcrowded_vms(state, wave, vms, now);
    cordon_next(state, settings, wave, vms, others, now);
    std::vector<vm_id> begin;
    for (const auto& [id, cordon] : wave.m_cordoned) {
        const auto own_place = may_be_commanded(wave, reserved, id) ? 1 : 0;
        const auto others_down = static_cast<std::int64_t>(wave.m_down.size()) + unconfirmed - own_place;
        if (wave.m_down.contains(id) || others_down >= wave.m_request.m_concurrency) {
            continue;
        }
        const auto* vm = find_vm(vms, id);
        const auto index = vm == nullptr ? no_worker : find_worker(state, vm->m_worker);
        if (!are_runs_known(state, index, now)) {
            continue;
        }
        const bool drained = index == no_worker || now - cordon.m_since > settings.m_drain_timeout ||
                             !has_short_runs(state, state.m_workers[static_cast<std::size_t>(index)]);
        if (vm == nullptr || !drained || reserved.contains(id)) {
            continue;
        }
        if (const auto blocking = blocking_task(state, vm->m_worker)) {
            evacuate(state, *blocking, index, now);
            continue;
        }
        wave.m_down.emplace(id, now);
        unconfirmed -= own_place;
        begin.push_back(id);
        set_runs_ending(state, vm->m_worker, true);
    }
    return begin;
}

auto withdraw_maintenance(scheduler_state& state, wave_progress_state& wave, const vm_id& vm, const worker_id& worker)
    -> void
{
    wave.m_down.erase(vm);
    wave.m_in_doubt.erase(vm);
    set_runs_ending(state, worker, false);
}

auto apply_maintenance_result(scheduler_state& state, wave_progress_state& wave, const vm_id& vm,
                              const worker_id& worker, const vm_command_result result, const time_point now) -> void
{
    switch (result) {
    case vm_command_result::accepted:
        wave.m_begun.insert(vm);
        wave.m_commanded_before.erase(vm);
        wave.m_in_doubt.erase(vm);
        wave.m_down[vm] = now;
        return;
    case vm_command_result::fenced:
        state.m_deposed = true;
        return;
    case vm_command_result::busy:
        if (wave.m_in_doubt.contains(vm)) {
            wave.m_busy.insert(vm);
        }
        withdraw_maintenance(state, wave, vm, worker);
        return;
    case vm_command_result::not_done:
        withdraw_maintenance(state, wave, vm, worker);
        return;
    case vm_command_result::not_in_wave:
    case vm_command_result::no_such_vm:
        withdraw_maintenance(state, wave, vm, worker);
        wave.m_cordoned.erase(vm);
        wave.m_excluded.insert(vm);
        wave.m_commanded_before.erase(vm);
        release_worker(state, worker);
        return;
    case vm_command_result::unknown:
        return;
    }
}

auto worker_presence_after(const vm_list& list, const vm_id& vm, const worker_id& worker, const time_point accepted)
    -> worker_presence
{
    if (list.m_requested < accepted || list.m_vms.empty()) {
        return worker_presence::unknown;
    }
    const auto* listed = find_vm(list.m_vms, vm);
    const bool up = listed != nullptr && listed->m_phase == vm_phase::up && listed->m_worker == worker;
    return up ? worker_presence::up : worker_presence::ended;
}

} // namespace cicadalug
