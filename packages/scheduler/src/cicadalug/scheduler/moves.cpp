#include <cicadalug/scheduler/moves.hpp>
#include <cicadalug/scheduler/needed_workers.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Assumed run time of a queue of which no task has ended yet. */
constexpr double default_run_time_ms{1'000.0};

/** @brief A VM that can be moved, with its current use. */
struct candidate {
    const vm_status* m_vm{nullptr};
    worker_index m_worker{no_worker};
    /** @brief The VM has no tasks; also true in standby. */
    bool m_idle{true};
    /** @brief Expected time until its tasks have ended; negative in standby, so that standby VMs are used first. */
    microseconds m_drain{0};
};

[[nodiscard]] auto has_long_running_task(const worker_slot& worker) -> bool
{
    return std::any_of(worker.m_runs.begin(), worker.m_runs.end(),
                       [](const placed_run& run) { return run.m_long_running; });
}

/** @brief Returns the cores of a pool's workers that accept work and of the VMs that are moving to it. */
[[nodiscard]] auto pool_cores(const scheduler_state& state, const move_state& moves, const service_id& pool,
                              const double cores_per_vm) -> double
{
    double cores{0.0};
    for (const auto& worker : state.m_workers) {
        if (worker.m_registered && worker.m_entry.m_service == pool && !worker.m_cordoned && !worker.m_unresponsive &&
            worker.m_entry.m_state == worker_state::ready) {
            cores += cores_of(worker.m_entry.m_capacity);
        }
    }
    for (const auto& [vm, move] : moves.m_moves) {
        cores += move.m_target == pool ? cores_per_vm : 0.0;
    }
    return cores;
}

/** @brief Removes moves that have ended, and abandons those that were not carried out in time. */
auto remove_ended_moves(scheduler_state& state, const move_settings& settings, move_state& moves,
                        const std::vector<vm_status>& vms, const time_point now) -> void
{
    for (auto move = moves.m_moves.begin(); move != moves.m_moves.end();) {
        const auto* vm = find_vm(vms, move->first);
        const bool arrived = vm != nullptr && vm->m_phase == vm_phase::up && vm->m_pool == move->second.m_target &&
                             find_worker(state, vm->m_worker) != no_worker;
        const bool abandoned = now - move->second.m_since > settings.m_move_timeout;
        if (abandoned && (vm == nullptr || vm->m_worker == move->second.m_worker)) {
            release_worker(state, move->second.m_worker);
        }
        move = arrived || abandoned ? moves.m_moves.erase(move) : std::next(move);
    }
}

/** @brief Abandons the moves that cannot be advanced without a list of VMs: those for which no command was sent, and
 * those that were not carried out in time. */
auto abandon_moves(scheduler_state& state, const move_settings& settings, move_state& moves, const time_point now)
    -> void
{
    std::erase_if(moves.m_moves, [&](const auto& entry) {
        const auto& move = entry.second;
        const bool may_be_carried_out = move.m_command_sent || move.m_unanswered;
        if (may_be_carried_out && now - move.m_since <= settings.m_move_timeout) {
            return false;
        }
        release_worker(state, move.m_worker);
        return true;
    });
}

/** @brief Returns the expected time until all runs of a worker have ended, by the run times of their queues. */
[[nodiscard]] auto drain_time(const scheduler_state& state, const worker_slot& worker, const time_point now)
    -> microseconds
{
    auto longest = microseconds{0};
    for (const auto& run : worker.m_runs) {
        const auto* job = find_job(state, run.m_task.m_job);
        const auto learned =
            job == nullptr ? state.m_run_times.end() : state.m_run_times.find(job->m_record.m_policy.m_queue);
        const auto usual_ms = learned == state.m_run_times.end()
                                  ? default_run_time_ms
                                  : learned->second.m_mean_ms + learned->second.m_deviation_ms;
        const auto remaining = milliseconds{std::lround(usual_ms)} - (now - run.m_sent);
        longest = std::max(longest, std::max(microseconds{1}, remaining));
    }
    return longest;
}

/** @brief Abandons moves whose workers are needed by waiting long-running tasks and for which no command was sent. */
auto abandon_needed(scheduler_state& state, move_state& moves, const time_point now) -> void
{
    std::map<worker_index, vm_id> releasable;
    std::set<worker_index> indices;
    for (const auto& [vm, move] : moves.m_moves) {
        const auto index = find_worker(state, move.m_worker);
        if (index != no_worker && !move.m_command_sent && !move.m_unanswered) {
            releasable.emplace(index, vm);
            indices.insert(index);
        }
    }
    for (const auto index : find_needed_workers(state, indices, now)) {
        if (const auto found = releasable.find(index); found != releasable.end()) {
            release_worker(state, moves.m_moves.at(found->second).m_worker);
            moves.m_moves.erase(found->second);
        }
    }
}

[[nodiscard]] auto collect_candidates(const scheduler_state& state, const move_state& moves,
                                      const std::vector<vm_status>& vms, const std::set<service_id>& standby,
                                      const std::set<vm_id>& reserved, const time_point now) -> std::vector<candidate>
{
    const auto needed = find_needed_workers(state, {}, now);
    std::vector<candidate> found;
    for (const auto& vm : vms) {
        if (vm.m_phase != vm_phase::up || moves.m_moves.contains(vm.m_vm) || reserved.contains(vm.m_vm)) {
            continue;
        }
        if (standby.contains(vm.m_pool)) {
            found.push_back({&vm, no_worker, true, microseconds{-1}});
            continue;
        }
        const auto index = find_worker(state, vm.m_worker);
        if (index == no_worker || needed.contains(index)) {
            continue;
        }
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        if (!worker.m_registered || !worker.m_has_reported || worker.m_cordoned || worker.m_unresponsive ||
            worker.m_entry.m_state != worker_state::ready || has_long_running_task(worker)) {
            continue;
        }
        found.push_back({&vm, index, worker.m_runs.empty(), drain_time(state, worker, now)});
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const candidate& left, const candidate& right) { return left.m_drain < right.m_drain; });
    return found;
}

