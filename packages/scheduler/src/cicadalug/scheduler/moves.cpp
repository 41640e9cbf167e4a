#include <cicadalug/scheduler/moves.hpp>
#include <cicadalug/scheduler/reports.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Run time of a queue of which no task has ended yet. */
constexpr double run_time_unknown_ms{1'000.0};

/** @brief A VM that could move, with how much it is in use. */
struct candidate {
    const vm_status* m_vm{nullptr};
    worker_index m_worker{no_worker};
    /** @brief No tasks; also true in standby. */
    bool m_idle{true};
    /** @brief Time until its tasks have probably ended; negative in standby, which is used first. */
    microseconds m_drain{0};
};

[[nodiscard]] auto runs_lasting_task(const worker_slot& worker) -> bool
{
    return std::any_of(worker.m_runs.begin(), worker.m_runs.end(),
                       [](const placed_run& run) { return run.m_long_running; });
}

/** @brief Processors of a pool's workers that take work, and of the VMs that are on their way to it. */
[[nodiscard]] auto pool_cores(const scheduler_state& state, const move_state& moves, const service_id& pool,
                              const double cores_of_vm) -> double
{
    double cores{0.0};
    for (const auto& worker : state.m_workers) {
        if (worker.m_registered && worker.m_entry.m_service == pool && !worker.m_cordoned && !worker.m_unresponsive &&
            worker.m_entry.m_state == worker_state::ready) {
            cores += cores_of(worker.m_entry.m_capacity);
        }
    }
    for (const auto& [vm, move] : moves.m_moves) {
        cores += move.m_target == pool ? cores_of_vm : 0.0;
    }
    return cores;
}

/** @brief Forgets moves that have ended, and those that were not carried out in time. */
auto note_ended_moves(scheduler_state& state, const move_settings& settings, move_state& moves,
                      const std::vector<vm_status>& vms, const time_point now) -> void
{
    for (auto move = moves.m_moves.begin(); move != moves.m_moves.end();) {
        const auto* vm = find_vm(vms, move->first);
        const bool there = vm != nullptr && vm->m_phase == vm_phase::up && vm->m_pool == move->second.m_target &&
                           find_worker(state, vm->m_worker) != no_worker;
        const bool given_up = vm == nullptr || now - move->second.m_since > settings.m_longest_move;
        if (given_up && !there && vm != nullptr && vm->m_phase == vm_phase::up) {
            release_worker(state, vm->m_worker);
        }
        move = there || given_up ? moves.m_moves.erase(move) : std::next(move);
    }
}

/** @brief Time until all runs of a worker have probably ended, by the run times of their queues. */
[[nodiscard]] auto drain_time(const scheduler_state& state, const worker_slot& worker, const time_point now)
    -> microseconds
{
    auto longest = microseconds{0};
    for (const auto& run : worker.m_runs) {
        const auto* job = find_job(state, run.m_task.m_job);
        const auto learned =
            job == nullptr ? state.m_run_times.end() : state.m_run_times.find(job->m_record.m_policy.m_queue);
        const auto usual_ms = learned == state.m_run_times.end()
                                  ? run_time_unknown_ms
                                  : learned->second.m_mean_ms + learned->second.m_deviation_ms;
        const auto left = milliseconds{std::lround(usual_ms)} - (now - run.m_sent);
        longest = std::max(longest, std::max(microseconds{1}, left));
    }
    return longest;
}

[[nodiscard]] auto collect_candidates(const scheduler_state& state, const move_state& moves,
                                      const std::vector<vm_status>& vms, const std::set<service_id>& standby,
                                      const std::set<vm_id>& reserved, const time_point now) -> std::vector<candidate>
{
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
        if (index == no_worker) {
            continue;
        }
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        if (!worker.m_registered || !worker.m_has_reported || worker.m_cordoned || worker.m_unresponsive ||
            worker.m_entry.m_state != worker_state::ready || runs_lasting_task(worker)) {
            continue;
        }
        found.push_back({&vm, index, worker.m_runs.empty(), drain_time(state, worker, now)});
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const candidate& left, const candidate& right) { return left.m_drain < right.m_drain; });
    return found;
}

/** @brief Workers that a pool has at the moment. */
[[nodiscard]] auto pool_size(const scheduler_state& state, const service_id& pool) -> std::int64_t
{
    return std::count_if(state.m_workers.begin(), state.m_workers.end(), [&pool](const worker_slot& worker) {
        return worker.m_registered && worker.m_entry.m_service == pool && !worker.m_cordoned;
    });
}

