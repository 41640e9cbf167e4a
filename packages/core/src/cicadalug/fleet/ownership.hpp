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

/** @brief What an operation is for. */
enum class operation_kind : std::uint8_t { move, wave, drain };

/**
 * @brief Makes the id of an operation.
 * @param kind What the operation is for.
 * @param name Name of the wave, or id of the VM that is moved or drained.
 */
[[nodiscard]] auto make_operation(operation_kind kind, const std::string& name) -> operation_id;

/** @brief Returns the kind of an operation from its id; a drain if the id has none. */
[[nodiscard]] auto kind_of(const operation_id& operation) noexcept -> operation_kind;

/** @brief An entry VM says that it sends nothing to a VM and that nothing of its own is in flight there. */
struct drain_confirmation {
    entry_vm_id m_entry_vm;
    incarnation m_incarnation;
    vm_id m_vm;
    /** @brief `m_announcement` of the record that the entry VM acted on. */
    version m_announcement;
};

/** @brief One entry VM of the zone, as far as confirmations go. */
struct entry_vm_presence {
    entry_vm_id m_entry_vm;
    /** @brief Highest incarnation that was heard. */
    incarnation m_incarnation;
    /** @brief True only if the platform's list says so; a timeout never makes an entry VM gone. */
    bool m_known_gone{false};
};

/** @brief Drain confirmations that a control holder has heard. They are repeated, so a new holder hears them too. */
struct drain_confirmations {
    std::map<vm_id, std::map<entry_vm_id, drain_confirmation>> m_by_vm;
};

/**
 * @brief Takes in a confirmation. Repeated, reordered and late ones have no further effect.
 * @param confirmations State to change.
 * @param confirmation The confirmation.
 */
auto receive_confirmation(drain_confirmations& confirmations, const drain_confirmation& confirmation) -> void;

/**
 * @brief Tells whether no entry VM of the zone can have work in flight on an announced VM.
 * @param record Record of the VM.
 * @param entry_vms All entry VMs of the zone, the control holder among them.
 * @param confirmations What was confirmed.
 * @return True if each entry VM that is not known gone has confirmed this announcement in its present incarnation;
 * false if there is no entry VM at all, since then nobody can know.
 */
[[nodiscard]] auto is_drained(const vm_record& record, const std::vector<entry_vm_presence>& entry_vms,
                              const drain_confirmations& confirmations) -> bool;

/** @brief What a control holder knows of a VM besides its record. */
struct vm_facts {
    /** @brief True if the VM is on the platform's list. */
    bool m_listed{true};
    /** @brief Boot on the platform's list. */
    std::uint64_t m_boot{0};
    /** @brief True if the upstream answers probes. */
    bool m_healthy{true};
    /** @brief All confirmations are there. */
    bool m_drained{false};
    /** @brief Time for which the holder has seen the VM in its present group of phases. */
    milliseconds m_in_phase{0};
    /** @brief The operator or the planner no longer wants the operation. */
    bool m_withdrawn{false};
    /** @brief An operator takes charge of a VM that was set aside. */
    bool m_reclaimed{false};
};

/** @brief Time limits of an operation. Zero: no limit. */
struct operation_limits {
    milliseconds m_drain_timeout{0};
    milliseconds m_reboot_timeout{0};
};

/**
 * @brief Announces an operation on a VM.
 * @param record Record of the VM, in phase serving.
 * @param operation The operation, whose charges are in the ledgers of all services of the pool.
 * @param target_pool Pool to move to; empty for a wave or a drain.
 * @param shard_version Version of the shard that the write of the record will replace.
 * @param boot Boot on the platform's list.
 * @return The record to write.
 */
[[nodiscard]] auto announce(const vm_record& record, const operation_id& operation, const pool_id& target_pool,
                            version shard_version, std::uint64_t boot) -> vm_record;

/**
 * @brief Takes the next step of the operation that holds a VM. It depends on nothing but the record and the facts, so
 * any holder can take it.
 * @param record Record of the VM.
 * @param facts What the holder knows.
 * @param limits Time limits of the operation.
 * @return The record to write, or nothing if the operation has to wait.
 */
[[nodiscard]] auto advance(const vm_record& record, const vm_facts& facts, const operation_limits& limits)
    -> std::optional<vm_record>;

/** @brief Since when a holder has seen each VM in its phase. A new holder starts to count again. */
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
 * @brief Returns the time that a VM has spent in its phase.
 * @param timers State to change.
 * @param record Record of the VM.
 * @param now Present time.
 */
auto time_in_phase(phase_timers& timers, const vm_record& record, time_point now) -> milliseconds;

} // namespace cicadalug

#endif
