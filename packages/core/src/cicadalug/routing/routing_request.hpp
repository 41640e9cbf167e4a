#ifndef CICADALUG_ROUTING_ROUTING_REQUEST_HPP
#define CICADALUG_ROUTING_ROUTING_REQUEST_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>

namespace cicadalug {

/** @brief What the routing decisions need to know of a request. */
struct routing_request {
    request_id m_id;
    service_id m_service;
    /** @brief Holder of the quota that the request counts against; empty or unknown means no quota. */
    team_id m_team;
    bool m_urgent{false};
    /** @brief True if running the request twice does no harm. */
    bool m_idempotent{false};
    /** @brief When the answer is of no use any more. */
    time_point m_deadline;
};

} // namespace cicadalug

#endif
