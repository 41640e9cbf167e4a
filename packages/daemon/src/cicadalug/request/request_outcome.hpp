#ifndef CICADALUG_REQUEST_REQUEST_OUTCOME_HPP
#define CICADALUG_REQUEST_REQUEST_OUTCOME_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/http/http_connection.hpp>
#include <cicadalug/routing/attempt_outcome.hpp>
#include <cicadalug/routing/routing_effects.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Outcome of a request, as reported to its caller. */
struct request_outcome {
    outcome_kind m_kind{outcome_kind::unknown};
    outcome_reason m_reason{outcome_reason::none};
    /** @brief Recommended delay before a retry, for not_run. */
    milliseconds m_retry_after{0};
    /** @brief Complete response of the upstream, or of the entry VM that an order was forwarded to. */
    std::optional<http_response> m_response;
    /** @brief Additional text for the caller; may be empty. */
    std::string m_detail;
    /** @brief True if the caller disconnected before the outcome. */
    bool m_caller_disconnected{false};
};

/** @brief Outcome of an attempt, with the response of the upstream if there is one. */
struct attempt_result {
    attempt_outcome m_outcome{attempt_outcome::timed_out};
    std::optional<http_response> m_response;
    std::string m_detail;
};

/**
 * @brief Makes the request to an upstream.
 * @param id Id of the request.
 * @param target Service of the request.
 * @param caller Request of the caller; its body and the headers that describe the body are forwarded.
 * @return The request, without a traceparent header.
 */
[[nodiscard]] auto make_upstream_request(const request_id& id, const service_id& target, const http_request& caller)
    -> http_request;

/**
 * @brief Classifies the result of an exchange with an upstream.
 * @param exchange_result Response of the upstream, or the failure.
 * @return The result; its response is set if the upstream ran the request.
 */
[[nodiscard]] auto to_attempt_result(result<http_response, http_failure> exchange_result) -> attempt_result;

/**
 * @brief Makes the response to the caller for an outcome.
 * @param outcome The outcome.
 * @return The response of the outcome if there is one; otherwise 400, 404 or 503 for not_run and 504 for unknown. It
 * has an X-Outcome header, and Retry-After if the status is 503.
 */
[[nodiscard]] auto to_response(request_outcome outcome) -> http_response;

/**
 * @brief Makes the response to a request that is rejected before it can run.
 * @param status 400, 404 or 413.
 * @param found All errors of the request.
 * @return The response, with the header X-Outcome: not-run.
 */
[[nodiscard]] auto not_run_response(http::status status, const findings& found) -> http_response;

/**
 * @brief Returns the value of the X-Outcome header.
 * @param kind Kind of the outcome.
 * @return "answered", "not-run" or "unknown".
 */
[[nodiscard]] auto to_string(outcome_kind kind) -> std::string_view;

} // namespace cicadalug

#endif
