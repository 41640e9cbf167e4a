#ifndef CICADALUG_ROUTING_ROUTING_REQUEST_HPP
#define CICADALUG_ROUTING_ROUTING_REQUEST_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>

namespace cicadalug {

/** @brief Properties of a request that the routing decisions depend on. */
struct routing_request {
    request_id m_id;
    service_id m_service;
    /** @brief Team whose quota the request counts against; empty or unknown means no quota. */
    team_id m_team;
    bool m_urgent{false};
    /** @brief True if the request can safely run twice. */
    bool m_idempotent{false};
    /** @brief Time after which the response is of no use to the caller. */
    time_point m_deadline;
};

} // namespace cicadalug

#endif
