#ifndef CICADALUG_SCHEDULER_WORKER_HPP
#define CICADALUG_SCHEDULER_WORKER_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/job.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief End of a run as reported by its worker. */
enum class run_end : std::uint8_t {
    done,
    /** @brief Failed because of the task or the worker; counts as an attempt. */
    failed,
    stopped,
    /** @brief The worker's lease expired. */
    expired,
    /** @brief Another member of the gang ended. */
    peer_ended,
    /** @brief The other members of the gang did not start in time. */
    gang_timeout,
};

/** @brief A run that a worker lists as running. */
struct running_report {
    task_ref m_task;
    run_number m_run;
    std::string m_checkpoint;
    std::int64_t m_percent{0};
    /** @brief Tail latency in milliseconds for a serving task, CPU usage in thousandths of a core for any other. */
    std::int64_t m_usage{0};
};

/** @brief An ended run, which a worker lists until it is acknowledged. */
struct ended_report {
    /** @brief Increases by one with each ended run within one incarnation of the worker. */
    std::int64_t m_number{0};
    task_ref m_task;
    run_number m_run;
    run_end m_outcome{run_end::failed};
    std::string m_checkpoint;
};

/** @brief A worker's response to a renewal of its lease. */
struct worker_report {
    /** @brief Start of this incarnation of the worker in Unix milliseconds; 0 if not reported. */
    std::int64_t m_incarnation_start_unix_ms{0};
    /** @brief Reading of the worker's clock in milliseconds since an arbitrary origin. */
    std::int64_t m_clock_ms{0};
    /** @brief Time since the start of the incarnation, by the time of day of two machines; nothing if it is not known.
     */
    std::optional<milliseconds> m_incarnation_age;
    /** @brief Fencing token of the call that the report answers; 0 if it is not known. */
    fencing_token m_token;
    std::vector<running_report> m_running;
    std::vector<ended_report> m_ended;
    /** @brief Runs may be missing in both lists, as the worker lists a limited number of ends, or a row could not be
     * decoded. */
    bool m_incomplete{false};
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
    /** @brief VM on which the worker runs; empty if the entry does not state it. */
    vm_id m_vm;
    worker_state m_state{worker_state::ready};
    resources m_capacity;
    /** @brief Labels that name the kind of the worker and its rack. */
    std::vector<std::string> m_labels;
    std::int64_t m_incarnation_start_unix_ms{0};
};

/** @brief Result of a command for a run. */
enum class command_result : std::uint8_t {
    accepted,
    /** @brief The worker has received a higher fencing token from another decider. */
    fenced,
    /** @brief The run number is not higher than that of a run that ended on the worker. */
    outdated_run,
    /** @brief The lease in the command has already expired. */
    lease_expired,
    insufficient_capacity,
    /** @brief The placement permit is missing or no longer valid. */
    no_permit,
    /** @brief The command itself is invalid. */
    invalid,
    /** @brief The command was not carried out, as the worker is unhealthy. */
    unavailable,
    /** @brief Another worker responds at this address. */
    other_worker,
    /** @brief No response: the command may have been carried out, or may still be. */
    unknown,
    /** @brief The command was decided, but not sent. */
    withdrawn,
};

} // namespace cicadalug

#endif
