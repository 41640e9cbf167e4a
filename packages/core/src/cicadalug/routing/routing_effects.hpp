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
 * @brief Send a request to an upstream, and report the end of the attempt with complete().
 *
 * The attempt outlives its request: after the caller was told `unknown` at the deadline, or went away, the answer is
 * still awaited until m_timeout_at. The slot is then free as soon as the job ends, and not after the run-time bound.
 */
struct start_attempt {
    request_id m_request;
    vm_id m_vm;
    attempt_id m_attempt;
    /** @brief When to close the connection and report `silent`. */
    time_point m_timeout_at;
};

/** @brief What the caller is told. */
enum class outcome_kind : std::uint8_t {
    /** @brief Pass the answer of the attempt on that was just completed; it may be an error of the upstream. */
    answered,
    /** @brief The request was not run. */
    not_run,
    /** @brief The request may have run, and its answer is not known. */
    unknown,
};

/** @brief Why a request is not answered by an upstream. */
enum class outcome_reason : std::uint8_t {
    none,
    unknown_service,
    /** @brief The pool of the service has no upstream that takes work. */
    no_upstream,
    queue_full,
    /** @brief The answer cannot come before the deadline. */
    deadline,
    /** @brief All allowed attempts ended without a start. */
    not_accepted,
    /** @brief The retry budget of the service is used up. */
    retry_budget,
    /** @brief An upstream said that the job can never run. */
    never_runs,
    /** @brief The answer of the last attempt did not come. */
    no_response,
};

/** @brief Tell the caller the outcome. Each submitted request gets one, unless it is cancelled before. */
struct final_outcome {
    request_id m_request;
    outcome_kind m_kind{outcome_kind::unknown};
    outcome_reason m_reason{outcome_reason::none};
    /** @brief When it makes sense to come back, for `not_run`; zero if never. */
    milliseconds m_retry_after{0};
};

/** @brief Check an upstream that gets no work, and report with complete(): `answered` if it is fit for work. */
struct start_probe {
    vm_id m_vm;
    attempt_id m_attempt;
    /** @brief When to close the connection and report `silent`. */
    time_point m_timeout_at;
};

/** @brief Send a slot message to a peer. */
struct outgoing_slot_message {
    entry_vm_id m_to;
    slot_message m_message;
};

/** @brief What the request path has to do after an event, in the order of the members. */
struct routing_effects {
    std::vector<final_outcome> m_outcomes;
    std::vector<start_attempt> m_starts;
    std::vector<start_probe> m_probes;
    std::vector<outgoing_slot_message> m_messages;
};

} // namespace cicadalug

#endif
