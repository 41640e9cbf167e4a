#ifndef CICADALUG_TELEMETRY_TRACE_CONTEXT_HPP
#define CICADALUG_TELEMETRY_TRACE_CONTEXT_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Trace context as carried by the W3C traceparent header. */
struct trace_context {
    /** @brief Identifies the trace; not all zero. */
    std::array<std::uint8_t, 16> m_trace_id{};
    /** @brief Identifies the span; not all zero. */
    std::array<std::uint8_t, 8> m_span_id{};
    /** @brief True if the caller records the trace. */
    bool m_sampled{true};

    [[nodiscard]] friend auto operator==(const trace_context&, const trace_context&) -> bool = default;
};

/**
 * @brief Parses the value of a traceparent header.
 * @param text Header value, for example "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01".
 * @return The context, or nothing if the value is malformed; the caller then starts a new trace.
 */
[[nodiscard]] auto parse_traceparent(std::string_view text) -> std::optional<trace_context>;

/**
 * @brief Formats a context as the value of a traceparent header.
 * @param context Context to format.
 * @return Header value of 55 characters.
 */
[[nodiscard]] auto to_traceparent(const trace_context& context) -> std::string;

/**
 * @brief Starts a new trace.
 * @param random Random generator for the identifiers.
 * @return A context with new identifiers.
 */
[[nodiscard]] auto new_trace(std::mt19937_64& random) -> trace_context;

/**
 * @brief Returns the context of a new child span.
 * @param parent Context of the parent span.
 * @param random Random generator for the span id.
 * @return Context in the same trace with a new span id.
 */
[[nodiscard]] auto child_of(const trace_context& parent, std::mt19937_64& random) -> trace_context;

/**
 * @brief Formats bytes as lower-case hexadecimal digits.
 * @param first First byte.
 * @param size Number of bytes.
 * @return Two digits for each byte.
 */
[[nodiscard]] auto to_hex(const std::uint8_t* first, std::size_t size) -> std::string;

} // namespace cicadalug

#endif
