#include <cicadalug/http/http_connection.hpp>
#include <cicadalug/request/forwarder.hpp>

#include <utility>

namespace cicadalug {

namespace {

constexpr milliseconds upstream_timeout{30'000};

[[nodiscard]] auto outcome_response(const http_failure& failure) -> http_response
{
    const auto not_run = failure.m_progress == http_progress::not_sent;
    auto response = findings_response(not_run ? http::status::service_unavailable : http::status::gateway_timeout,
                                      findings{"upstream", failure.m_message});
    response.set("X-Outcome", not_run ? "not-run" : "unknown");
    return response;
}

} // namespace

forwarder::forwarder(std::vector<tcp_endpoint> upstreams) : m_upstreams{std::move(upstreams)} {}

auto forwarder::handle(http_exchange& exchange) -> asio::awaitable<void>
{
    if (m_upstreams.empty()) {
        co_await exchange.respond(outcome_response({http_progress::not_sent, false, "no upstream"}));
        co_return;
    }
    http_request request{http::verb::post, "/run", 11};
    request.set("X-Request-Id", exchange.request()["X-Request-Id"]);
    request.body() = exchange.request().body();
    const auto upstream = m_upstreams[m_next++ % m_upstreams.size()];
    auto answer =
        co_await http_fetch(co_await asio::this_coro::executor, upstream, std::move(request), upstream_timeout);
    if (!answer) {
        co_await exchange.respond(outcome_response(answer.assume_error()));
        co_return;
    }
    auto response = std::move(answer).assume_value();
    const auto not_run = !response["X-Not-Run"].empty();
    response.set("X-Outcome", not_run ? "not-run" : "answered");
    co_await exchange.respond(std::move(response));
}

} // namespace cicadalug