auto begin_move(scheduler_state& state, move_state& moves, const candidate& chosen, const service_id& target,
                const time_point now) -> void
{
    moves.m_moves[chosen.m_vm->m_vm] = {target, now, false};
    moves.m_idle_since.erase(chosen.m_vm->m_vm);
    if (chosen.m_worker != no_worker) {
        state.m_workers[static_cast<std::size_t>(chosen.m_worker)].m_cordoned = true;
    }
}

/** @brief What the pools have and want while moves are planned, in cores. */
struct pool_balance {
    std::map<service_id, double> m_needed;
    std::map<service_id, double> m_wanted;
    std::map<service_id, double> m_there;
    /** @brief A pool does not go below this as long as no other pool is in greater need. */
    std::map<service_id, double> m_kept;
    double m_cores_of_vm{0.0};
};

[[nodiscard]] auto balance_pools(const scheduler_state& state, const demand_state& demand,
                                 const move_settings& settings, const move_state& moves,
                                 const std::vector<vm_status>& vms, const std::set<service_id>& standby,
                                 const time_point now) -> pool_balance
{
    pool_balance balance;
    for (const auto& vm : vms) {
        balance.m_cores_of_vm = std::max(balance.m_cores_of_vm, cores_of(vm.m_capacity));
    }
    const auto headroom = static_cast<double>(settings.m_headroom_percent) / 100.0;
    for (const auto& [service, known] : demand.m_services) {
        if (standby.contains(service)) {
            continue;
        }
        balance.m_needed[service] = needed_cores(demand, service, now) * headroom;
        balance.m_wanted[service] = target_cores(demand, service, now) * headroom;
        balance.m_there[service] = pool_cores(state, moves, service, balance.m_cores_of_vm);
        balance.m_kept[service] = balance.m_wanted[service];
        if (!may_lend(demand, service)) {
            balance.m_kept[service] = std::max(
                balance.m_kept[service], known.m_own_cores * static_cast<double>(settings.m_kept_percent) / 100.0);
        }
    }
    return balance;
}

/** @brief Checks whether a pool may give a VM to one that then has the given share of what it wants. */
[[nodiscard]] auto may_give(const pool_balance& balance, const move_settings& settings, const service_id& source,
                            const double share_of_target, const bool from_busy) -> bool
{
    const auto there = balance.m_there.find(source);
    if (there == balance.m_there.end()) {
        return false;
    }
    const auto left = there->second - balance.m_cores_of_vm;
    return left >= balance.m_kept.at(source) ||
           (from_busy && left / std::max(1.0, balance.m_needed.at(source)) > share_of_target + settings.m_advantage);
}

/**
 * @brief Sends VMs to the pools that lack processors.
 * @param wanted What the pools ask for; the one with the smallest share of it comes first.
 * @param from_busy Whether VMs may be taken from a pool that could use them, but less.
 */
auto fill_pools(scheduler_state& state, const move_settings& settings, move_state& moves, pool_balance& balance,
                const std::map<service_id, double>& wanted, const bool from_busy, std::vector<candidate>& candidates,
                const std::set<service_id>& standby, const time_point now) -> void
{
    auto& there = balance.m_there;
    const auto cores_of_vm = balance.m_cores_of_vm;
    const auto ratio = [&](const service_id& service, const double change) {
        return (there[service] + change) / std::max(1.0, wanted.at(service));
    };
    for (bool moved = true; moved;) {
        moved = false;
        const auto neediest =
            std::min_element(wanted.begin(), wanted.end(), [&ratio](const auto& left, const auto& right) {
                return ratio(left.first, 0.0) < ratio(right.first, 0.0);
            });
        if (neediest == wanted.end() || there[neediest->first] >= neediest->second) {
            return;
        }
        const auto& target = neediest->first;
        for (auto& chosen : candidates) {
            if (chosen.m_vm == nullptr || chosen.m_vm->m_pool == target) {
                continue;
            }
            const auto& source = chosen.m_vm->m_pool;
            const bool spare = standby.contains(source) ||
                               (may_give(balance, settings, source, ratio(target, cores_of_vm), from_busy) &&
                                pool_size(state, source) > settings.m_pool_minimum);
            if (spare) {
                begin_move(state, moves, chosen, target, now);
                there[target] += cores_of_vm;
                if (!standby.contains(source)) {
                    there[source] -= cores_of_vm;
                }

                chosen.m_vm = nullptr;
                moved = true;
                break;
            }
        }
    }
}