/** @brief Returns the current number of workers of a pool that accept work. */
[[nodiscard]] auto pool_size(const scheduler_state& state, const service_id& pool, const time_point now) -> std::int64_t
{
    return std::count_if(state.m_current_workers.begin(), state.m_current_workers.end(), [&](const worker_index index) {
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        return worker.m_entry.m_service == pool && find_obstacle(worker, now) == worker_obstacle::none;
    });
}

auto begin_move(scheduler_state& state, move_state& moves, const candidate& chosen, const service_id& target,
                const time_point now) -> void
{
    auto& move = moves.m_moves[chosen.m_vm->m_vm];
    move = {target, now, false};
    moves.m_idle_since.erase(chosen.m_vm->m_vm);
    if (chosen.m_worker != no_worker) {
        state.m_workers[static_cast<std::size_t>(chosen.m_worker)].m_cordoned = true;
        move.m_worker = chosen.m_vm->m_worker;
    }
}

/** @brief Which capacity a pool gives to another one. */
enum class lending : std::uint8_t {
    /** @brief What it does not need. */
    surplus,
    /** @brief Also what it needs less than the other one. */
    less_needed,
    /** @brief All but what its long-running tasks need. */
    above_minimum,
};

/** @brief Available and required capacity of the pools while moves are planned, in cores. */
struct pool_balance {
    std::map<service_id, double> m_needed_cores;
    std::map<service_id, double> m_target_cores;
    std::map<service_id, double> m_available_cores;
    /** @brief A pool keeps at least this much as long as no other pool has a greater shortage. */
    std::map<service_id, double> m_retained_cores;
    /** @brief A pool keeps this much even if others need it more: each of its long-running tasks has a worker. */
    std::map<service_id, double> m_min_cores;
    double m_cores_per_vm{0.0};
};

[[nodiscard]] auto balance_pools(const scheduler_state& state, const demand_state& demand,
                                 const move_settings& settings, const move_state& moves,
                                 const std::vector<vm_status>& vms, const std::set<service_id>& standby,
                                 const time_point now) -> pool_balance
{
    pool_balance balance;
    for (const auto& vm : vms) {
        balance.m_cores_per_vm = std::max(balance.m_cores_per_vm, cores_of(vm.m_capacity));
    }
    const auto headroom = static_cast<double>(settings.m_headroom_percent) / 100.0;
    for (const auto& [service, entry] : demand.m_services) {
        if (standby.contains(service)) {
            continue;
        }
        const auto min_cores = static_cast<double>(entry.m_long_running_workers) * balance.m_cores_per_vm;
        balance.m_min_cores[service] = min_cores;
        balance.m_needed_cores[service] = std::max(min_cores, needed_cores(demand, service, now) * headroom);
        balance.m_target_cores[service] = std::max(min_cores, target_cores(demand, service, now) * headroom);
        balance.m_available_cores[service] = pool_cores(state, moves, service, balance.m_cores_per_vm);
        balance.m_retained_cores[service] = balance.m_target_cores[service];
        if (!can_lend(demand, service)) {
            balance.m_retained_cores[service] =
                std::max(balance.m_retained_cores[service],
                         entry.m_own_cores * static_cast<double>(settings.m_retained_percent) / 100.0);
        }
    }
    return balance;
}

