#ifndef CICADALUG_FLEET_VM_RECORD_HPP
#define CICADALUG_FLEET_VM_RECORD_HPP

#include <cicadalug/base/ids.hpp>

#include <cstdint>
#include <string>

namespace cicadalug {

/** @brief Where a VM stands in an operation. */
enum class vm_phase : std::uint8_t {
    /** @brief Takes work for its pool. */
    serving,
    /** @brief An operation was announced; entry VMs stop new work and confirm. */
    announced,
    /** @brief Takes no work, by wish of an operator or until its tasks end. */
    draining,
    /** @brief Drained and confirmed; the reboot was asked for. */
    rebooting,
    /** @brief Booted again; probed before it takes work. */
    returning,
    /** @brief Did not come back from an operation; takes no work until an operator acts. */
    set_aside,
};

/** @brief How an operation on a VM ended. */
enum class operation_outcome : std::uint8_t {
    /** @brief No operation has ended yet. */
    none,
    /** @brief The operation did what it was for. */
    done,
    /** @brief Cancelled because requests or confirmations were outstanding at the drain timeout. */
    not_drained,
    /** @brief The VM did not boot or did not pass its probe within the reboot timeout. */
    not_returned,
    /** @brief The operator or the planner withdrew the operation before it disrupted the VM. */
    withdrawn,
    /** @brief The VM disappeared from the platform's list. */
    gone,
    /** @brief An operator's drain or an earlier failure kept the VM until the rest of the wave had ended. */
    held,
};

/** @brief The one entry of a VM in the key-value service. Having one entry, a VM has one pool. */
struct vm_record {
    vm_id m_vm;
    availability_zone_id m_availability_zone;
    rack_id m_rack;
    room_id m_room;
    /** @brief Address and port of the upstream on this VM, for example "127.0.0.1:9000". */
    std::string m_address;
    /** @brief Requests that the upstream runs at a time. */
    int m_slots{8};
    /** @brief Connections that the upstream accepts. */
    int m_connections{64};
    pool_id m_pool;
    vm_phase m_phase{vm_phase::serving};
    /** @brief Pool that the VM moves to; empty if it does not move. */
    pool_id m_target_pool;
    /** @brief Operation that holds the VM; empty in phase serving. */
    operation_id m_operation;
    /** @brief Number of times the VM changed pools. */
    std::uint64_t m_generation{0};
    /**
     * @brief Version of the shard just before the announcement. It identifies the announcement among all operations
     * on the VM, so that a late drain confirmation of an earlier operation does not count.
     */
    version m_announcement;
    /** @brief Boot that the platform listed at the announcement; a later boot means that the VM restarted. */
    std::uint64_t m_boot{0};
    /** @brief Operation that ended last; written in the same step as the end, so that a crash cannot hide it. */
    operation_id m_last_operation;
    operation_outcome m_last_outcome{operation_outcome::none};

    [[nodiscard]] friend auto operator==(const vm_record&, const vm_record&) -> bool = default;
};

/**
 * @brief Tells whether entry VMs may send new work to a VM.
 * @param record Record of the VM.
 * @return True in phase serving, false otherwise.
 */
[[nodiscard]] inline auto accepts_new_work(const vm_record& record) noexcept -> bool
{
    return record.m_phase == vm_phase::serving;
}

} // namespace cicadalug

#endif
