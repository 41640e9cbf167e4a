#include <cicadalug/request/request_telemetry.hpp>

#include <chrono>
#include <random>
#include <utility>

namespace cicadalug {

namespace {

[[nodiscard]] auto wall_time() -> span_time
{
    return std::chrono::time_point_cast<std::chrono::nanoseconds>(std::chrono::system_clock::now());
}

} // namespace

auto begin_span(const std::string_view name, const std::optional<trace_context>& parent) -> span
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    span begun;
    begun.m_context = parent ? child_of(*parent, random) : new_trace(random);
    begun.m_parent = parent;
    begun.m_name = name;
    begun.m_begin = wall_time();
    return begun;
}

auto end_span(const request_telemetry& telemetry, span ended) -> void
{
    if (telemetry.m_add_span && ended.m_context.m_sampled) {
        ended.m_end = wall_time();
        telemetry.m_add_span(std::move(ended));
    }
}

auto to_string(const attempt_outcome outcome) -> std::string_view
{
    switch (outcome) {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::no_slot:
        return "no_slot";
    case attempt_outcome::leaving:
        return "leaving";
    case attempt_outcome::connect_failed:
        return "connect_failed";
    case attempt_outcome::never_runs:
        return "never_runs";
    case attempt_outcome::failed:
        return "failed";
    case attempt_outcome::timed_out:
        return "silent";
    case attempt_outcome::connection_lost:
        return "connection_lost";
    case attempt_outcome::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace cicadalug