/** @brief Checks whether a pool can give a VM to one that then has the given share of its requested capacity. */
[[nodiscard]] auto can_give(const pool_balance& balance, const move_settings& settings, const service_id& source,
                            const double share_of_target, const lending from) -> bool
{
    const auto available = balance.m_available_cores.find(source);
    if (available == balance.m_available_cores.end()) {
        return false;
    }
    const auto remaining = available->second - balance.m_cores_per_vm;
    if (remaining >= balance.m_retained_cores.at(source)) {
        return true;
    }
    if (from == lending::surplus || remaining < balance.m_min_cores.at(source)) {
        return false;
    }
    return from == lending::above_minimum ||
           remaining / std::max(1.0, balance.m_needed_cores.at(source)) > share_of_target + settings.m_advantage;
}

/**
 * @brief Moves VMs to the pools that lack capacity.
 * @param requested Cores requested by the pools; the pool with the smallest share of them is served first.
 * @param from Which VMs may be taken from other pools.
 */
auto fill_pools(scheduler_state& state, const move_settings& settings, move_state& moves, pool_balance& balance,
                const std::map<service_id, double>& requested, const lending from, std::vector<candidate>& candidates,
                const std::set<service_id>& standby, const time_point now) -> void
{
    auto& available = balance.m_available_cores;
    const auto cores_per_vm = balance.m_cores_per_vm;
    const auto ratio = [&](const service_id& service, const double change) {
        return (available[service] + change) / std::max(1.0, requested.at(service));
    };
    // Pools that lack capacity, without those that cannot get any.
    std::set<service_id> lacking;
    for (const auto& [service, cores] : requested) {
        if (available[service] < cores) {
            lacking.insert(service);
        }
    }
    while (!lacking.empty()) {
        const auto neediest =
            std::min_element(lacking.begin(), lacking.end(), [&ratio](const auto& left, const auto& right) {
                return ratio(left, 0.0) < ratio(right, 0.0);
            });
        const auto& target = *neediest;
        const auto chosen = std::find_if(candidates.begin(), candidates.end(), [&](const candidate& possible) {
            if (possible.m_vm == nullptr || possible.m_vm->m_pool == target) {
                return false;
            }
            const auto& source = possible.m_vm->m_pool;
            return standby.contains(source) ||
                   (can_give(balance, settings, source, ratio(target, cores_per_vm), from) &&
                    pool_size(state, source, now) > settings.m_min_pool_size);
        });
        if (chosen == candidates.end()) {
            lacking.erase(neediest);
            continue;
        }
        const auto source = chosen->m_vm->m_pool;
        begin_move(state, moves, *chosen, target, now);
        available[target] += cores_per_vm;
        if (!standby.contains(source)) {
            available[source] -= cores_per_vm;
            if (requested.contains(source) && available[source] < requested.at(source)) {
                lacking.insert(source);
            }
        }
        chosen->m_vm = nullptr;
        if (available[target] >= requested.at(target)) {
            lacking.erase(neediest);
        }
    }
}

