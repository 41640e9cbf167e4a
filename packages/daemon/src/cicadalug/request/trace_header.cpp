#include <cicadalug/request/trace_header.hpp>

#include <algorithm>
#include <cstdint>
#include <random>

namespace cicadalug {

namespace {

constexpr std::size_t traceparent_length{55};

[[nodiscard]] auto random_digits(const std::size_t count) -> std::string
{
    thread_local std::mt19937_64 engine{std::random_device{}()};
    std::string digits;
    while (digits.size() < count) {
        digits += "0123456789abcdef"[engine() & 0xfU];
    }
    return digits;
}

/** @brief Checks for lower-case hexadecimal digits that are not all zero. */
[[nodiscard]] auto is_id(const std::string_view text) -> bool
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos &&
           text.find_first_not_of('0') != std::string_view::npos;
}

} // namespace

auto continue_trace(const std::string_view traceparent) -> trace_header
{
    trace_header trace{random_digits(32), random_digits(16), "01"};
    if (traceparent.size() != traceparent_length || !traceparent.starts_with("00-") || traceparent[35] != '-' ||
        traceparent[52] != '-') {
        return trace;
    }
    const auto trace_id = traceparent.substr(3, 32);
    const auto flags = traceparent.substr(53);
    if (is_id(trace_id) && is_id(traceparent.substr(36, 16)) &&
        flags.find_first_not_of("0123456789abcdef") == std::string_view::npos) {
        trace.m_trace_id = trace_id;
        trace.m_flags = flags;
    }
    return trace;
}

auto to_string(const trace_header& trace) -> std::string
{
    return "00-" + trace.m_trace_id + '-' + trace.m_span_id + '-' + trace.m_flags;
}

} // namespace cicadalug
