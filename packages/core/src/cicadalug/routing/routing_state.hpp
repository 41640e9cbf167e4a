#ifndef CICADALUG_ROUTING_ROUTING_STATE_HPP
#define CICADALUG_ROUTING_ROUTING_STATE_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/model/service.hpp>
#include <cicadalug/routing/routing_effects.hpp>
#include <cicadalug/routing/routing_request.hpp>
#include <cicadalug/routing/routing_settings.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

namespace cicadalug {

/** @brief An upstream as a target of work. */
struct routing_upstream {
    pool_id m_pool;
    int m_slots{0};
    int m_in_use{0};
    bool m_takes_work{false};
};

/** @brief Attempt whose end is awaited. */
struct routing_attempt {
    request_id m_request;
    vm_id m_vm;
};

/** @brief Everything that the routing decisions of one entry VM depend on. */
struct routing_state {
    routing_settings m_settings;
    std::map<service_id, service> m_services;
    std::map<vm_id, routing_upstream> m_upstreams;
    std::unordered_map<request_id, routing_request> m_requests;
    std::unordered_map<std::uint64_t, routing_attempt> m_attempts;
    std::map<pool_id, std::deque<request_id>> m_waiting;
    std::uint64_t m_last_attempt{0};
};

} // namespace cicadalug

#endif
