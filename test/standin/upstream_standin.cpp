#include <cicadalug/http/http_server.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

// Stand-in for an upstream worker: slots, run time, and a log of each execution, against which tests check what callers
// were told.

namespace {

using namespace cicadalug;

struct upstream_options {
    std::string m_listen{"127.0.0.1:0"};
    int m_slots{8};
    int m_run_ms{20};
    std::string m_execution_log;
};

class upstream {
public:
    explicit upstream(upstream_options options) : m_options{std::move(options)} {}

    [[nodiscard]] auto handle(http_exchange& exchange) -> asio::awaitable<void>
    {
        if (m_running.fetch_add(1) >= m_options.m_slots) {
            --m_running;
            http_response refusal{http::status::service_unavailable, 11};
            refusal.set("X-Not-Run", "no-slot");
            refusal.prepare_payload();
            co_await exchange.respond(std::move(refusal));
            co_return;
        }
        const std::string id{exchange.request()["X-Request-Id"]};
        record(id);
        asio::steady_timer timer{co_await asio::this_coro::executor, milliseconds{m_options.m_run_ms}};
        co_await timer.async_wait(asio::use_awaitable);
        --m_running;
        http_response answer{http::status::ok, 11};
        answer.body() = "done " + id + ' ' + exchange.request().body();
        answer.prepare_payload();
        co_await exchange.respond(std::move(answer));
    }

private:
    auto record(const std::string& id) -> void
    {
        if (!m_options.m_execution_log.empty()) {
            const std::lock_guard lock{m_mutex};
            std::ofstream{m_options.m_execution_log, std::ios::app} << id << std::endl;
        }
    }

    upstream_options m_options;
    std::atomic<int> m_running{0};
    std::mutex m_mutex;
};

} // namespace

auto main(int argc, char** argv) -> int
{
    upstream_options options;
    CLI::App app{"Stand-in for an upstream worker"};
    app.add_option("--listen", options.m_listen, "Address and port");
    app.add_option("--slots", options.m_slots, "Requests that run at a time");
    app.add_option("--run-ms", options.m_run_ms, "Run time of a request, in ms");
    app.add_option("--execution-log", options.m_execution_log, "File that gets the id of each request that runs");
    CLI11_PARSE(app, argc, argv);

    findings found;
    const auto endpoint = parse_endpoint(options.m_listen, "--listen", found);
    if (!found.empty()) {
        std::cerr << found.to_string() << '\n';
        return 2;
    }
    asio::io_context context;
    upstream worker{options};
    const http_server server{context, endpoint, {}, [&worker](http_exchange& exchange) {
                                 return worker.handle(exchange);
                             }};
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    context.run();
    return 0;
}
