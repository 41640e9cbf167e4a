#include <cicadalug/http/http_server.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>

// Stand-in for an upstream worker: slots, run time, faults that are set through a control port, and a log of all
// executions, against which tests check the responses that callers received. All of it runs on one thread.

namespace {

using namespace cicadalug;

/**
 * @brief How the stand-in handles requests; the control port changes it at run time.
 *
 * The names of the members, without the prefix m_, are the JSON keys that the control port accepts.
 */
struct upstream_behaviour {
    int m_slots{8};
    int m_run_ms{20};
    /** @brief Delay between the end of the run, when the slot is free again, and the response. */
    int m_late_ms{0};
    /** @brief Responds to each request with status 500 immediately; POST requests are logged as executed. */
    bool m_fail{false};
    /** @brief Refuses new work with the reason "leaving". */
    bool m_leaving{false};
    /** @brief Refuses each request as one that can never run. */
    bool m_never_runs{false};
    /**
     * @brief How responses are truncated, empty for not at all. Half of the body is sent: "length" with the content
     * length of the whole body, "chunked" without the last chunk, "close" without a content length.
     */
    std::string m_cut;
    /** @brief Sends the response to the previous request, with its id and body. */
    bool m_crossed{false};
    /** @brief Sends each response twice, so that an unexpected one arrives on the idle connection. */
    bool m_twice{false};
    /** @brief Accepts requests and never responds, on open and on new connections. */
    bool m_silent{false};
    /** @brief Runs the POST requests to which it never responds. */
    bool m_silent_runs{false};
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(upstream_behaviour, m_slots, m_run_ms, m_late_ms, m_fail, m_leaving,
                                                m_never_runs, m_cut, m_crossed, m_twice, m_silent, m_silent_runs)

/** @brief Closes the connection of the exchange without sending more bytes. */
[[noreturn]] auto close_connection() -> void
{
    throw std::runtime_error{"the stand-in closes the connection"};
}

class upstream {
public:
    upstream(upstream_behaviour behaviour, std::string execution_log)
        : m_behaviour{std::move(behaviour)}, m_execution_log{std::move(execution_log)}
    {
    }

    [[nodiscard]] auto handle(http_exchange& exchange) -> asio::awaitable<void>
    {
        m_peers.insert(exchange.peer());
        const std::string id{exchange.request()["X-Request-Id"]};
        if (m_behaviour.m_silent || m_unresponsive_peers.contains(exchange.peer())) {
            ++m_unanswered;
            if (m_behaviour.m_silent_runs && exchange.request().method() == http::verb::post) {
                co_await run(id);
            }
            co_await wait_for_close(exchange);
            close_connection();
        }
        if (exchange.request().method() == http::verb::get) {
            ++m_probes;
            http_response health{m_behaviour.m_fail ? http::status::internal_server_error : http::status::ok, 11};
            health.prepare_payload();
            co_await exchange.respond(std::move(health));
            co_return;
        }
        if (const auto refusal = make_refusal()) {
            ++m_refused;
            co_await exchange.respond(*refusal);
            co_return;
        }
        if (m_behaviour.m_fail) {
            record_execution(id);
            http_response failed{http::status::internal_server_error, 11};
            failed.set("X-Request-Id", id);
            failed.body() = "failed " + id;
            failed.prepare_payload();
            co_await exchange.respond(std::move(failed));
            co_return;
        }
        co_await run(id);
        co_await pause(m_behaviour.m_late_ms);
        co_await send_response(exchange, id);
    }

    /** @brief Sets behaviour members from a JSON object, whose keys lack the prefix m_, and responds with the state. */
    [[nodiscard]] auto handle_control(http_exchange& exchange) -> asio::awaitable<void>
    {
        const auto changes = nlohmann::json::parse(exchange.request().body(), nullptr, false);
        nlohmann::json behaviour = m_behaviour;
        if (changes.is_object()) {
            for (const auto& [name, value] : changes.items()) {
                behaviour["m_" + name] = value;
            }
            m_behaviour = behaviour.get<upstream_behaviour>();
            if (changes.contains("silence_open")) {
                m_unresponsive_peers = changes["silence_open"].get<bool>() ? m_peers : std::set<tcp_endpoint>{};
            }
        }
        const nlohmann::json state{{"behaviour", behaviour}, {"executions", m_executions},
                                   {"running", m_running},   {"most_running", m_most_running},
                                   {"refused", m_refused},   {"swallowed", m_unanswered},
                                   {"probes", m_probes},     {"connections_seen", m_peers.size()}};
        co_await exchange.respond(json_response(http::status::ok, state));
    }

private:
    [[nodiscard]] auto make_refusal() const -> std::optional<http_response>
    {
        if (m_behaviour.m_never_runs) {
            http_response refusal{http::status::unprocessable_entity, 11};
            refusal.set("X-Never-Runs", "true");
            refusal.prepare_payload();
            return refusal;
        }
        if (!m_behaviour.m_leaving && m_running < m_behaviour.m_slots) {
            return std::nullopt;
        }
        http_response refusal{http::status::service_unavailable, 11};
        refusal.set("X-Not-Run", m_behaviour.m_leaving ? "leaving" : "no-slot");
        refusal.prepare_payload();
        return refusal;
    }

