#include <cicadalug/api/resource_api.hpp>
#include <cicadalug/api/status_api.hpp>
#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/control/control_loop.hpp>
#include <cicadalug/entry_vm/entry_vm.hpp>
#include <cicadalug/membership/control_keeper.hpp>
#include <cicadalug/membership/membership_service.hpp>
#include <cicadalug/platform/http_platform_client.hpp>
#include <cicadalug/replication/peer_sync.hpp>
#include <cicadalug/replication/replica.hpp>
#include <cicadalug/replication/snapshot.hpp>
#include <cicadalug/replication/zone_watcher.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>
#include <utility>
#include <vector>

namespace cicadalug {

namespace {

/** @brief Time for requests in flight to end in a graceful shutdown. */
constexpr milliseconds drain_limit{30'000};
constexpr milliseconds drain_check_interval{50};

/** @brief Endpoints of the settings. */
struct endpoints {
    tcp_endpoint m_listen;
    tcp_endpoint m_platform;
    udp_endpoint m_datagram;
};

[[nodiscard]] auto parse_endpoints(const entry_vm_settings& settings, findings& found) -> endpoints
{
    const auto datagram = parse_endpoint(settings.m_datagram_listen, "datagram_listen", found);
    endpoints parsed{parse_endpoint(settings.m_listen, "listen", found),
                     parse_endpoint(settings.m_platform, "platform", found),
                     {datagram.address(), datagram.port()}};
    for (const auto& info : settings.m_entry_vms) {
        static_cast<void>(parse_endpoint(info.m_address, "entry_vms." + info.m_id.str() + ".address", found));
        static_cast<void>(
            parse_endpoint(info.m_datagram_address, "entry_vms." + info.m_id.str() + ".datagram_address", found));
    }
    if (settings.m_id.empty()) {
        found.add("id", "is missing");
    }
    if (settings.m_availability_zone.empty()) {
        found.add("availability_zone", "is missing");
    }
    return parsed;
}

/** @brief Makes the incarnation of this process. There is no disk to count starts on, so it is the time in
 * microseconds. */
[[nodiscard]] auto make_incarnation() -> incarnation
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return incarnation{
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count())};
}

[[nodiscard]] auto text_response(const http::status status, const std::string& text) -> http_response
{
    http_response response{status, 11};
    response.set(http::field::content_type, "text/plain");
    response.body() = text + '\n';
    response.prepare_payload();
    return response;
}

/** @brief Tells the control loop that this entry VM sends nothing to upstreams: it has no request path yet. */
[[nodiscard]] auto no_requests() -> control_sources
{
    return {[](const vm_id& /*vm*/) { return false; }, [] { return std::set<vm_id>{}; },
            [] {
                return std::map<pool_id, int>{};
            }};
}

} // namespace

class entry_vm::parts {
public:
    parts(entry_vm_settings settings, const endpoints& addresses);

    auto run() -> void;

private:
    auto connect_parts() -> void;
    [[nodiscard]] auto handle(http_exchange& exchange) -> asio::awaitable<void>;
    [[nodiscard]] auto answer(const http_target& target) const -> http_response;
    [[nodiscard]] auto shut_down() -> asio::awaitable<void>;

    const entry_vm_settings m_settings;
    asio::io_context m_context;
    const asio::any_io_executor m_strand{asio::make_strand(m_context)};
    const incarnation m_incarnation{make_incarnation()};
    write_id_source m_ids;
    http_platform_client m_platform;
    replica m_replica;
    membership_service m_members;
    control_keeper m_control;
    zone_watcher m_watcher;
    control_loop m_loop;
    peer_sync m_sync;
    resource_api m_resources;
    time_point m_last_confirmation;
    std::atomic<bool> m_stopping{false};
    http_server m_server;
};

entry_vm::parts::parts(entry_vm_settings settings, const endpoints& addresses)
    : m_settings{std::move(settings)}, m_ids{m_settings.m_id, m_incarnation}, m_platform{m_context.get_executor(),
                                                                                         addresses.m_platform,
                                                                                         {}},
      m_replica{m_settings.m_availability_zone}, m_members{m_strand, m_settings, addresses.m_datagram, m_incarnation},
      m_control{m_strand, m_platform, m_ids, m_settings.m_id, m_settings.m_availability_zone, m_settings.m_control},
      m_watcher{m_strand,
                m_platform,
                m_ids,
                m_replica,
                m_members,
                m_settings.m_availability_zone,
                m_settings.m_list_interval},
      m_loop{m_strand,
             m_platform,
             m_ids,
             m_replica,
             m_members,
             m_settings.m_availability_zone,
             m_settings.m_list_interval,
             no_requests()},
      m_sync{m_strand, m_platform, m_replica, m_members, m_settings.m_availability_zone},
      m_resources{m_platform, m_ids, m_replica, m_members}, m_server{m_context,
                                                                     addresses.m_listen,
                                                                     {},
                                                                     [this](http_exchange& exchange) {
                                                                         return handle(exchange);
                                                                     }}
{
    connect_parts();
}

