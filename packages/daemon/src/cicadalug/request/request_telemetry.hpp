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

/** @brief Where spans and metrics of requests go; either may be left out. */
struct request_telemetry {
    /** @brief Takes a finished span without waiting. Called by any thread. */
    std::function<void(span)> m_add_span;
    std::shared_ptr<metrics> m_metrics;
};

/**
 * @brief Begins the span of a hop. W3C asks to ignore a malformed traceparent, so it is no fault of the request.
 * @param name Name of the hop.
 * @param parent Context of the hop before; nothing starts a trace.
 * @return The span, with its begin.
 */
[[nodiscard]] auto begin_span(std::string_view name, const std::optional<trace_context>& parent) -> span;

/**
 * @brief Ends a span and passes it on.
 * @param telemetry Where it goes.
 * @param ended The span, with its attributes.
 */
auto end_span(const request_telemetry& telemetry, span ended) -> void;

/**
 * @brief Returns the name of an attempt's outcome.
 * @param outcome The outcome.
 * @return Its name, for metrics and spans.
 */
[[nodiscard]] auto to_string(attempt_outcome outcome) -> std::string_view;

} // namespace cicadalug

#endif
