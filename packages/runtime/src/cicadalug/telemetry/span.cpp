#include <cicadalug/telemetry/span.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace cicadalug {

namespace {

using nlohmann::json;

/** @brief Values of the OTLP enumerations SpanKind and StatusCode. */
constexpr int span_kind_server{2};
constexpr int status_ok{1};
constexpr int status_error{2};

[[nodiscard]] auto attribute(const std::string& name, const std::string& value) -> json
{
    return {{"key", name}, {"value", {{"stringValue", value}}}};
}

[[nodiscard]] auto to_text(const span_time time) -> std::string
{
    return std::to_string(time.time_since_epoch().count());
}

[[nodiscard]] auto to_json(const span& item) -> json
{
    auto attributes = json::array();
    for (const auto& [name, value] : item.m_attributes) {
        attributes.push_back(attribute(name, value));
    }
    const auto& context = item.m_context;
    json value{{"traceId", to_hex(context.m_trace_id.data(), context.m_trace_id.size())},
               {"spanId", to_hex(context.m_span_id.data(), context.m_span_id.size())},
               {"name", item.m_name},
               {"kind", span_kind_server},
               {"startTimeUnixNano", to_text(item.m_begin)},
               {"endTimeUnixNano", to_text(item.m_end)},
               {"attributes", std::move(attributes)},
               {"status", {{"code", item.m_failed ? status_error : status_ok}}}};
    if (item.m_parent) {
        value["parentSpanId"] = to_hex(item.m_parent->m_span_id.data(), item.m_parent->m_span_id.size());
    }
    return value;
}

} // namespace

auto otlp_request(const std::span<const span> spans, const std::string& entry_vm) -> json
{
    auto list = json::array();
    for (const auto& item : spans) {
        list.push_back(to_json(item));
    }
    const json resource{{"attributes", json::array({attribute("service.name", "cicadalugd"),
                                                    attribute("service.instance.id", entry_vm)})}};
    const json scope{{"scope", {{"name", "cicadalug"}}}, {"spans", std::move(list)}};
    return {{"resourceSpans", json::array({json{{"resource", resource}, {"scopeSpans", json::array({scope})}}})}};
}

} // namespace cicadalug
