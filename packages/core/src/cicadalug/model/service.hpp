#ifndef CICADALUG_MODEL_SERVICE_HPP
#define CICADALUG_MODEL_SERVICE_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug {

/** @brief Way in which a service reduces its power draw. */
enum class degradation_action : std::uint8_t { throttle, checkpoint, stop };

/** @brief One step by which a service may degrade when a room exceeds its power limit. */
struct degradation_step {
    degradation_action m_action{degradation_action::throttle};
    /** @brief Largest number of VMs that the step is applied to at the same time. */
    int m_vms{0};
    /** @brief Power that the step saves on each VM. */
    watts m_saved_per_vm;
};

/** @brief Destination of the requests of callers. */
struct service {
    service_id m_id;
    pool_id m_pool;
    /**
     * @brief Number of VMs of the pool that must be able to serve at any time. The other VMs of the pool are its
     * availability budget.
     */
    int m_promised_vms{0};
    /** @brief Deadline of a request that does not specify one. */
    milliseconds m_default_deadline{10'000};
    /** @brief Largest number of requests that may wait for a slot in one entry VM. */
    int m_queue_limit{256};
    /** @brief Retries allowed as a fraction of first attempts. */
    double m_retry_ratio{0.1};
    /** @brief Run time of a request as declared by the operator; the initial estimate, which observations replace. */
    milliseconds m_declared_run_time{100};
    /** @brief Degradation steps in the order in which they may be taken; empty if the service does not degrade. */
    std::vector<degradation_step> m_degradation_steps;
};

} // namespace cicadalug

#endif
