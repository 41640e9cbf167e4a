#include "platform_store.hpp"

#include <cicadalug/http/http_server.hpp>
#include <cicadalug/http/target.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <string>

// Stand-in for the platform: key-value service and list of VMs on one HTTP port. POST /control sets the faults to
// inject; GET /control returns the faults and the counters. A single thread runs all of it, so the state needs no lock.

namespace {

using namespace cicadalug;
using namespace cicadalug::standin;
using nlohmann::json;

constexpr milliseconds watch_progress_interval{1'000};
constexpr milliseconds expiry_check_interval{50};

struct injected_faults {
    bool m_outage{false};
    int m_delay_ms{0};
    /** @brief Number of further successful writes whose response is dropped after the write took effect. */
    int m_lost_responses{0};
};

class platform {
public:
    platform(asio::io_context& context, platform_store& store) : m_context{context}, m_store{store} {}

    [[nodiscard]] auto handle(http_exchange& exchange) -> asio::awaitable<void>
    {
        const auto target = parse_target({exchange.request().target().data(), exchange.request().target().size()});
        if (target.m_path == "/control" || target.m_path == "/control/vms") {
            co_await handle_control(exchange, target);
            co_return;
        }
        ++m_calls;
        if (m_faults.m_delay_ms > 0) {
            asio::steady_timer timer{m_context, milliseconds{m_faults.m_delay_ms}};
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (m_faults.m_outage) {
            exchange.drop();
            co_return;
        }
        if (target.m_path == "/watch") {
            co_await watch(exchange, target);
            co_return;
        }
        auto result = execute(exchange.request(), target);
        const auto is_write = exchange.request().method() == http::verb::put && result.m_status == 200;
        if (is_write && m_faults.m_lost_responses > 0) {
            --m_faults.m_lost_responses;
            exchange.drop();
            co_return;
        }
        auto response = json_response(static_cast<http::status>(result.m_status), result.m_body);
        if (target.m_path == "/vms") {
            set_entity_tag(exchange.request(), response);
        }
        co_await exchange.respond(std::move(response));
    }

    [[nodiscard]] auto expire_leases() -> asio::awaitable<void>
    {
        asio::steady_timer timer{m_context};
        while (true) {
            timer.expires_after(expiry_check_interval);
            co_await timer.async_wait(asio::use_awaitable);
            m_store.expire(platform_store::clock::now());
        }
    }

private:
    /** @brief Sets the entity tag of a body, and omits the body with status 304 if the request names the same tag. */
    static auto set_entity_tag(const http_request& request, http_response& response) -> void
    {
        const auto tag = '"' + std::to_string(std::hash<std::string>{}(response.body())) + '"';
        if (request[http::field::if_none_match] == tag) {
            response.result(http::status::not_modified);
            response.body().clear();
            response.prepare_payload();
        }
        response.set(http::field::etag, tag);
    }

    [[nodiscard]] auto execute(const http_request& request, const http_target& target) -> store_response
    {
        const auto now = platform_store::clock::now();
        const auto body = json::parse(request.body(), nullptr, false);
        const auto& path = target.m_path;
        const auto method = request.method();
        if (path == "/kv" && method == http::verb::get) {
            const auto prefix = target.m_query.find("prefix");
            return m_store.range(prefix == target.m_query.end() ? std::string{} : prefix->second);
        }
        if (path.rfind("/kv/", 0) == 0) {
            const auto key = path.substr(4);
            return method == http::verb::put ? m_store.put(key, body) : m_store.get(key);
        }
        if (path == "/leases" && method == http::verb::post) {
            return m_store.grant_lease(body, now);
        }
        if (path.rfind("/leases/", 0) == 0) {
            auto id = path.substr(8);
            const auto slash = id.find('/');
            id.resize(slash == std::string::npos ? id.size() : slash);
            return method == http::verb::delete_ ? m_store.revoke_lease(id) : m_store.keep_alive(id, now);
        }
        if (path == "/vms" && method == http::verb::get) {
            const auto zone = target.m_query.find("availability_zone");
            return m_store.list_vms(zone == target.m_query.end() ? std::string{} : zone->second, now);
        }
        if (path.rfind("/vms/", 0) == 0 && method == http::verb::post) {
            return m_store.reboot(path.substr(5, path.rfind('/') - 5), now);
        }
        return {404, {{"error", "no such path"}}};
    }

    [[nodiscard]] auto watch(http_exchange& exchange, const http_target& target) -> asio::awaitable<void>
    {
        const auto prefix = target.m_query.count("prefix") != 0 ? target.m_query.at("prefix") : std::string{};
        auto after = static_cast<std::uint64_t>(query_number(target, "after", 0));
        ++m_waiting_watches;
        auto open = co_await exchange.begin_stream("application/x-ndjson");
        while (open && !m_faults.m_outage) {
            const auto lines = m_store.changes_after(prefix, after);
            after = std::max(after, m_store.revision());
            open = co_await exchange.write_chunk(lines + progress(after));
            co_await m_store.wait_for_change(m_context, prefix, after, watch_progress_interval);
        }
        --m_waiting_watches;
        exchange.drop();
    }

    [[nodiscard]] auto handle_control(http_exchange& exchange, const http_target& target) -> asio::awaitable<void>
    {
        if (exchange.request().method() == http::verb::post) {
            const auto body = json::parse(exchange.request().body(), nullptr, false);
            if (!body.is_object()) {
                co_await exchange.respond(
                    findings_response(http::status::bad_request, findings{"body", "is not an object"}));
                co_return;
            }
            if (target.m_path == "/control/vms") {
                m_store.update_vm(body, platform_store::clock::now());
            }
            else {
                m_faults.m_outage = body.value("outage", m_faults.m_outage);
                m_faults.m_delay_ms = body.value("delay_ms", m_faults.m_delay_ms);
                m_faults.m_lost_responses = body.value("lost_answers", m_faults.m_lost_responses);
                m_store.set_list_lag(milliseconds{body.value("list_lag_ms", m_store.list_lag().count())});
                m_store.set_reboot_time(milliseconds{body.value("reboot_ms", m_store.reboot_time().count())});
            }
        }
        co_await exchange.respond(json_response(http::status::ok, counts()));
    }

    [[nodiscard]] static auto progress(const std::uint64_t revision) -> std::string
    {
        return json{{"revision", revision}}.dump() + '\n';
    }

    [[nodiscard]] auto counts() const -> json
    {
        return {{"calls", m_calls},
                {"waiting_watches", m_waiting_watches},
                {"revision", m_store.revision()},
                {"outage", m_faults.m_outage},
                {"delay_ms", m_faults.m_delay_ms},
                {"lost_answers", m_faults.m_lost_responses}};
    }

    asio::io_context& m_context;
    platform_store& m_store;
    injected_faults m_faults;
    std::uint64_t m_calls{0};
    int m_waiting_watches{0};
};

[[nodiscard]] auto load_json(const std::string& path) -> json
{
    std::ifstream file{path};
    return json::parse(file, nullptr, false);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    std::string listen{"127.0.0.1:0"};
    std::string vms;
    std::string state;
    CLI::App app{"Stand-in for the platform's key-value service and list of VMs"};
    app.add_option("--listen", listen, "Address and port");
    app.add_option("--vms", vms, "JSON file with the list of VMs")->check(CLI::ExistingFile);
    app.add_option("--state", state,
                   "JSON file that keeps the state for a restart; read at the start, written on SIGTERM or SIGINT");
    CLI11_PARSE(app, argc, argv);

    findings errors;
    const auto endpoint = parse_endpoint(listen, "--listen", errors);
    if (!errors.empty()) {
        std::cerr << errors.to_string() << '\n';
        return 2;
    }
    asio::io_context context{1};
    platform_store store;
    if (!vms.empty()) {
        store.set_vms(load_json(vms), platform_store::clock::now());
    }
    if (!state.empty()) {
        store.restore(load_json(state), platform_store::clock::now());
    }
    platform stand_in{context, store};
    http_server_limits limits;
    // JSON escaping can make a value of 1 MB six times as long.
    limits.m_body_bytes = 8'388'608;
    const http_server server{context, endpoint, limits, [&stand_in](http_exchange& exchange) {
                                 return stand_in.handle(exchange);
                             }};
    asio::co_spawn(context, stand_in.expire_leases(), asio::detached);
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    context.run();
    if (!state.empty()) {
        std::ofstream{state} << store.save().dump();
    }
    return 0;
}
