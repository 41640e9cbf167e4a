#ifndef CICADALUG_SCHEDULER_WORKER_HPP
#define CICADALUG_SCHEDULER_WORKER_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/job.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief How a run ended, as its worker reports it. */
enum class run_end : std::uint8_t {
    done,
    /** @brief By a fault of the task or of the worker; counts as an attempt. */
    failed,
    stopped,
    /** @brief The worker's lease ran out. */
    expired,
    /** @brief Another member of the gang ended. */
    peer_ended,
    /** @brief The other members of the gang did not come in time. */
    gang_timeout,
};

/** @brief A run that a worker lists as running. */
struct running_report {
    task_ref m_task;
    run_number m_run;
    std::string m_checkpoint;
    std::int64_t m_percent{0};
    /** @brief For a serving task its tail latency in milliseconds, for another one its thousandths of a core. */
    std::int64_t m_usage{0};
};

/** @brief An ended run that a worker lists until it is acknowledged. */
struct ended_report {
    /** @brief Rises by one with each end in one life of the worker. */
    std::int64_t m_number{0};
    task_ref m_task;
    run_number m_run;
    run_end m_how{run_end::failed};
    std::string m_checkpoint;
};

/** @brief A worker's answer to a renewal of its lease. */
struct worker_report {
    /** @brief Start of this life of the worker, in Unix milliseconds; 0 if it is not told. */
    std::int64_t m_incarnation_start_unix_ms{0};
    /** @brief Reading of the worker's clock, in milliseconds since some origin. */
    std::int64_t m_clock_ms{0};
    std::vector<running_report> m_running;
    std::vector<ended_report> m_ended;
};

/** @brief State of a worker in the registry. */
enum class worker_state : std::uint8_t { ready, draining };

/** @brief Entry of a worker in the registry. */
struct worker_entry {
    worker_id m_id;
    service_id m_service;
    /** @brief IP address and port. */
    std::string m_address;
    availability_zone_id m_zone;
    /** @brief VM on which the worker lives; empty if the entry does not tell. */
    vm_id m_vm;
    worker_state m_state{worker_state::ready};
    resources m_capacity;
    /** @brief Kind of the worker and its rack. */
    std::vector<std::string> m_labels;
    std::int64_t m_incarnation_start_unix_ms{0};
};

/** @brief Result of an order to start or stop a run. */
enum class command_result : std::uint8_t {
    accepted,
    /** @brief A decider with a higher fencing token has spoken to the worker. */
    fenced,
    /** @brief The run number is not higher than that of a run which ended there. */
    outdated_run,
    /** @brief The lease in the order had already ended. */
    lease_expired,
    insufficient_capacity,
    /** @brief The placement permit is missing or no longer valid. */
    no_permit,
    /** @brief The order itself is wrong. */
    invalid,
    /** @brief Nothing was done, the worker is not healthy. */
    unavailable,
    /** @brief Another worker answers at this address. */
    other_worker,
    /** @brief No answer: the order may have been carried out, or may be later. */
    unknown,
};

} // namespace cicadalug

#endif
