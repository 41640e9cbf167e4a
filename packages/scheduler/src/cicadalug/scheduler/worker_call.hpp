#ifndef CICADALUG_SCHEDULER_WORKER_CALL_HPP
#define CICADALUG_SCHEDULER_WORKER_CALL_HPP

#include <cicadalug/base/result.hpp>
#include <cicadalug/scheduler/worker.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief Identifies a call of a decider, so that its result can be matched. Unique within one term. */
using call_number = strong_number<struct call_number_tag, std::uint64_t>;

/** @brief Kind of a call to a worker. */
enum class worker_call_kind : std::uint8_t {
    /** @brief Renews the lease of the worker's runs and returns its report. */
    renew,
    start,
    stop,
    /** @brief Throttles a run to a share of its processor time. */
    set_speed,
};

/**
 * @brief A call to a worker in a form that another entry VM can carry out. Members that a kind does not use keep their
 * defaults.
 */
struct worker_call {
    call_number m_number;
    worker_call_kind m_kind{worker_call_kind::renew};
    worker_id m_worker;
    /** @brief IP address and port of the worker. */
    std::string m_address;
    fencing_token m_token;
    /** @brief Time left for the call, the worker's delay included; nothing is sent to the worker after it. */
    milliseconds m_timeout{0};
    /** @brief Run that is started, stopped or throttled. */
    task_ref m_task;
    run_number m_run;
    /** @brief End of the lease on the worker's clock; -1 leaves the lease unchanged. */
    std::int64_t m_lease_until_ms{-1};
    /** @brief renew: ends up to this number are stored, and the worker need not list them any more. */
    std::int64_t m_acknowledged_end{0};
    /** @brief renew: the worker may delay its response for up to this time, until a run ends. */
    milliseconds m_wait{0};
    /** @brief start: specification text of the job. */
    std::string m_text;
    std::string m_checkpoint;
    std::string m_permit;
    /** @brief set_speed: share of the processor time, in percent. */
    std::int64_t m_speed_percent{0};
};

/** @brief Result of a call to a worker. */
struct worker_call_result {
    call_number m_number;
    command_result m_result{command_result::unknown};
    /** @brief renew: the worker's report, if the result is accepted. start: only the reading of the worker's clock; 0
     * if the response has none. */
    worker_report m_report;
};

/** @brief Encodes calls for another entry VM. */
[[nodiscard]] auto encode(const std::vector<worker_call>& calls) -> std::string;

/** @brief Encodes results for the decider. */
[[nodiscard]] auto encode(const std::vector<worker_call_result>& results) -> std::string;

/** @brief Decodes calls. @return The calls, or a finding if the bytes were not written by encode(). */
[[nodiscard]] auto decode_worker_calls(std::string_view bytes) -> result<std::vector<worker_call>>;

/** @brief Decodes results. @return The results, or a finding if the bytes were not written by encode(). */
[[nodiscard]] auto decode_worker_call_results(std::string_view bytes) -> result<std::vector<worker_call_result>>;

} // namespace cicadalug

#endif
