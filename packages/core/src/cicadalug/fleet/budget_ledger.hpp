#ifndef CICADALUG_FLEET_BUDGET_LEDGER_HPP
#define CICADALUG_FLEET_BUDGET_LEDGER_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/result.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <string>

namespace cicadalug {

/** @brief Charge to the availability budget for one VM that an operation takes out of service. */
struct budget_charge {
    operation_id m_operation;
    /** @brief Availability zone of the VM; only the control holder of this zone releases the charge. */
    availability_zone_id m_availability_zone;
    /** @brief Epoch of that control holder at the time of the charge. */
    epoch m_epoch;

    [[nodiscard]] friend auto operator==(const budget_charge&, const budget_charge&) -> bool = default;
};

/** @brief Contribution of one availability zone to a service. */
struct zone_members {
    /** @brief Epoch of the control holder that reported last. A holder with a lower epoch must not write. */
    epoch m_epoch;
    /**
     * @brief Number of VM records of the zone in the pool. It is part of the ledger because other zones see these
     * records with a delay, and a charge based on outdated records could break the promised capacity.
     */
    int m_members{0};
    /** @brief Members that cannot serve requests, whether or not they are charged. */
    std::set<vm_id> m_unhealthy;

    [[nodiscard]] friend auto operator==(const zone_members&, const zone_members&) -> bool = default;
};

/** @brief Value of the key `budget/{service}`. */
struct budget_ledger {
    write_id m_write_id;
    service_id m_service;
    /** @brief Pool in which the members were counted. */
    pool_id m_pool;
    /** @brief Promised capacity in VMs. */
    int m_promised_vms{0};
    std::map<vm_id, budget_charge> m_charges;
    std::map<availability_zone_id, zone_members> m_zones;

    [[nodiscard]] friend auto operator==(const budget_ledger&, const budget_ledger&) -> bool = default;
};

/** @brief Returns the key of the ledger of a service. */
[[nodiscard]] auto budget_key(const service_id& service) -> std::string;

/** @brief Serializes a ledger to JSON. */
[[nodiscard]] auto budget_ledger_to_json(const budget_ledger& ledger) -> nlohmann::json;

/**
 * @brief Parses a ledger from JSON.
 * @param json Value of a key `budget/{service}`.
 * @return The ledger, or all errors with their locations.
 */
[[nodiscard]] auto parse_budget_ledger(const nlohmann::json& json) -> result<budget_ledger>;

} // namespace cicadalug

#endif
