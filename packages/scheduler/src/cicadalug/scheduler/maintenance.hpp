#ifndef CICADALUG_SCHEDULER_MAINTENANCE_HPP
#define CICADALUG_SCHEDULER_MAINTENANCE_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cicadalug {

/** @brief What a VM of a pool is doing, as the platform lists it. */
enum class vm_phase : std::uint8_t { up, moving, in_maintenance, down };

/** @brief Entry of a VM in the platform's list. */
struct vm_status {
    vm_id m_vm;
    service_id m_pool;
    vm_phase m_phase{vm_phase::down};
    availability_zone_id m_zone;
    /** @brief Worker that lives on the VM; empty while there is none. */
    worker_id m_worker;
    resources m_capacity;
};

/** @brief Finds a VM in the platform's list. @return The VM, or null. */
[[nodiscard]] auto find_vm(const std::vector<vm_status>& vms, const vm_id& id) -> const vm_status*;

/** @brief Result of an order for a VM. */
enum class vm_command_result : std::uint8_t {
    /** @brief Done, or done before. */
    accepted,
    fenced,
    not_done,
    not_in_wave,
    no_such_vm,
    /** @brief No answer: the order may have been carried out, or may be later. */
    unknown,
};

/** @brief The operator's order to maintain a set of VMs. */
struct wave_request {
    std::int64_t m_wave{0};
    std::vector<vm_id> m_vms;
    milliseconds m_duration{0};
    /** @brief Greatest number of the wave's VMs that may be down for it at the same time. */
    std::int64_t m_concurrency{1};
};

/** @brief Progress of a wave. */
struct wave_progress_state {
    wave_request m_request;
    time_point m_began{};
    /** @brief VMs whose upkeep has been accepted, or that are gone. */
    std::set<vm_id> m_begun;
    /** @brief VMs that are down for their upkeep, with the time of the order. */
    std::map<vm_id, time_point> m_down;
    /** @brief VMs that get no new work until their runs have ended, with the time at which that began. */
    std::map<vm_id, time_point> m_cordoned;
};

/** @brief Settings of the upkeep. */
struct maintenance_settings {
    /** @brief Time that an upkeep takes, from the platform's settings. */
    milliseconds m_maintenance_time{2'000};
    /** @brief A cordoned VM is taken after this time even if short tasks still run on it. */
    milliseconds m_longest_drain{3'000};
    /** @brief The wave aims to be finished in this many percent of its time, to have a reserve for faults. */
    std::int64_t m_aim_percent{75};
};

/**
 * @brief Notes that an order is about to end the runs of a worker, or that it was refused. Their tasks count as away
 * from then on, so that no second order takes more of the same step.
 */
auto set_runs_ending(scheduler_state& state, const worker_id& worker, bool ending) -> void;

/**
 * @brief Finds a task on a worker whose step cannot spare it: more of the step's tasks than its disruption budget would
 * be away if the worker ended.
 * @param state The scheduler.
 * @param worker The worker.
 * @return One such task, or nothing if the worker may end.
 */
[[nodiscard]] auto blocking_task(const scheduler_state& state, const worker_id& worker) -> std::optional<task_ref>;

/**
 * @brief Decides which VMs of a wave are cordoned and which are taken down now.
 *
 * Load pattern: the queues surge in turns. VMs of pools that are idle at the moment go first, so that the wave takes
 * little of what a surging queue needs; near the end of the wave's time the order no longer matters.
 * @param state The scheduler; workers of chosen VMs are cordoned in it.
 * @param settings Settings.
 * @param wave The wave.
 * @param vms The platform's list.
 * @param reserved VMs that may not be ordered now.
 * @param now Current time.
 * @return VMs whose upkeep is to begin now. They count as down from now on.
 */
[[nodiscard]] auto plan_maintenance(scheduler_state& state, const maintenance_settings& settings,
                                    wave_progress_state& wave, const std::vector<vm_status>& vms,
                                    const std::set<vm_id>& reserved, time_point now) -> std::vector<vm_id>;

/**
 * @brief Checks whether a worker still lives on its VM, by a list that was read after an order for the VM.
 * @return True if the VM is up with the same worker: the order had been carried out before, and nothing has ended.
 */
[[nodiscard]] auto is_still_up(const std::vector<vm_status>& vms, const vm_id& vm, const worker_id& worker) -> bool;

/** @brief Checks whether each VM of a wave that is still there has begun its upkeep and is back. */
[[nodiscard]] auto is_wave_completed(const wave_progress_state& wave) -> bool;

} // namespace cicadalug

#endif
