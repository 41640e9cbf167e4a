#include <cicadalug/entry_vm/entry_vm.hpp>
#include <cicadalug/http/http_server.hpp>
#include <cicadalug/request/request_path.hpp>
#include <cicadalug/request/static_fleet.hpp>
#include <cicadalug/settings/settings.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cicadalug;

/** @brief Time in which requests on open connections arrive that were under way when the server stopped to listen. */
constexpr milliseconds last_requests_delay{50};

struct daemon_options {
    std::string m_settings_file;
    bool m_check{false};
    std::string m_listen{"127.0.0.1:8080"};
    std::string m_id{"entry-1"};
    std::string m_zone{"zone-1"};
    std::vector<std::string> m_upstreams;
    std::vector<std::string> m_services{"quotes"};
    std::vector<std::string> m_peers;
    int m_slots{8};
    int m_threads{2};
    int m_drain_delay_ms{0};
};

[[nodiscard]] auto parse_options(CLI::App& app, daemon_options& options, int argc, char** argv) -> int
{
    app.add_option("--settings", options.m_settings_file, "YAML file with the settings");
    app.add_flag("--check", options.m_check, "Validate the settings and exit: 0 without findings, 2 with findings")
        ->needs("--settings");
    app.add_option("--listen", options.m_listen, "Address and port");
    app.add_option("--id", options.m_id, "Name of this entry VM");
    app.add_option("--zone", options.m_zone, "Availability zone of this entry VM");
    app.add_option("--upstream", options.m_upstreams, "Address and port of an upstream");
    app.add_option("--service", options.m_services, "Service that callers may name");
    app.add_option("--peer", options.m_peers, "Another entry VM of the zone, as id=address:port");
    app.add_option("--slots", options.m_slots, "Slots of each upstream");
    app.add_option("--threads", options.m_threads, "Worker threads")->check(CLI::Range(1, 64));
    app.add_option("--drain-delay-ms", options.m_drain_delay_ms,
                   "Time between the failing of /readyz and the end of listening, for the load balancer to notice");
    CLI11_PARSE(app, argc, argv);
    return -1;
}

/** @brief Runs an entry VM until it is told to stop, or only checks its settings. @return Exit code of the program. */
[[nodiscard]] auto run_entry_vm(const daemon_options& options) -> int
{
    const auto read = load_settings(options.m_settings_file);
    if (!read) {
        std::cerr << read.assume_error().to_string() << '\n';
        return 2;
    }
    if (options.m_check) {
        std::cout << options.m_settings_file << ": no findings\n";
        return 0;
    }
    const auto made = entry_vm::make(read.assume_value());
    if (!made) {
        std::cerr << made.assume_error().to_string() << '\n';
        return 2;
    }
    made.assume_value()->run();
    return 0;
}

[[nodiscard]] auto parse_peers(const daemon_options& options, findings& found) -> std::vector<peer_entry_vm>
{
    std::vector<peer_entry_vm> peers;
    for (const auto& text : options.m_peers) {
        const auto split = text.find('=');
        if (split == std::string::npos) {
            found.add("--peer", "is not id=address:port: " + text);
            continue;
        }
        peers.push_back({entry_vm_id{text.substr(0, split)},
                         availability_zone_id{options.m_zone},
                         {},
                         parse_endpoint(text.substr(split + 1), "--peer", found),
                         true});
    }
    return peers;
}

[[nodiscard]] auto start_number() -> incarnation
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return incarnation{static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count())};
}

[[nodiscard]] auto pause(const milliseconds duration) -> asio::awaitable<void>
{
    asio::steady_timer timer{co_await asio::this_coro::executor, duration};
    co_await timer.async_wait(asio::use_awaitable);
}

/** @brief Ends the process without cutting a request: the balancer first, then the callers, then the upstreams. */
[[nodiscard]] auto stop_gracefully(asio::io_context& context, http_server& server, request_path& requests,
                                   std::atomic<bool>& ready, const milliseconds delay) -> asio::awaitable<void>
{
    ready = false;
    server.stop_keep_alive();
    co_await pause(delay);
    server.drain();
    co_await pause(last_requests_delay);
    while (server.requests_in_flight() > 0) {
        co_await pause(milliseconds{10});
    }
    co_await requests.drain();
    context.stop();
}

[[nodiscard]] auto answer_health(http_exchange& exchange, const bool ready) -> asio::awaitable<void>
{
    const auto healthy = ready || exchange.request().target() == "/healthz";
    http_response response{healthy ? http::status::ok : http::status::service_unavailable, 11};
    response.prepare_payload();
    co_await exchange.respond(std::move(response));
}

} // namespace

auto main(int argc, char** argv) -> int
{
    daemon_options options;
    CLI::App app{"cicadalugd: routes callers' work to upstreams"};
    if (const auto code = parse_options(app, options, argc, argv); code >= 0) {
        return code;
    }
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    if (!options.m_settings_file.empty()) {
        return run_entry_vm(options);
    }
    findings found;
    const auto endpoint = parse_endpoint(options.m_listen, "--listen", found);
    const auto peers = parse_peers(options, found);
    static_fleet fleet{availability_zone_id{options.m_zone}, {}, options.m_upstreams, options.m_slots};
    for (const auto& upstream : options.m_upstreams) {
        [[maybe_unused]] const auto checked = parse_endpoint(upstream, "--upstream", found);
    }
    for (const auto& service : options.m_services) {
        fleet.m_services.emplace_back(service);
    }
    if (!found.empty()) {
        std::cerr << found.to_string() << '\n';
        return 2;
    }
    asio::io_context context{options.m_threads};
    const routing_settings settings{entry_vm_id{options.m_id}, start_number(), fleet.m_availability_zone};
    request_path requests{context, {}, routing_state{settings}};
    requests.apply_peers(peers);
    if (!options.m_upstreams.empty()) {
        requests.apply_view(make_view(fleet));
    }
    std::atomic<bool> ready{true};
    http_server server{context, endpoint, {}, [&](http_exchange& exchange) {
                           const auto target = exchange.request().target();
                           if (target == "/healthz" || target == "/readyz") {
                               return answer_health(exchange, ready && requests.is_configured());
                           }
                           return request_path::is_forwarded({target.data(), target.size()})
                                      ? requests.handle_forwarded(exchange)
                                      : requests.handle(exchange);
                       }};
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error) {
            asio::co_spawn(asio::make_strand(context),
                           stop_gracefully(context, server, requests, ready, milliseconds{options.m_drain_delay_ms}),
                           asio::detached);
        }
    });
    std::vector<std::thread> threads;
    for (int index = 1; index < options.m_threads; ++index) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (auto& thread : threads) {
        thread.join();
    }
    return 0;
}
