#ifndef CICADALUG_REQUEST_STATIC_FLEET_HPP
#define CICADALUG_REQUEST_STATIC_FLEET_HPP

#include <cicadalug/model/fleet_view.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Fixed fleet with a single pool, for entry VMs without a platform. */
struct static_fleet {
    availability_zone_id m_availability_zone;
    std::vector<service_id> m_services;
    /** @brief Addresses and ports of all upstreams. */
    std::vector<std::string> m_upstreams;
    int m_slots{8};
    int m_connections{64};
};

/**
 * @brief Makes the view of a static fleet: all services use one pool of all upstreams, without promised capacity.
 * @param fleet The fleet.
 * @return The view, with version 1.
 */
[[nodiscard]] auto make_view(const static_fleet& fleet) -> std::shared_ptr<const fleet_view>;

} // namespace cicadalug

#endif
