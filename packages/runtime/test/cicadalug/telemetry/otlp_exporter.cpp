#include <cicadalug/http/http_server.hpp>
#include <cicadalug/telemetry/otlp_exporter.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace cicadalug;

[[nodiscard]] auto fast_settings(const tcp_endpoint collector) -> otlp_settings
{
    otlp_settings settings;
    settings.m_collector = collector;
    settings.m_entry_vm = "e1";
    settings.m_queue_limit = 4;
    settings.m_batch_limit = 2;
    settings.m_interval = milliseconds{10};
    return settings;
}

[[nodiscard]] auto named_span(std::string name) -> span
{
    std::mt19937_64 random{1};
    span item;
    item.m_context = new_trace(random);
    item.m_name = std::move(name);
    item.m_attributes = {{"team", "\xff"}};
    return item;
}

// Guards against spans that are lost, duplicated or reordered when they are exported in several batches.
TEST(otlp_exporter, collector_receives_the_spans)
{
    asio::io_context context;
    std::string names;
    const auto collect = [&names](http_exchange& exchange) -> asio::awaitable<void> {
        const auto body = nlohmann::json::parse(exchange.request().body());
        for (const auto& item : body["resourceSpans"][0]["scopeSpans"][0]["spans"]) {
            names += item["name"].get<std::string>();
        }
        return exchange.respond(json_response(http::status::ok, nlohmann::json::object()));
    };
    const http_server collector{context, {asio::ip::address_v4::loopback(), 0}, {}, collect};
    otlp_exporter exporter{context, fast_settings(collector.endpoint())};
    for (const auto* name : {"a", "b", "c"}) {
        exporter.add(named_span(name));
    }
    context.run_for(milliseconds{300});
    EXPECT_EQ(names, "abc");
    EXPECT_EQ(exporter.exported(), 3U);
    EXPECT_EQ(exporter.dropped(), 0U);
}

// Guards against unbounded queueing of spans, or blocked requests, while the collector is down.
TEST(otlp_exporter, drops_and_counts_when_the_collector_is_down)
{
    asio::io_context context;
    tcp_endpoint unused;
    {
        asio::ip::tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
        unused = acceptor.local_endpoint();
    }
    otlp_exporter exporter{context, fast_settings(unused)};
    for (int i = 0; i < 10; ++i) {
        exporter.add(named_span("a"));
    }
    EXPECT_EQ(exporter.dropped(), 6U);
    context.run_for(milliseconds{300});
    EXPECT_EQ(exporter.dropped(), 10U);
    EXPECT_EQ(exporter.exported(), 0U);
}

} // namespace
