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

/** @brief What the headers and the path of a caller's request say. */
struct caller_request {
    /** @brief Id that the caller chose; empty if the entry VM has to choose one. */
    request_id m_id;
    service_id m_service;
    /** @brief Time that the caller waits for an outcome; without a value the default of the service holds. */
    std::optional<milliseconds> m_deadline;
    bool m_urgent{false};
    team_id m_team;
    bool m_idempotent{false};
    /** @brief Ticket of an order; empty without one. */
    std::string m_ticket;
    /** @brief Bare key of an order; empty without one. */
    std::string m_idempotency_key;
};

/**
 * @brief Reads the service from the target of a request.
 * @param target Path and query.
 * @return The service, empty if the target is not /v1/services/{service}/requests or a path below it.
 */
[[nodiscard]] auto service_of_target(std::string_view target) -> service_id;

/**
 * @brief Reads and checks a caller's request. The body is not looked at.
 * @param request The request.
 * @param found Gets a finding for each fault, with the name of the header, or "method" or "target", as its place.
 * @return What the request says; parts with a fault have their defaults.
 */
[[nodiscard]] auto parse_caller_request(const http_request& request, findings& found) -> caller_request;

} // namespace cicadalug

#endif
