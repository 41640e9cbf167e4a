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

/** @brief Whether a queue's steps need placement permits, and how long the permit service's decisions take and hold. */
struct permit_policy {
    bool m_required{false};
    milliseconds m_decision_time{0};
    milliseconds m_decision_time_per_worker{0};
    milliseconds m_validity{0};
};

/** @brief Configuration of a queue. */
struct queue_config {
    /** @brief Host name and path prefix by which clients address the queue. */
    std::string m_host;
    std::string m_prefix;
    queue_policy m_policy;
    milliseconds m_timeout{3'000};
    permit_policy m_permits;
};

/** @brief Configuration of a service and its pool of VMs. */
struct service_config {
    service_id m_id;
    /** @brief Workers of the service reject runs that exceed their capacity. */
    bool m_enforces_capacity{false};
    /** @brief VMs of this pool are off and cause no cost. */
    bool m_standby{false};
};

/** @brief One version of the operator's configuration. Immutable. */
struct fleet_config {
    version m_version;
    std::vector<queue_config> m_queues;
    std::vector<service_config> m_services;
};

/**
 * @brief Finds the queue that a request addresses: same host, longest matching path prefix.
 * @param config The configuration in force.
 * @param host Host name of the request, without a port.
 * @param path Path of the request.
 * @return The queue, or null.
 */
[[nodiscard]] auto find_queue(const fleet_config& config, std::string_view host, std::string_view path)
    -> const queue_config*;

} // namespace cicadalug

#endif
