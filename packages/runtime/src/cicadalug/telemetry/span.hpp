#ifndef CICADALUG_TELEMETRY_SPAN_HPP
#define CICADALUG_TELEMETRY_SPAN_HPP

#include <cicadalug/telemetry/trace_context.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Wall-clock time of a span, in nanoseconds since the Unix epoch. */
using span_time = std::chrono::sys_time<std::chrono::nanoseconds>;

/** @brief Attribute of a span. */
struct span_attribute {
    std::string m_name;
    std::string m_value;
};

/** @brief One finished operation (hop) of a trace. */
struct span {
    trace_context m_context;
    /** @brief Context of the caller's span; nothing for the root span of a trace. */
    std::optional<trace_context> m_parent;
    std::string m_name;
    span_time m_begin;
    span_time m_end;
    std::vector<span_attribute> m_attributes;
    /** @brief True if the operation failed. */
    bool m_failed{false};
};

/**
 * @brief Creates the JSON body of an OTLP/HTTP export request.
 * @param spans Spans to export.
 * @param entry_vm Value of the resource attribute "service.instance.id".
 * @return An ExportTraceServiceRequest as JSON.
 */
[[nodiscard]] auto otlp_request(std::span<const span> spans, const std::string& entry_vm) -> nlohmann::json;

} // namespace cicadalug

#endif
