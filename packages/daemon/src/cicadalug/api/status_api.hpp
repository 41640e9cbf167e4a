#ifndef CICADALUG_API_STATUS_API_HPP
#define CICADALUG_API_STATUS_API_HPP

#include <cicadalug/membership/membership_service.hpp>
#include <cicadalug/replication/replica.hpp>

#include <nlohmann/json_fwd.hpp>

namespace cicadalug {

/**
 * @brief Returns the entry VMs with their applied configuration versions, the unreachable ones, and the zones with
 * their control holders.
 * @param members The table of entry VMs.
 * @param local_replica The replica of the configuration.
 * @param own_epoch Control epoch announced by this entry VM; zero if it is a follower.
 * @return The body of GET /v1/status.
 */
[[nodiscard]] auto status_json(const membership_service& members, const replica& local_replica, epoch own_epoch)
    -> nlohmann::json;

/**
 * @brief Returns the VMs known to this entry VM, which are those of its zone.
 * @param view Current view of the fleet.
 * @return The body of GET /v1/vms.
 */
[[nodiscard]] auto vms_json(const fleet_view& view) -> nlohmann::json;

} // namespace cicadalug

#endif
