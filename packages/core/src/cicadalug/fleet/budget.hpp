#ifndef CICADALUG_FLEET_BUDGET_HPP
#define CICADALUG_FLEET_BUDGET_HPP

#include <cicadalug/fleet/budget_ledger.hpp>
#include <cicadalug/model/service.hpp>

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace cicadalug {

/** @brief State of the VMs of one zone in the pool of a service, as reported by the control holder of the zone. */
struct zone_report {
    availability_zone_id m_availability_zone;
    /** @brief Epoch of the control holder. */
    epoch m_epoch;
    /** @brief VMs of the zone whose records assign them to the pool of the service. */
    std::set<vm_id> m_members;
    /** @brief Members that are held by an operation according to their record. */
    std::map<vm_id, operation_id> m_operations;
    /** @brief Members that cannot serve requests. */
    std::set<vm_id> m_unhealthy;
    /** @brief Operations that the holder will announce once they are charged, by descending priority. */
    std::vector<std::pair<vm_id, operation_id>> m_requested;
};

/**
 * @brief Counts the VMs that can serve requests.
 * @param ledger Ledger of the service.
 * @return Members minus charged VMs minus unhealthy VMs that are not charged.
 */
[[nodiscard]] auto available_vms(const budget_ledger& ledger) noexcept -> int;

/**
 * @brief Counts the VMs that can still be taken out of service.
 * @param ledger Ledger of the service.
 * @return Available VMs minus the promised capacity; negative if failures have already broken the promised capacity.
 */
[[nodiscard]] auto spare_vms(const budget_ledger& ledger) noexcept -> int;

/**
 * @brief Returns whether a later holder has taken over a zone.
 * @param ledger Ledger of a service.
 * @param zone Zone of the calling holder.
 * @param own_epoch Epoch of the calling holder.
 * @return True if the ledger contains a higher epoch for the zone; the calling holder must then stop writing.
 */
[[nodiscard]] auto is_fenced(const budget_ledger& ledger, const availability_zone_id& zone, epoch own_epoch) noexcept
    -> bool;

/**
 * @brief Charges VMs of one zone, all of them in the value of one atomic write. A VM is charged only if the promised
 * capacity still holds afterwards; charging a VM that is already unhealthy uses no spare capacity. Charging is
 * idempotent.
 * @param ledger Ledger to update.
 * @param zone Zone of the VMs.
 * @param own_epoch Epoch of the control holder.
 * @param requested VMs and their operations, by descending priority.
 * @return The VMs that are charged for the requested operation afterwards.
 */
auto charge_batch(budget_ledger& ledger, const availability_zone_id& zone, epoch own_epoch,
                  const std::vector<std::pair<vm_id, operation_id>>& requested) -> std::set<vm_id>;

/**
 * @brief Reconciles the part of one zone in a ledger with the VM records of the zone, then charges the requested
 * operations. Charges whose VM left the pool or has neither a recorded nor a requested operation are released together
 * with the change of the member count. VMs that an operation holds without a charge are charged unconditionally,
 * because they are already out of service.
 * @param ledger Ledger of the service as read from the key-value service.
 * @param declared The service as currently declared by its operators.
 * @param report State of the zone as reported by the holder.
 * @return The ledger to write; equal to the given ledger if no write is required.
 * @pre The holder is not fenced, and its VM records are those of its last successful reads and writes.
 */
[[nodiscard]] auto reconcile(const budget_ledger& ledger, const service& declared, const zone_report& report)
    -> budget_ledger;

} // namespace cicadalug

#endif
