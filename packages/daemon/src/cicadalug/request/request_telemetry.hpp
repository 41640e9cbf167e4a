#ifndef CICADALUG_REQUEST_REQUEST_TELEMETRY_HPP
#define CICADALUG_REQUEST_REQUEST_TELEMETRY_HPP

#include <cicadalug/routing/attempt_outcome.hpp>
#include <cicadalug/telemetry/metrics.hpp>
#include <cicadalug/telemetry/span.hpp>
#include <cicadalug/telemetry/trace_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace cicadalug {

/** @brief Receivers of the spans and metrics of requests; either may be empty. */
struct request_telemetry {
    /** @brief Accepts a finished span without blocking. Called from any thread. */
    std::function<void(span)> m_add_span;
    std::shared_ptr<metrics> m_metrics;
};

/**
 * @brief Begins the span of a hop. W3C Trace Context requires a malformed traceparent to be ignored, so it is not an
 * error of the request.
 * @param name Name of the hop.
 * @param parent Trace context of the previous hop; without one a new trace is started.
 * @return The span, with its start time.
 */
[[nodiscard]] auto begin_span(std::string_view name, const std::optional<trace_context>& parent) -> span;

/**
 * @brief Ends a span and passes it to the telemetry.
 * @param telemetry Receiver of the span.
 * @param ended The span, with its attributes.
 */
auto end_span(const request_telemetry& telemetry, span ended) -> void;

/**
 * @brief Returns the name of an attempt outcome.
 * @param outcome The outcome.
 * @return Its name, for metrics and spans.
 */
[[nodiscard]] auto to_string(attempt_outcome outcome) -> std::string_view;

} // namespace cicadalug

#endif
