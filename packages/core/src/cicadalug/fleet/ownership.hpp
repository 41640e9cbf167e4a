#ifndef CICADALUG_FLEET_OWNERSHIP_HPP
#define CICADALUG_FLEET_OWNERSHIP_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/fleet/vm_record.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Purpose of an operation. */
enum class operation_kind : std::uint8_t { move, wave, drain };

/**
 * @brief Creates the id of an operation.
 * @param kind Purpose of the operation.
 * @param name Name of the wave, or id of the VM that is moved or drained.
 */
[[nodiscard]] auto make_operation_id(operation_kind kind, const std::string& name) -> operation_id;

/** @brief Returns the kind of an operation from its id; drain if the id has no known prefix. */
[[nodiscard]] auto kind_of(const operation_id& operation) noexcept -> operation_kind;

/** @brief Confirmation by an entry VM that it sends no requests to a VM and has none in flight there. */
struct drain_confirmation {
    entry_vm_id m_entry_vm;
    incarnation m_incarnation;
    vm_id m_vm;
    /** @brief `m_announcement` of the VM record on which the entry VM acted. */
    version m_announcement;
};

/** @brief Presence of one entry VM of the zone, which decides whether its drain confirmation is required. */
struct entry_vm_presence {
    entry_vm_id m_entry_vm;
    /** @brief Highest incarnation that was received. */
    incarnation m_incarnation;
    /** @brief True only if the platform's list no longer contains the entry VM; a timeout never sets it. */
    bool m_is_removed{false};
};

/**
 * @brief Drain confirmations received by a control holder. Entry VMs repeat them, so a new holder receives them too.
 */
struct drain_confirmations {
    std::map<vm_id, std::map<entry_vm_id, drain_confirmation>> m_by_vm;
};

/**
 * @brief Records a confirmation. Repeated, reordered and delayed confirmations have no further effect.
 * @param confirmations Confirmations to update.
 * @param confirmation The received confirmation.
 */
auto receive_confirmation(drain_confirmations& confirmations, const drain_confirmation& confirmation) -> void;

/**
 * @brief Returns whether no entry VM of the zone can have work in flight on an announced VM.
 * @param record Record of the VM.
 * @param entry_vms All entry VMs of the zone, including the control holder.
 * @param confirmations Confirmations received so far.
 * @return True if each entry VM that is not removed has confirmed this announcement in its current incarnation. False
 * if no confirmation for the VM was received, so that a zone without entry VMs does not count as drained.
 */
[[nodiscard]] auto is_drained(const vm_record& record, const std::vector<entry_vm_presence>& entry_vms,
                              const drain_confirmations& confirmations) -> bool;

/** @brief State of a VM that the control holder knows in addition to its record. */
struct vm_facts {
    /** @brief True if the VM is on the platform's list. */
    bool m_listed{true};
    /** @brief Boot id on the platform's list. */
    std::uint64_t m_boot{0};
    /** @brief True if the upstream responds to probes. */
    bool m_healthy{true};
    /** @brief True if all required drain confirmations were received. */
    bool m_drained{false};
    /** @brief Time for which the holder has seen the VM in its current phase, as returned by time_in_phase(). */
    milliseconds m_time_in_phase{0};
    /** @brief True if the operator or the planner has withdrawn the operation. */
    bool m_withdrawn{false};
    /** @brief True if an operator takes over a VM that was set aside, by assigning it a drain. */
    bool m_reclaimed{false};
};

/** @brief Time limits of an operation; zero means no limit. */
struct operation_limits {
    milliseconds m_drain_timeout{0};
    milliseconds m_reboot_timeout{0};
};

/**
 * @brief Announces an operation on a VM.
 * @param record Record of the VM, in phase serving.
 * @param operation The operation, whose charges are contained in the ledgers of all services of the pool.
 * @param target_pool Pool to move to; empty for a wave or a drain.
 * @param shard_version Version of the shard that is replaced by the write of the record.
 * @param boot Boot id on the platform's list.
 * @return The record to write.
 */
[[nodiscard]] auto announce(const vm_record& record, const operation_id& operation, const pool_id& target_pool,
                            version shard_version, std::uint64_t boot) -> vm_record;

/**
 * @brief Computes the next step of the operation that holds a VM. The step depends only on the arguments, so any holder
 * can take it.
 * @param record Record of the VM.
 * @param facts State of the VM as known to the holder.
 * @param limits Time limits of the operation.
 * @return The record to write, or nothing if the operation has to wait.
 */
[[nodiscard]] auto advance_operation(const vm_record& record, const vm_facts& facts, const operation_limits& limits)
    -> std::optional<vm_record>;

/** @brief Times since which a holder has seen each VM in its current phase. A new holder starts from zero. */
struct phase_timers {
    struct entry {
        version m_announcement;
        /** @brief Rebooting and returning share the reboot timeout, so they count as one phase. */
        vm_phase m_phase{vm_phase::serving};
        time_point m_since;
    };
    std::map<vm_id, entry> m_entries;
};

/**
 * @brief Returns the time that a VM has spent in its current phase, as seen by this holder.
 * @param timers Timers to update.
 * @param record Record of the VM.
 * @param now Current time.
 */
auto time_in_phase(phase_timers& timers, const vm_record& record, time_point now) -> milliseconds;

} // namespace cicadalug

#endif