auto entry_vm::parts::connect_parts() -> void
{
    m_members.set_heartbeat_source([this](const auto& zone, auto& filled) {
        m_sync.fill(zone, filled);
        filled.m_control_epoch = m_control.announced_epoch();
    });
    m_members.on_datagram([this](const auto& message) { m_sync.receive(message); });
    m_members.on_datagram([this](const auto& message) { m_loop.receive(message); });
    m_members.on_pause([this](const auto /*pause*/) { m_control.paused(monotonic_now()); });
    m_members.on_tick([this](const auto now) {
        if (!m_stopping) {
            m_control.tick(m_members.table(), now);
        }
        if (now - m_last_confirmation >= heartbeat_interval) {
            m_last_confirmation = now;
            m_loop.confirm_drains();
        }
    });
    m_control.on_control(
        [this](const auto held) {
            m_watcher.begin();
            m_loop.begin(held);
        },
        [this] {
            m_watcher.end();
            m_loop.end();
        });
    m_replica.subscribe([this](const auto& /*view*/, const auto& changed) {
        for (const auto& entry : changed) {
            if (entry.m_key == list_key(m_settings.m_availability_zone)) {
                m_members.apply_platform_list(parse_platform_list(entry.m_value.m_value).m_entry_vms);
            }
        }
    });
}

auto entry_vm::parts::answer(const http_target& target) const -> http_response
{
    if (target.m_path == "/healthz") {
        return text_response(http::status::ok, "ok");
    }
    if (target.m_path == "/readyz") {
        const auto ready = m_replica.loaded() && !m_stopping;
        return ready ? text_response(http::status::ok, "ready")
                     : text_response(http::status::service_unavailable, "not ready");
    }
    if (target.m_path == snapshot_path) {
        return snapshot_response(m_replica, m_settings.m_availability_zone, target);
    }
    if (target.m_path == "/v1/status") {
        return json_response(http::status::ok, status_json(m_members, m_replica, m_control.announced_epoch()));
    }
    if (target.m_path == "/v1/vms") {
        return json_response(http::status::ok, vms_json(*m_replica.view()));
    }
    return findings_response(http::status::not_found, findings{"target", "no such path: " + target.m_path});
}

auto entry_vm::parts::handle(http_exchange& exchange) -> asio::awaitable<void>
{
    const auto raw = exchange.request().target();
    const auto target = parse_target({raw.data(), raw.size()});
    if (target.m_path.starts_with("/v1/resources/")) {
        co_await m_resources.handle(exchange, target);
    }
    else if (target.m_path == "/v1/watch") {
        co_await m_resources.watch(exchange, target);
    }
    else {
        co_await exchange.respond(answer(target));
    }
}

auto entry_vm::parts::shut_down() -> asio::awaitable<void>
{
    LOG(INFO) << "event=shutdown_begins entry_vm=" << m_settings.m_id;
    m_stopping = true;
    asio::steady_timer timer{m_strand, m_settings.m_balancer_delay};
    co_await timer.async_wait(asio::use_awaitable);
    m_resources.end_watches();
    m_server.drain();
    const auto limit = monotonic_now() + drain_limit;
    while (m_server.requests_in_flight() > 0 && monotonic_now() < limit) {
        timer.expires_after(drain_check_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_await m_control.give_up();
    m_context.stop();
}

auto entry_vm::parts::run() -> void
{
    m_members.start();
    asio::co_spawn(m_strand, m_sync.load(), asio::detached);
    asio::signal_set signals{m_context, SIGTERM, SIGINT};
    signals.async_wait([this](const auto& error, int) {
        if (!error) {
            asio::co_spawn(m_strand, shut_down(), asio::detached);
        }
    });
    LOG(INFO) << "event=started entry_vm=" << m_settings.m_id << " zone=" << m_settings.m_availability_zone
              << " incarnation=" << m_incarnation << " listen=" << m_server.endpoint();
    std::vector<std::thread> workers;
    for (int count = 1; count < std::max(1, m_settings.m_threads); ++count) {
        workers.emplace_back([this] { m_context.run(); });
    }
    m_context.run();
    for (auto& worker : workers) {
        worker.join();
    }
    LOG(INFO) << "event=stopped entry_vm=" << m_settings.m_id;
}

entry_vm::entry_vm(std::unique_ptr<parts> made) : m_parts{std::move(made)} {}

entry_vm::~entry_vm() = default;

auto entry_vm::make(entry_vm_settings settings) -> result<std::unique_ptr<entry_vm>>
{
    findings found;
    const auto addresses = parse_endpoints(settings, found);
    if (!found.empty()) {
        return found;
    }
    try {
        return std::unique_ptr<entry_vm>{new entry_vm{std::make_unique<parts>(std::move(settings), addresses)}};
    }
    catch (const boost::system::system_error& error) {
        return findings{"listen", error.what()};
    }
}

auto entry_vm::run() -> void
{
    m_parts->run();
}

} // namespace cicadalug