    [[nodiscard]] auto run(const std::string& id) -> asio::awaitable<void>
    {
        record_execution(id);
        m_most_running = std::max(m_most_running, ++m_running);
        co_await pause(m_behaviour.m_run_ms);
        --m_running;
    }

    [[nodiscard]] static auto pause(const int duration_ms) -> asio::awaitable<void>
    {
        if (duration_ms > 0) {
            asio::steady_timer timer{co_await asio::this_coro::executor, milliseconds{duration_ms}};
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    [[nodiscard]] static auto wait_for_close(http_exchange& exchange) -> asio::awaitable<void>
    {
        bool closed{false};
        exchange.on_peer_closed([&closed] { closed = true; });
        while (!closed) {
            co_await pause(50);
        }
    }

    [[nodiscard]] auto send_response(http_exchange& exchange, const std::string& id) -> asio::awaitable<void>
    {
        http_response response{http::status::ok, 11};
        response.set("X-Request-Id", id);
        response.body() = "done " + id + ' ' + exchange.request().body();
        response.prepare_payload();
        if (m_behaviour.m_crossed && m_previous) {
            response = *m_previous;
        }
        m_previous = response;
        const auto half = response.body().substr(0, response.body().size() / 2);
        if (m_behaviour.m_cut == "chunked") {
            if (co_await exchange.begin_stream("text/plain")) {
                [[maybe_unused]] const auto written = co_await exchange.write_chunk(half);
            }
            close_connection();
        }
        if (!m_behaviour.m_cut.empty()) {
            response.body() = half;
            if (m_behaviour.m_cut == "close") {
                response.erase(http::field::content_length);
            }
            co_await exchange.respond(std::move(response));
            close_connection();
        }
        co_await exchange.respond(response);
        if (m_behaviour.m_twice) {
            co_await exchange.respond(response);
        }
    }

    auto record_execution(const std::string& id) -> void
    {
        ++m_executions;
        if (!m_execution_log.empty()) {
            std::ofstream{m_execution_log, std::ios::app} << id << std::endl;
        }
    }

    upstream_behaviour m_behaviour;
    const std::string m_execution_log;
    int m_running{0};
    int m_most_running{0};
    int m_executions{0};
    int m_refused{0};
    int m_unanswered{0};
    int m_probes{0};
    std::optional<http_response> m_previous;
    std::set<tcp_endpoint> m_peers;
    std::set<tcp_endpoint> m_unresponsive_peers;
};

} // namespace

auto main(int argc, char** argv) -> int
{
    upstream_behaviour behaviour;
    std::string listen{"127.0.0.1:0"};
    std::string control_address;
    std::string execution_log;
    CLI::App app{"Stand-in for an upstream worker"};
    app.add_option("--listen", listen, "Address and port");
    app.add_option("--control", control_address,
                   "Address and port of the control port (POST a JSON object of changes)");
    app.add_option("--execution-log", execution_log,
                   "File to which the id of each executed request is appended, one per line");
    app.add_option("--slots", behaviour.m_slots, "Number of requests that run concurrently");
    app.add_option("--run-ms", behaviour.m_run_ms, "Run time of a request, in ms");
    app.add_option("--late-ms", behaviour.m_late_ms, "Time between the end of a run and its response, in ms");
    app.add_option("--cut", behaviour.m_cut, "Send only half of each response body: length, chunked or close");
    app.add_flag("--fail", behaviour.m_fail, "Fail each request immediately with status 500");
    app.add_flag("--leaving", behaviour.m_leaving, "Refuse new work with the reason \"leaving\"");
    app.add_flag("--never-runs", behaviour.m_never_runs, "Refuse each request as one that can never run");
    app.add_flag("--crossed", behaviour.m_crossed, "Send the response to the previous request");
    app.add_flag("--twice", behaviour.m_twice, "Send each response twice");
    app.add_flag("--silent", behaviour.m_silent, "Never respond");
    app.add_flag("--silent-runs", behaviour.m_silent_runs, "Run the requests to which it never responds");
    CLI11_PARSE(app, argc, argv);

    findings errors;
    const auto endpoint = parse_endpoint(listen, "--listen", errors);
    const auto control_endpoint =
        control_address.empty() ? tcp_endpoint{} : parse_endpoint(control_address, "--control", errors);
    if (!errors.empty()) {
        std::cerr << errors.to_string() << '\n';
        return 2;
    }
    asio::io_context context;
    upstream worker{behaviour, execution_log};
    const http_server server{context, endpoint, {}, [&worker](http_exchange& exchange) {
                                 return worker.handle(exchange);
                             }};
    std::optional<http_server> control_server;
    if (!control_address.empty()) {
        control_server.emplace(context, control_endpoint, http_server_limits{},
                               [&worker](http_exchange& exchange) { return worker.handle_control(exchange); });
    }
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    context.run();
    return 0;
}
