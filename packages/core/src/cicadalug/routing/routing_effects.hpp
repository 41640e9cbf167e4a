#ifndef CICADALUG_ROUTING_ROUTING_EFFECTS_HPP
#define CICADALUG_ROUTING_ROUTING_EFFECTS_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/strong_number.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/routing/slot_message.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug {

/** @brief Identifies one attempt or one probe of this entry VM's process. */
using attempt_id = strong_number<struct attempt_tag, std::uint64_t>;

/**
 * @brief Instructs the request path to send a request to an upstream, and to report the end of the attempt with
 * complete().
 *
 * The attempt can outlive its request: after the caller received `unknown` at the deadline, or disconnected, the
 * response is still awaited until m_timeout_at. The slot then becomes free as soon as the job ends, instead of after
 * the run-time bound.
 */
struct start_attempt {
    request_id m_request;
    vm_id m_vm;
    attempt_id m_attempt;
    /** @brief Time at which to close the connection and report `timed_out`. */
    time_point m_timeout_at;
};

/** @brief Outcome of a request that is reported to the caller. */
enum class outcome_kind : std::uint8_t {
    /** @brief The response of the attempt that was just completed is forwarded; it may be an error of the upstream. */
    answered,
    /** @brief The request was not run. */
    not_run,
    /** @brief The request may have run, and its response is not known. */
    unknown,
};

/** @brief Reason why a request gets no response from an upstream. */
enum class outcome_reason : std::uint8_t {
    none,
    unknown_service,
    /** @brief The pool of the service has no upstream that accepts work. */
    no_upstream,
    queue_full,
    /** @brief No response can arrive before the deadline. */
    deadline,
    /** @brief All allowed attempts ended without the job being started. */
    not_accepted,
    /** @brief The retry budget of the service is exhausted. */
    retry_budget,
    /** @brief An upstream reported that the job can never run. */
    never_runs,
    /** @brief The last attempt ended without a complete response. */
    no_response,
};

/** @brief Final outcome for the caller. Each submitted request gets exactly one, unless it is cancelled before. */
struct final_outcome {
    request_id m_request;
    outcome_kind m_kind{outcome_kind::unknown};
    outcome_reason m_reason{outcome_reason::none};
    /** @brief Delay after which a retry can succeed, for `not_run`; zero if it never can. */
    milliseconds m_retry_after{0};
};

/**
 * @brief Instructs the request path to probe an upstream that gets no work, and to report the result with complete():
 * `answered` if the upstream is ready for work.
 */
struct start_probe {
    vm_id m_vm;
    attempt_id m_attempt;
    /** @brief Time at which to close the connection and report `timed_out`. */
    time_point m_timeout_at;
};

/** @brief Slot message to send to a peer. */
struct outgoing_slot_message {
    entry_vm_id m_to;
    slot_message m_message;
};

/** @brief Actions that the request path has to take after an event, in the order of the members. */
struct routing_effects {
    std::vector<final_outcome> m_outcomes;
    std::vector<start_attempt> m_starts;
    std::vector<start_probe> m_probes;
    std::vector<outgoing_slot_message> m_messages;
};

} // namespace cicadalug

#endif