/** @brief Sends VMs to standby that nobody needs and that no surge is expected to need soon. */
auto return_idle(scheduler_state& state, const demand_state& demand, const move_settings& settings, move_state& moves,
                 pool_balance& balance, const std::vector<candidate>& candidates, const std::set<service_id>& standby,
                 const time_point now) -> void
{
    if (standby.empty()) {
        return;
    }
    for (const auto& chosen : candidates) {
        if (chosen.m_vm == nullptr || !chosen.m_idle || chosen.m_worker == no_worker) {
            continue;
        }
        const auto& pool = chosen.m_vm->m_pool;
        const auto there = balance.m_there.find(pool);
        // The rate of a surge goes up and down; what it leaves idle for a moment it needs again.
        if (there == balance.m_there.end() || demand.m_services.at(pool).m_surging) {
            moves.m_idle_since.erase(chosen.m_vm->m_vm);
            continue;
        }
        const auto own = demand.m_services.at(pool).m_own_cores;
        const auto floor =
            std::max(balance.m_kept.at(pool), own * static_cast<double>(settings.m_standby_floor_percent) / 100.0);
        const auto idle = moves.m_idle_since.try_emplace(chosen.m_vm->m_vm, now).first;
        if (there->second - balance.m_cores_of_vm >= floor && now - idle->second > settings.m_idle_before_standby &&
            pool_size(state, pool) > settings.m_pool_minimum) {
            there->second -= balance.m_cores_of_vm;
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
                const std::vector<vm_status>& vms, const std::set<service_id>& standby, const std::set<vm_id>& reserved,
                const time_point now) -> std::vector<move_command>
{
    note_ended_moves(state, settings, moves, vms, now);
    auto candidates = collect_candidates(state, moves, vms, standby, reserved, now);
    auto balance = balance_pools(state, demand, settings, moves, vms, standby, now);
    // Work that is there comes before work that is only expected.
    fill_pools(state, settings, moves, balance, balance.m_needed, true, candidates, standby, now);
    fill_pools(state, settings, moves, balance, balance.m_wanted, false, candidates, standby, now);
    return_idle(state, demand, settings, moves, balance, candidates, standby, now);
    std::vector<move_command> orders;
    for (const auto& vm : vms) {
        const auto move = moves.m_moves.find(vm.m_vm);
        if (move == moves.m_moves.end() || move->second.m_ordered) {
            continue;
        }
        // An order without an answer was carried out: another one would be accepted for the worker that lives there
        // now.
        if (vm.m_phase != vm_phase::up || vm.m_pool == move->second.m_target) {
            continue;
        }
        const auto index = find_worker(state, vm.m_worker);
        if (index != no_worker && !standby.contains(vm.m_pool)) {
            auto& worker = state.m_workers[static_cast<std::size_t>(index)];
            // Ends that are not stored yet would be lost with the worker.
            if (!worker.m_runs.empty() || worker.m_acknowledged_end < worker.m_last_end) {
                if (now - move->second.m_since > settings.m_longest_drain) {
                    worker.m_cordoned = false;
                    state.m_dispatch_requested = true;
                    moves.m_moves.erase(move);
                }
                continue;
            }
        }
        move->second.m_ordered = true;
        orders.push_back({vm.m_vm, vm.m_worker, move->second.m_target});
    }
    return orders;
}

auto apply_move_result(scheduler_state& state, move_state& moves, const move_command& order,
                       const vm_command_result result, const time_point now) -> void
{
    if (result == vm_command_result::accepted) {
        const auto index = find_worker(state, order.m_worker);
        if (index != no_worker) {
            end_runs_of_worker(state, index, now);
        }
        return;
    }
    if (result != vm_command_result::unknown) {
        moves.m_moves.erase(order.m_vm);
        release_worker(state, order.m_worker);
        return;
    }
    // The same order again does nothing if it was carried out.
    if (const auto move = moves.m_moves.find(order.m_vm); move != moves.m_moves.end()) {
        move->second.m_ordered = false;
    }
}

} // namespace cicadalug
