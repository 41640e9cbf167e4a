#ifndef CICADALUG_REQUEST_TRACE_HEADER_HPP
#define CICADALUG_REQUEST_TRACE_HEADER_HPP

#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Value of a W3C traceparent header of version 00. */
struct trace_header {
    /** @brief 32 lower-case hexadecimal digits, not all zero. */
    std::string m_trace_id;
    /** @brief 16 lower-case hexadecimal digits, not all zero. */
    std::string m_span_id;
    /** @brief 2 hexadecimal digits. */
    std::string m_flags{"01"};
};

/**
 * @brief Continues the trace of a caller with a new span, or starts a trace. W3C asks to ignore a header that is not
 * valid, so such a header is no fault of the request.
 * @param traceparent Value of the caller's header, may be empty.
 * @return The trace with a new span id.
 */
[[nodiscard]] auto continue_trace(std::string_view traceparent) -> trace_header;

/**
 * @brief Formats a traceparent header.
 * @param trace The trace.
 * @return The value of the header.
 */
[[nodiscard]] auto to_string(const trace_header& trace) -> std::string;

} // namespace cicadalug

#endif