/** @brief Moves VMs to standby that no pool needs now or for a surge expected soon. */
auto return_idle_vms(scheduler_state& state, const demand_state& demand, const move_settings& settings,
                     move_state& moves, pool_balance& balance, const std::vector<candidate>& candidates,
                     const std::set<service_id>& standby, const time_point now) -> void
{
    if (standby.empty()) {
        return;
    }
    for (const auto& chosen : candidates) {
        if (chosen.m_vm == nullptr || !chosen.m_idle || chosen.m_worker == no_worker) {
            continue;
        }
        const auto& pool = chosen.m_vm->m_pool;
        const auto available = balance.m_available_cores.find(pool);
        // The rate of a surge fluctuates; capacity that is idle for a moment is needed again.
        if (available == balance.m_available_cores.end() || demand.m_services.at(pool).m_surging) {
            moves.m_idle_since.erase(chosen.m_vm->m_vm);
            continue;
        }
        const auto own = demand.m_services.at(pool).m_own_cores;
        const auto floor = std::max(balance.m_retained_cores.at(pool),
                                    own * static_cast<double>(settings.m_standby_floor_percent) / 100.0);
        const auto idle = moves.m_idle_since.try_emplace(chosen.m_vm->m_vm, now).first;
        if (available->second - balance.m_cores_per_vm >= floor &&
            now - idle->second > settings.m_idle_before_standby &&
            pool_size(state, pool, now) > settings.m_min_pool_size) {
            available->second -= balance.m_cores_per_vm;
            begin_move(state, moves, chosen, *standby.begin(), now);
        }
    }
    std::erase_if(moves.m_idle_since, [&candidates](const auto& idle) {
        return std::none_of(candidates.begin(), candidates.end(), [&idle](const candidate& still) {
            return still.m_vm != nullptr && still.m_idle && still.m_vm->m_vm == idle.first;
        });
    });
}

} // namespace

auto plan_moves(scheduler_state& state, const demand_state& demand, const move_settings& settings, move_state& moves,
                const vm_list& list, const std::set<service_id>& standby, const std::set<vm_id>& reserved,
                const time_point now) -> std::vector<move_command>
{
    if (!is_current(list, now)) {
        abandon_moves(state, settings, moves, now);
        return {};
    }
    const auto& vms = list.m_vms;
    remove_ended_moves(state, settings, moves, vms, now);
    abandon_needed(state, moves, now);
    auto candidates = collect_candidates(state, moves, vms, standby, reserved, now);
    auto balance = balance_pools(state, demand, settings, moves, vms, standby, now);
    // Long-running tasks go before other work, and present work before expected work.
    fill_pools(state, settings, moves, balance, balance.m_min_cores, lending::above_minimum, candidates, standby, now);
    fill_pools(state, settings, moves, balance, balance.m_needed_cores, lending::less_needed, candidates, standby, now);
    fill_pools(state, settings, moves, balance, balance.m_target_cores, lending::surplus, candidates, standby, now);
    return_idle_vms(state, demand, settings, moves, balance, candidates, standby, now);
    std::vector<move_command> commands;
    for (const auto& vm : vms) {
        const auto move = moves.m_moves.find(vm.m_vm);
        if (move == moves.m_moves.end() || move->second.m_command_sent) {
            continue;
        }
        // The command was carried out, though its response was lost: a repeated command would be accepted for the
        // worker that runs there now.
        if (vm.m_phase != vm_phase::up || vm.m_pool == move->second.m_target) {
            continue;
        }
        const auto index = find_worker(state, vm.m_worker);
        if (index != no_worker && !standby.contains(vm.m_pool)) {
            auto& worker = state.m_workers[static_cast<std::size_t>(index)];
            // Ended runs that are not stored yet would be lost with the worker.
            if (!worker.m_runs.empty() || worker.m_acknowledged_end < worker.m_last_end) {
                if (now - move->second.m_since > settings.m_drain_timeout) {
                    worker.m_cordoned = false;
                    state.m_dispatch_requested = true;
                    moves.m_moves.erase(move);
                }
                continue;
            }
        }
        move->second.m_command_sent = true;
        commands.push_back({vm.m_vm, vm.m_worker, move->second.m_target});
    }
    return commands;
}

auto apply_move_result(scheduler_state& state, move_state& moves, const move_command& command,
                       const vm_command_result result, const time_point now) -> void
{
    if (result == vm_command_result::accepted) {
        const auto index = find_worker(state, command.m_worker);
        if (index != no_worker) {
            end_runs_of_worker(state, index, now);
        }
        return;
    }
    if (result != vm_command_result::unknown) {
        moves.m_moves.erase(command.m_vm);
        release_worker(state, command.m_worker);
        return;
    }
    // Repeating the same command has no effect if it was carried out.
    if (const auto move = moves.m_moves.find(command.m_vm); move != moves.m_moves.end()) {
        move->second.m_command_sent = false;
        move->second.m_unanswered = true;
    }
}

} // namespace cicadalug
