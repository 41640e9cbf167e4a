#ifndef CICADALUG_SCHEDULER_MAINTENANCE_HPP
#define CICADALUG_SCHEDULER_MAINTENANCE_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/vm_list.hpp>
#include <cicadalug/scheduler/wave_progress.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cicadalug {

/** @brief Result of a command for a VM. */
enum class vm_command_result : std::uint8_t {
    /** @brief Carried out now or before. */
    accepted,
    fenced,
    not_done,
    /** @brief Rejected, as the VM is not up. */
    busy,
    not_in_wave,
    no_such_vm,
    /** @brief No response: the command may have been carried out, or may still be. */
    unknown,
};

/** @brief Settings of maintenance. */
struct maintenance_settings {
    /** @brief Duration of the maintenance of a VM, from the platform's settings. */
    milliseconds m_maintenance_time{2'000};
    /** @brief A cordoned VM is taken down after this time even if short tasks still run on it. */
    milliseconds m_drain_timeout{3'000};
    /** @brief A VM that is missing in all lists for this time has been removed. A list has several pages, and one may
     * lack a VM while VMs are added and removed. */
    milliseconds m_missing_timeout{3'000};
    /** @brief The platform carries out a command without a response up to this long after it was sent. */
    milliseconds m_late_command_time{12'000};
    /** @brief Target duration of a wave in percent of its allowed duration; the rest is a reserve for faults. */
    std::int64_t m_target_time_percent{75};
};

/**
 * @brief Marks the runs of a worker as about to be ended by a command for its VM, or unmarks them if the command was
 * rejected. The tasks of marked runs count as unavailable at once, so that no second command makes further tasks of the
 * same step unavailable.
 */
auto set_runs_ending(scheduler_state& state, const worker_id& worker, bool ending) -> void;

/**
 * @brief Finds a task on a worker that must not be interrupted: without the worker, more of its step's tasks would be
 * unavailable than the disruption budget allows.
 * @param state The scheduler.
 * @param worker The worker.
 * @return One such task, or nothing if the worker may be taken down.
 */
[[nodiscard]] auto blocking_task(const scheduler_state& state, const worker_id& worker) -> std::optional<task_ref>;

/**
 * @brief Decides which VMs of a wave are cordoned and which are taken down now.
 *
 * Load pattern: the queues surge one after another. VMs of currently idle pools go first, so that the wave takes little
 * capacity that a surging queue needs; near the end of the wave's duration the order no longer matters.
 * @param state The scheduler; workers of chosen VMs are cordoned in it.
 * @param settings Settings.
 * @param wave The wave.
 * @param vms The platform's list of VMs; if it is not current, VMs are released for which no command was sent.
 * @param reserved VMs for which no command may be sent now.
 * @param now Current time.
 * @param others VMs of which other waves dispose.
 * @return VMs whose maintenance begins now. They count as down from now on.
 */
[[nodiscard]] auto plan_maintenance(scheduler_state& state, const maintenance_settings& settings,
                                    wave_progress_state& wave, const vm_list& vms, const std::set<vm_id>& reserved,
                                    time_point now, const claimed_vms& others = {}) -> std::vector<vm_id>;

/**
 * @brief Reverts the decision to take a VM down, as the command for it has not been carried out. The VM stays cordoned,
 * and is taken down when plan_maintenance() decides so again by the then current state.
 */
auto withdraw_maintenance(scheduler_state& state, wave_progress_state& wave, const vm_id& vm, const worker_id& worker)
    -> void;

/**
 * @brief Applies the result of a maintenance command.
 *
 * A rejected command has no effect. If it may be accepted later, the VM stays cordoned; if the VM is not part of the
 * wave or does not exist, its worker accepts work again and the wave does not wait for it, until the operator changes
 * the request. Without a response the VM
 * counts as down, since the command may still be carried out.
 * @param state The scheduler.
 * @param wave The wave.
 * @param vm The VM.
 * @param worker The worker that ran on it when the command was planned.
 * @param result The result.
 * @param now When the response arrived.
 */
auto apply_maintenance_result(scheduler_state& state, wave_progress_state& wave, const vm_id& vm,
                              const worker_id& worker, vm_command_result result, time_point now) -> void;

/** @brief What a list of VMs shows about a worker after a command for its VM was accepted. */
enum class worker_presence : std::uint8_t {
    /** @brief The list may be older than the command. */
    unknown,
    /** @brief The worker still runs: the command had been carried out earlier, and no run has ended. */
    up,
    ended,
};

/**
 * @brief Determines whether a worker has ended with a command for its VM.
 * @param list The platform's list of VMs.
 * @param vm The VM.
 * @param worker The worker that ran on it before the command.
 * @param accepted When the response to the command arrived.
 */
[[nodiscard]] auto worker_presence_after(const vm_list& list, const vm_id& vm, const worker_id& worker,
                                         time_point accepted) -> worker_presence;

} // namespace cicadalug

#endif
