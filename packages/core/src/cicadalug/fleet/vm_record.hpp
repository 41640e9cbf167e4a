#ifndef CICADALUG_FLEET_VM_RECORD_HPP
#define CICADALUG_FLEET_VM_RECORD_HPP

#include <cicadalug/base/ids.hpp>

#include <cstdint>
#include <string>

namespace cicadalug {

/** @brief Phase of a VM in an operation. */
enum class vm_phase : std::uint8_t {
    /** @brief Accepts work for its pool. */
    serving,
    /** @brief An operation was announced; entry VMs stop sending new work and confirm. */
    announced,
    /** @brief Accepts no work, at the request of an operator or until its tasks end. */
    draining,
    /** @brief Drained and confirmed; the reboot was requested. */
    rebooting,
    /** @brief Rebooted; probed before it accepts work. */
    returning,
    /** @brief Did not return from an operation; accepts no work until an operator acts. */
    set_aside,
};

/** @brief Outcome of an operation on a VM. */
enum class operation_outcome : std::uint8_t {
    /** @brief No operation has ended yet. */
    none,
    /** @brief The operation completed. */
    done,
    /** @brief Cancelled because requests or confirmations were outstanding at the drain timeout. */
    not_drained,
    /** @brief The VM did not boot or did not pass its probe within the reboot timeout. */
    not_returned,
    /** @brief The operator or the planner withdrew the operation before it disrupted the VM. */
    withdrawn,
    /** @brief The VM disappeared from the platform's list. */
    gone,
    /** @brief An operator's drain or an earlier failure held the VM until the rest of the wave had ended. */
    held,
};

/** @brief The only record of a VM in the key-value service, so that a VM belongs to exactly one pool. */
struct vm_record {
    vm_id m_vm;
    availability_zone_id m_availability_zone;
    rack_id m_rack;
    room_id m_room;
    /** @brief Address and port of the upstream on this VM, for example "127.0.0.1:9000". */
    std::string m_address;
    /** @brief Number of requests that the upstream runs concurrently. */
    int m_slots{8};
    /** @brief Number of connections that the upstream accepts. */
    int m_connections{64};
    pool_id m_pool;
    vm_phase m_phase{vm_phase::serving};
    /** @brief Target pool of a move; empty if the VM is not moved. */
    pool_id m_target_pool;
    /** @brief Operation that holds the VM; empty in phase serving. */
    operation_id m_operation;
    /** @brief Number of times the VM changed pools. */
    std::uint64_t m_generation{0};
    /**
     * @brief Version of the shard immediately before the announcement. It identifies the announcement among all
     * operations on the VM, so that a delayed drain confirmation of an earlier operation does not count.
     */
    version m_announcement;
    /** @brief Boot id that the platform listed at the announcement; a later boot means that the VM restarted. */
    std::uint64_t m_boot{0};
    /** @brief Operation that ended last; written together with its end, so that a crash cannot lose it. */
    operation_id m_last_operation;
    operation_outcome m_last_outcome{operation_outcome::none};

    [[nodiscard]] friend auto operator==(const vm_record&, const vm_record&) -> bool = default;
};

/**
 * @brief Returns whether entry VMs are allowed to send new work to a VM.
 * @param record Record of the VM.
 * @return True in phase serving, false otherwise.
 */
[[nodiscard]] inline auto accepts_new_work(const vm_record& record) noexcept -> bool
{
    return record.m_phase == vm_phase::serving;
}

} // namespace cicadalug

#endif
