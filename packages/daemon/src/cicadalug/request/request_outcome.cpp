#include <cicadalug/request/request_outcome.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace cicadalug {

namespace {

/** @brief Upstream headers that are not forwarded: hop-by-hop headers, and those that the entry VM sets itself. */
constexpr std::array<const char*, 11> dropped_headers{
    "Connection",        "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "TE",         "Trailer",
    "Transfer-Encoding", "Upgrade",    "X-Outcome",          "X-Request-Id",     "traceparent"};

[[nodiscard]] auto reason_text(const outcome_reason reason) -> std::string
{
    switch (reason) {
    case outcome_reason::unknown_service:
        return "the service does not exist";
    case outcome_reason::no_upstream:
        return "no upstream of the pool takes work";
    case outcome_reason::queue_full:
        return "the queue of the service is full";
    case outcome_reason::deadline:
        return "the answer cannot come before the deadline";
    case outcome_reason::not_accepted:
        return "no upstream accepted the request";
    case outcome_reason::retry_budget:
        return "the retry budget of the service is used up";
    case outcome_reason::never_runs:
        return "an upstream said that the request can never run";
    case outcome_reason::no_response:
        return "the upstream did not answer";
    case outcome_reason::none:
        break;
    }
    return "no answer of an upstream";
}

[[nodiscard]] auto not_run_status(const outcome_reason reason) -> http::status
{
    switch (reason) {
    case outcome_reason::unknown_service:
        return http::status::not_found;
    case outcome_reason::never_runs:
        return http::status::bad_request;
    default:
        return http::status::service_unavailable;
    }
}

[[nodiscard]] auto forwarded_response(http_response response) -> http_response
{
    for (const auto* const header : dropped_headers) {
        response.erase(header);
    }
    response.prepare_payload();
    return response;
}

} // namespace

auto make_upstream_request(const request_id& id, const service_id& target, const http_request& caller) -> http_request
{
    http_request request{http::verb::post, "/run", 11};
    request.set(http::field::host, "upstream");
    request.set("X-Request-Id", id.str());
    request.set("X-Service", target.str());
    for (const auto field : {http::field::content_type, http::field::content_encoding}) {
        if (const auto found = caller.find(field); found != caller.end()) {
            request.set(field, found->value());
        }
    }
    request.body() = caller.body();
    return request;
}

auto to_attempt_result(result<http_response, http_failure> exchange_result) -> attempt_result
{
    if (!exchange_result) {
        auto& failure = exchange_result.assume_error();
        const auto outcome = failure.m_progress == http_progress::not_sent ? attempt_outcome::connect_failed
                             : failure.m_timed_out                         ? attempt_outcome::timed_out
                                                                           : attempt_outcome::connection_lost;
        return {outcome, std::nullopt, std::move(failure.m_message)};
    }
    auto response = std::move(exchange_result).assume_value();
    const auto refused = response["X-Not-Run"];
    if (response.result() == http::status::service_unavailable && refused == "no-slot") {
        return {attempt_outcome::no_slot, std::nullopt, "no free slot"};
    }
    if (response.result() == http::status::service_unavailable && refused == "leaving") {
        return {attempt_outcome::leaving, std::nullopt, "leaving"};
    }
    if (response.result() == http::status::unprocessable_entity && response["X-Never-Runs"] == "true") {
        return {attempt_outcome::never_runs, std::nullopt, response.body()};
    }
    const auto failed = http::to_status_class(response.result()) == http::status_class::server_error;
    return {failed ? attempt_outcome::failed : attempt_outcome::answered, std::move(response), {}};
}

auto to_response(request_outcome outcome) -> http_response
{
    if (outcome.m_response) {
        auto response = forwarded_response(std::move(*outcome.m_response));
        response.set("X-Outcome", std::string{to_string(outcome.m_kind)});
        return response;
    }
    const auto not_run = outcome.m_kind == outcome_kind::not_run;
    const auto status = not_run ? not_run_status(outcome.m_reason) : http::status::gateway_timeout;
    auto text = outcome.m_detail.empty() ? reason_text(outcome.m_reason) : outcome.m_detail;
    auto response = findings_response(status, findings{"request", std::move(text)});
    response.set("X-Outcome", not_run ? "not-run" : "unknown");
    if (status == http::status::service_unavailable) {
        const auto wait = std::max(std::chrono::ceil<seconds>(outcome.m_retry_after), seconds{1});
        response.set(http::field::retry_after, std::to_string(wait.count()));
    }
    return response;
}

auto not_run_response(const http::status status, const findings& found) -> http_response
{
    auto response = findings_response(status, found);
    response.set("X-Outcome", "not-run");
    return response;
}

auto to_string(const outcome_kind kind) -> std::string_view
{
    switch (kind) {
    case outcome_kind::answered:
        return "answered";
    case outcome_kind::not_run:
        return "not-run";
    case outcome_kind::unknown:
        break;
    }
    return "unknown";
}

} // namespace cicadalug
