#ifndef CICADALUG_REQUEST_PEER_ENTRY_VM_HPP
#define CICADALUG_REQUEST_PEER_ENTRY_VM_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/http/message.hpp>

namespace cicadalug {

/** @brief Data of another entry VM that the request path needs. */
struct peer_entry_vm {
    entry_vm_id m_id;
    availability_zone_id m_availability_zone;
    /** @brief Highest incarnation reported by a heartbeat. */
    incarnation m_incarnation;
    /** @brief Address for requests of other entry VMs, to which orders are forwarded. */
    tcp_endpoint m_endpoint;
    /** @brief True while its heartbeats arrive; a live peer has a share of the slots. */
    bool m_live{true};
};

} // namespace cicadalug

#endif
