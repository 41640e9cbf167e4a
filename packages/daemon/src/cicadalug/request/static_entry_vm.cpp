#include <cicadalug/http/http_server.hpp>
#include <cicadalug/request/request_path.hpp>
#include <cicadalug/request/static_entry_vm.hpp>
#include <cicadalug/request/static_fleet.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

namespace cicadalug {

namespace {

/** @brief Time for requests that were in transit on open connections when the server stopped listening. */
constexpr milliseconds in_transit_delay{50};

[[nodiscard]] auto parse_peers(const static_entry_vm_settings& settings, findings& found) -> std::vector<peer_entry_vm>
{
    std::vector<peer_entry_vm> peers;
    for (const auto& text : settings.m_peers) {
        const auto split = text.find('=');
        if (split == std::string::npos) {
            found.add("--peer", "is not id=address:port: " + text);
            continue;
        }
        peers.push_back({entry_vm_id{text.substr(0, split)},
                         availability_zone_id{settings.m_zone},
                         {},
                         parse_endpoint(text.substr(split + 1), "--peer", found),
                         true});
    }
    return peers;
}

[[nodiscard]] auto make_incarnation() -> incarnation
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return incarnation{static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count())};
}

[[nodiscard]] auto sleep_for(const milliseconds duration) -> asio::awaitable<void>
{
    asio::steady_timer timer{co_await asio::this_coro::executor, duration};
    co_await timer.async_wait(asio::use_awaitable);
}

/** @brief Stops without aborting a request: informs the load balancer, then drains the callers, then the upstreams. */
[[nodiscard]] auto stop_gracefully(asio::io_context& context, http_server& server, request_path& requests,
                                   std::atomic<bool>& ready, const milliseconds delay) -> asio::awaitable<void>
{
    ready = false;
    server.stop_keep_alive();
    co_await sleep_for(delay);
    server.drain();
    co_await sleep_for(in_transit_delay);
    while (server.requests_in_flight() > 0) {
        co_await sleep_for(milliseconds{10});
    }
    co_await requests.drain();
    context.stop();
}

[[nodiscard]] auto respond_to_health_check(http_exchange& exchange, const bool ready) -> asio::awaitable<void>
{
    const auto healthy = ready || exchange.request().target() == "/healthz";
    http_response response{healthy ? http::status::ok : http::status::service_unavailable, 11};
    response.prepare_payload();
    co_await exchange.respond(std::move(response));
}

} // namespace

auto run_static_entry_vm(const static_entry_vm_settings& settings) -> findings
{
    findings found;
    const auto endpoint = parse_endpoint(settings.m_listen, "--listen", found);
    const auto peers = parse_peers(settings, found);
    static_fleet fleet{availability_zone_id{settings.m_zone}, {}, settings.m_upstreams, settings.m_slots};
    for (const auto& upstream : settings.m_upstreams) {
        [[maybe_unused]] const auto checked = parse_endpoint(upstream, "--upstream", found);
    }
    for (const auto& service : settings.m_services) {
        fleet.m_services.emplace_back(service);
    }
    if (!found.empty()) {
        return found;
    }
    asio::io_context context{settings.m_threads};
    const routing_settings routing{entry_vm_id{settings.m_id}, make_incarnation(), fleet.m_availability_zone};
    request_path requests{context, {}, routing_state{routing}};
    requests.apply_peers(peers);
    requests.apply_view(make_view(fleet));
    std::atomic<bool> ready{true};
    http_server server{context, endpoint, {}, [&](http_exchange& exchange) {
                           const auto target = exchange.request().target();
                           if (target == "/healthz" || target == "/readyz") {
                               return respond_to_health_check(exchange, ready && requests.is_configured());
                           }
                           return request_path::is_forwarded({target.data(), target.size()})
                                      ? requests.handle_forwarded(exchange)
                                      : requests.handle(exchange);
                       }};
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error) {
            asio::co_spawn(asio::make_strand(context),
                           stop_gracefully(context, server, requests, ready, settings.m_balancer_delay),
                           asio::detached);
        }
    });
    std::vector<std::thread> threads;
    for (int index = 1; index < settings.m_threads; ++index) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (auto& thread : threads) {
        thread.join();
    }
    return {};
}

} // namespace cicadalug
