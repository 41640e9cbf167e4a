#ifndef CICADALUG_SCHEDULER_WAVE_PROGRESS_HPP
#define CICADALUG_SCHEDULER_WAVE_PROGRESS_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/ids.hpp>
#include <cicadalug/scheduler/vm_list.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cicadalug {

/** @brief The operator's request to maintain a set of VMs. */
struct wave_request {
    std::int64_t m_wave{0};
    std::vector<vm_id> m_vms;
    milliseconds m_duration{0};
    /** @brief Maximum number of the wave's VMs that may be down for maintenance at the same time. */
    std::int64_t m_concurrency{1};

    friend auto operator==(const wave_request&, const wave_request&) -> bool = default;
};

/**
 * @brief Progress of a wave.
 *
 * The platform's list shows that a VM is in maintenance, but not for which wave. Only the response to a command of this
 * wave tells that the VM's maintenance for it has begun.
 */
struct wave_progress_state {
    wave_request m_request;
    time_point m_began{};
    /** @brief An earlier decider may have sent commands for the wave. */
    bool m_recovered{false};
    /** @brief VMs whose maintenance for this wave has been accepted. */
    std::set<vm_id> m_begun;
    /** @brief VMs for which an earlier decider has sent a command of this wave, without a known response. Such a
     * command may be carried out late, until this decider has sent its own with a higher fencing token. */
    std::set<vm_id> m_commanded_before;
    /** @brief When this decider has read the stored progress of the wave. */
    time_point m_read{};
    /** @brief VMs that the platform has refused to maintain for this wave, until the operator changes the request. */
    std::set<vm_id> m_excluded;
    /** @brief VMs that are no longer present, by the last list. */
    std::set<vm_id> m_removed;
    /** @brief VMs that are or may be down for this wave, with the time of the command. */
    std::map<vm_id, time_point> m_down;
    /** @brief VMs in m_down because they are listed in maintenance, which an earlier decider may have begun for this
     * wave. If the maintenance of such a VM is not known to have begun, the command is sent again: it has no effect if
     * it was carried out, and is rejected if the VM is down for another reason. */
    std::set<vm_id> m_in_doubt;
    /** @brief VMs in maintenance that is not for this wave, as the response to a command tells. */
    std::set<vm_id> m_busy;
    /** @brief A VM whose worker gets no new work until its runs have ended. */
    struct cordon {
        time_point m_since{};
        /** @brief Worker that was cordoned; empty if there was none. */
        worker_id m_worker;
    };
    std::map<vm_id, cordon> m_cordoned;
    /** @brief VMs missing in the last list, and when the first list without them was requested. */
    std::map<vm_id, time_point> m_missing;
};

/** @brief VMs of which other waves dispose. */
struct claimed_vms {
    /** @brief VMs that are cordoned or down for another wave. */
    std::set<vm_id> m_claimed;
    /** @brief VMs whose maintenance for another wave was accepted, and which are not back yet. */
    std::set<vm_id> m_in_maintenance;
};

/** @brief Adds the VMs of which a wave disposes. */
auto add_claims(claimed_vms& claims, const wave_progress_state& wave) -> void;

/** @brief Replaces the request of a wave that the operator has changed. VMs that are no longer part of it are released
 * by the next plan_maintenance(). */
auto change_request(wave_progress_state& wave, wave_request request, time_point now) -> void;

/** @brief Returns when the first of the VMs that are down should be up, of those after a given time; nothing if there
 * is none. */
[[nodiscard]] auto next_maintenance_end(const wave_progress_state& wave, milliseconds maintenance_time,
                                        time_point after) -> std::optional<time_point>;

/** @brief Returns the VMs for which a command of the wave may be on its way; the next decider has to know them. */
[[nodiscard]] auto unanswered_vms(const wave_progress_state& wave) -> std::set<vm_id>;

/**
 * @brief Checks whether the command for a VM that is down has to be sent: its response is missing. The command for a VM
 * whose maintenance is in doubt is sent only while the VM is in maintenance, and not soon after one of another decider.
 * @param wave The wave.
 * @param vm A VM that is down.
 * @param vms The platform's list of VMs.
 * @param reserved VMs for which no command may be sent now.
 */
[[nodiscard]] auto is_command_due(const wave_progress_state& wave, const vm_id& vm, const vm_list& vms,
                                  const std::set<vm_id>& reserved) -> bool;

/** @brief Checks whether a VM is part of a wave. */
[[nodiscard]] auto is_requested(const wave_progress_state& wave, const vm_id& vm) -> bool;

/** @brief Checks whether the wave does not wait for a VM any more. */
[[nodiscard]] auto is_settled(const wave_progress_state& wave, const vm_id& vm) -> bool;

/** @brief Records that a VM for which a command was accepted is up: its maintenance had ended before the command. */
auto end_maintenance(wave_progress_state& wave, const vm_id& vm) -> void;

/** @brief Checks whether each VM of a wave that is still present has been maintained for it and is up again. */
[[nodiscard]] auto is_wave_completed(const wave_progress_state& wave) -> bool;

/** @brief Checks whether a completed wave has to continue, as a VM that is present has not been maintained for it: the
 * operator has changed the request, or the VM has returned. */
[[nodiscard]] auto has_open_vm(const wave_progress_state& wave, const vm_list& vms) -> bool;

} // namespace cicadalug

#endif
