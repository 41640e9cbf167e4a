#ifndef CICADALUG_ROUTING_ROUTING_SETTINGS_HPP
#define CICADALUG_ROUTING_ROUTING_SETTINGS_HPP

#include <cicadalug/base/ids.hpp>

namespace cicadalug {

/** @brief Identity and settings of an entry VM. */
struct routing_settings {
    entry_vm_id m_self;
    incarnation m_incarnation;
    /** @brief Availability zone of the entry VM. Only upstreams of this zone are used. */
    availability_zone_id m_availability_zone;
    /** @brief False to use only the own share of the slots and borrow none from peers. */
    bool m_borrowing{true};
};

} // namespace cicadalug

#endif
