#ifndef CICADALUG_REQUEST_PEER_ENTRY_VM_HPP
#define CICADALUG_REQUEST_PEER_ENTRY_VM_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/http/message.hpp>

namespace cicadalug {

/** @brief Another entry VM as the request path needs it. */
struct peer_entry_vm {
    entry_vm_id m_id;
    availability_zone_id m_availability_zone;
    /** @brief Highest incarnation that was heard. */
    incarnation m_incarnation;
    /** @brief Its address for other entry VMs, to which orders are forwarded. */
    tcp_endpoint m_endpoint;
    /** @brief True while its heartbeats arrive, so that it gets a share of the slots. */
    bool m_live{true};
};

} // namespace cicadalug

#endif
