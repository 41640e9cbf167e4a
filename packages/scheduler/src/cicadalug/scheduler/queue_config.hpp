#ifndef CICADALUG_SCHEDULER_QUEUE_CONFIG_HPP
#define CICADALUG_SCHEDULER_QUEUE_CONFIG_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/scheduler/job.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief Service that permits placements of a queue's steps, and how long its decisions take and hold. */
struct permit_policy {
    bool m_required{false};
    milliseconds m_decision{0};
    milliseconds m_for_each_worker{0};
    milliseconds m_validity{0};
};

/** @brief A queue of the configuration. */
struct queue_config {
    /** @brief Host name and path prefix by which clients name the queue. */
    std::string m_host;
    std::string m_prefix;
    queue_policy m_policy;
    milliseconds m_timeout{3'000};
    permit_policy m_permits;
};

/** @brief A service of the configuration: a pool of VMs. */
struct service_config {
    service_id m_id;
    /** @brief Workers of the service refuse what is over their capacity. */
    bool m_enforces_capacity{false};
    /** @brief VMs of this pool are off and not paid for. */
    bool m_standby{false};
};

/** @brief One version of the operator's configuration. Never changes. */
struct fleet_config {
    version m_version;
    std::vector<queue_config> m_queues;
    std::vector<service_config> m_services;
};

/**
 * @brief Finds the queue that a request names: same host, longest prefix of the path.
 * @param config The configuration in force.
 * @param host Host name of the request, without a port.
 * @param path Path of the request.
 * @return The queue, or null.
 */
[[nodiscard]] auto find_queue(const fleet_config& config, std::string_view host, std::string_view path)
    -> const queue_config*;

} // namespace cicadalug

#endif
