#ifndef CICADALUG_REQUEST_CALLER_REQUEST_HPP
#define CICADALUG_REQUEST_CALLER_REQUEST_HPP

#include <cicadalug/base/finding.hpp>
#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Parsed headers and path of a caller's request. */
struct caller_request {
    /** @brief Id chosen by the caller; empty if the entry VM has to generate one. */
    request_id m_id;
    service_id m_service;
    /** @brief Time that the caller waits for an outcome; if unset, the default deadline of the service applies. */
    std::optional<milliseconds> m_deadline;
    bool m_urgent{false};
    team_id m_team;
    bool m_idempotent{false};
    /** @brief Ticket of an order; empty if there is none. */
    std::string m_ticket;
    /** @brief Bare idempotency key of an order; empty if there is none. */
    std::string m_idempotency_key;
};

/**
 * @brief Extracts the service from the target of a request.
 * @param target Path and query.
 * @return The service, empty if the target is not /v1/services/{service}/requests or a path below it.
 */
[[nodiscard]] auto service_of_target(std::string_view target) -> service_id;

/**
 * @brief Parses and validates the method, path and headers of a caller's request. The body is not examined.
 * @param request The request.
 * @param found Receives a finding for each error, located by the name of the header, or by "method" or "target".
 * @return The parsed request; invalid fields keep their default values.
 */
[[nodiscard]] auto parse_caller_request(const http_request& request, findings& found) -> caller_request;

} // namespace cicadalug

#endif
