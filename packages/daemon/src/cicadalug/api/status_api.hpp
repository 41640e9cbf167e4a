#ifndef CICADALUG_API_STATUS_API_HPP
#define CICADALUG_API_STATUS_API_HPP

#include <cicadalug/membership/membership_service.hpp>
#include <cicadalug/replication/replica.hpp>

#include <nlohmann/json_fwd.hpp>

namespace cicadalug {

/**
 * @brief Shows the entry VMs with the version in force, those that are unreachable, the zones and their control
 * holders.
 * @param members The table of entry VMs.
 * @param copy The copy of the configuration.
 * @param own_epoch Epoch if this entry VM holds control, else zero.
 * @return The body of GET /v1/status.
 */
[[nodiscard]] auto status_json(const membership_service& members, const replica& local_replica, epoch own_epoch)
    -> nlohmann::json;

/**
 * @brief Lists the VMs that this entry VM knows: those of its zone.
 * @param view What is known.
 * @return The body of GET /v1/vms.
 */
[[nodiscard]] auto vms_json(const fleet_view& view) -> nlohmann::json;

} // namespace cicadalug

#endif
