#ifndef CICADALUG_FLEET_BUDGET_HPP
#define CICADALUG_FLEET_BUDGET_HPP

#include <cicadalug/fleet/budget_ledger.hpp>
#include <cicadalug/model/service.hpp>

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace cicadalug {

/** @brief What the control holder of a zone knows of the VMs that belong to the pool of a service. */
struct zone_report {
    availability_zone_id m_availability_zone;
    /** @brief Epoch of the holder. */
    epoch m_epoch;
    /** @brief VMs of the zone whose record names the pool of the service. */
    std::set<vm_id> m_members;
    /** @brief Members that an operation holds, by their record. */
    std::map<vm_id, operation_id> m_operations;
    /** @brief Members that cannot serve. */
    std::set<vm_id> m_unhealthy;
    /** @brief Operations that the holder is about to announce, in the order of their importance. */
    std::vector<std::pair<vm_id, operation_id>> m_wanted;
};

/**
 * @brief Counts the VMs that can serve.
 * @param ledger Ledger of the service.
 * @return members - charged - unhealthy not charged, in VMs.
 */
[[nodiscard]] auto available_vms(const budget_ledger& ledger) noexcept -> int;

/**
 * @brief Counts the VMs that may still be taken out of service.
 * @param ledger Ledger of the service.
 * @return Available VMs above the promise; negative if failures have already broken it.
 */
[[nodiscard]] auto spare_vms(const budget_ledger& ledger) noexcept -> int;

/**
 * @brief Tells whether a later holder has taken over a zone.
 * @param ledger Ledger of a service.
 * @param zone Zone of the asking holder.
 * @param own Epoch of the asking holder.
 * @return True if the ledger carries a higher epoch for the zone: the asking holder must not write any more.
 */
[[nodiscard]] auto is_fenced(const budget_ledger& ledger, const availability_zone_id& zone, epoch own) noexcept -> bool;

/**
 * @brief Charges VMs of one zone, all of them in the value of one atomic write. A VM is charged only if the promise
 * holds afterwards; one that is unhealthy already costs nothing more. Charging twice has no further effect.
 * @param ledger Ledger to change.
 * @param zone Zone of the VMs.
 * @param own Epoch of the holder.
 * @param wanted VMs and their operations, in the order of importance.
 * @return The VMs that are charged for the wanted operation afterwards.
 */
auto charge_batch(budget_ledger& ledger, const availability_zone_id& zone, epoch own,
                  const std::vector<std::pair<vm_id, operation_id>>& wanted) -> std::set<vm_id>;

/**
 * @brief Brings the part of one zone in a ledger into line with the VM records of the zone, then charges what is
 * wanted. Charges whose VM left the pool or is held by no operation are released together with the change of the
 * member count. VMs that an operation holds without a charge are charged in any case, since they are out already.
 * @param ledger Ledger of the service, from the key-value service.
 * @param owner The service as its operators declare it now.
 * @param report Knowledge of the holder.
 * @return The ledger to write; equal to the given one if nothing needs to be written.
 * @pre The holder is not fenced, and its VM records are those of its last successful reads and writes.
 */
[[nodiscard]] auto reconcile(const budget_ledger& ledger, const service& owner, const zone_report& report)
    -> budget_ledger;

} // namespace cicadalug

#endif
