#include <cicadalug/api/resource_api.hpp>
#include <cicadalug/api/status_api.hpp>
#include <cicadalug/api/wave_api.hpp>
#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/control/control_loop.hpp>
#include <cicadalug/entry_vm/entry_vm.hpp>
#include <cicadalug/entry_vm/request_wiring.hpp>
#include <cicadalug/membership/control_lease_manager.hpp>
#include <cicadalug/membership/membership_service.hpp>
#include <cicadalug/platform/http_platform_client.hpp>
#include <cicadalug/replication/kv_claim_store.hpp>
#include <cicadalug/replication/peer_sync.hpp>
#include <cicadalug/replication/replica.hpp>
#include <cicadalug/replication/snapshot.hpp>
#include <cicadalug/replication/zone_watcher.hpp>
#include <cicadalug/report/fleet_metrics.hpp>
#include <cicadalug/request/request_path.hpp>
#include <cicadalug/telemetry/metrics.hpp>
#include <cicadalug/telemetry/otlp_exporter.hpp>

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
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cicadalug {

namespace {

/** @brief Path prefix of the progress of each wave. */
constexpr std::string_view waves_path{"/v1/waves/"};
/** @brief Time limit for operators' requests to complete during a graceful shutdown. */
constexpr milliseconds operator_drain_limit{30'000};
constexpr milliseconds drain_check_interval{50};
/** @brief Interval between two reads of the platform's VM list by the control holder of a zone. */
constexpr milliseconds vm_list_interval{2'000};

template<typename Endpoint>
[[nodiscard]] auto endpoint_text(const Endpoint& endpoint) -> std::string
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

[[nodiscard]] auto own_info(const settings& given) -> entry_vm_info
{
    return {given.m_entry_vm, given.m_availability_zone, endpoint_text(given.m_operators),
            endpoint_text(given.m_datagrams)};
}

[[nodiscard]] auto peer_infos(const settings& given) -> std::vector<entry_vm_info>
{
    std::vector<entry_vm_info> infos;
    for (const auto& peer : given.m_peers) {
        infos.push_back({peer.m_entry_vm, peer.m_availability_zone, endpoint_text(peer.m_operators),
                         endpoint_text(peer.m_datagrams)});
    }
    return infos;
}

/**
 * @brief Makes the incarnation of this process from the current time in microseconds, because there is no disk on
 * which starts could be counted.
 */
[[nodiscard]] auto make_incarnation() -> incarnation
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return incarnation{
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count())};
}

[[nodiscard]] auto target_of(const http_exchange& exchange) -> http_target
{
    const auto raw = exchange.request().target();
    return parse_target({raw.data(), raw.size()});
}

/** @brief Creates the exporter of spans; returns null if the settings name no trace collector. */
[[nodiscard]] auto make_exporter(asio::io_context& context, const settings& given) -> std::unique_ptr<otlp_exporter>
{
    if (!given.m_trace_collector) {
        return nullptr;
    }
    otlp_settings exported;
    exported.m_collector = *given.m_trace_collector;
    exported.m_entry_vm = given.m_entry_vm.str();
    return std::make_unique<otlp_exporter>(context, exported);
}

[[nodiscard]] auto make_telemetry(otlp_exporter* exporter, const std::shared_ptr<metrics>& target_metrics)
    -> request_telemetry
{
    request_telemetry telemetry;
    telemetry.m_metrics = target_metrics;
    if (exporter != nullptr) {
        telemetry.m_add_span = [exporter](span item) {
            exporter->add(std::move(item));
        };
    }
    return telemetry;
}

} // namespace

class entry_vm::implementation {
public:
    explicit implementation(settings given);

    auto run() -> void;

private:
    auto connect_components() -> void;
    [[nodiscard]] auto make_sources() -> control_sources;
    [[nodiscard]] auto handle_operators(http_exchange& exchange) -> asio::awaitable<void>;
    [[nodiscard]] auto handle_callers(http_exchange& exchange) -> asio::awaitable<void>;
    [[nodiscard]] auto health_response(const http_target& target) const -> std::optional<http_response>;
    [[nodiscard]] auto operator_response(const http_target& target) const -> http_response;
    [[nodiscard]] auto load() -> asio::awaitable<void>;
    [[nodiscard]] auto shut_down() -> asio::awaitable<void>;
    auto update_entry_vm_metrics() -> void;
    auto update_datagram_metrics() -> void;

    const settings m_settings;
    asio::io_context m_context;
    const asio::any_io_executor m_strand{asio::make_strand(m_context)};
    const incarnation m_incarnation{make_incarnation()};
    write_id_source m_ids;
    http_platform_client m_platform;
    replica m_replica;
    membership_service m_members;
    control_lease_manager m_control_lease;
    zone_watcher m_watcher;
    peer_sync m_peer_sync;
    resource_api m_resources;
    const std::shared_ptr<metrics> m_metrics{std::make_shared<metrics>()};
    fleet_metrics m_fleet_metrics{*m_metrics};
    const std::unique_ptr<otlp_exporter> m_exporter;
    request_path m_requests;
    request_wiring m_wiring;
    control_loop m_control_loop;
    /** @brief Dropped datagrams that are already counted in the metrics. Accessed on the strand only. */
    datagram_counts m_reported_datagrams;
    std::atomic<bool> m_stopping{false};
    http_server m_operators_server;
    http_server m_callers_server;
};

entry_vm::implementation::implementation(settings given)
    : m_settings{std::move(given)}, m_ids{m_settings.m_entry_vm, m_incarnation},
      m_platform{m_context.get_executor(), m_settings.m_platform, {}}, m_replica{m_settings.m_availability_zone},
      m_members{m_strand, own_info(m_settings), peer_infos(m_settings), m_incarnation},
      m_control_lease{m_strand, m_platform, m_ids, m_settings.m_entry_vm, m_settings.m_availability_zone, {}},
      m_watcher{m_strand, m_platform, m_ids, m_replica, m_members, m_settings.m_availability_zone, vm_list_interval},
      m_peer_sync{m_strand, m_platform, m_replica, m_members, m_settings.m_availability_zone},
      m_resources{m_platform, m_ids, m_replica, m_members}, m_exporter{make_exporter(m_context, m_settings)},
      m_requests{m_context,
                 {},
                 routing_state{routing_settings{m_settings.m_entry_vm, m_incarnation, m_settings.m_availability_zone}},
                 std::make_shared<kv_claim_store>(m_platform, m_ids, m_settings.m_entry_vm,
                                                  m_settings.m_availability_zone, m_incarnation),
                 make_telemetry(m_exporter.get(), m_metrics)},
      m_wiring{m_strand, m_requests, m_replica, m_members},
      m_control_loop{m_strand,         m_platform,    m_ids, m_replica, m_members, m_settings.m_availability_zone,
                     vm_list_interval, make_sources()},
      m_operators_server{m_context, m_settings.m_operators, m_settings.m_limits,
                         [this](http_exchange& exchange) {
                             return handle_operators(exchange);
                         }},
      m_callers_server{m_context, m_settings.m_callers, m_settings.m_limits, [this](http_exchange& exchange) {
                           return handle_callers(exchange);
                       }}
{
    connect_components();
}

auto entry_vm::implementation::make_sources() -> control_sources
{
    return {[this] {
                const auto vms = m_requests.ejected();
                return std::set<vm_id>{vms.begin(), vms.end()};
            },
            [this] {
                return m_wiring.needed_vms();
            }};
}

auto entry_vm::implementation::connect_components() -> void
{
    m_members.set_heartbeat_source([this](const auto& zone, auto& filled) {
        m_peer_sync.fill_heartbeat(zone, filled);
        filled.m_control_epoch = m_control_lease.announced_epoch();
        m_wiring.fill_heartbeat(filled);
    });
    m_members.on_datagram([this](const auto& message) { m_peer_sync.receive(message); });
    m_members.on_pause([this](const auto /*pause*/) { m_control_lease.handle_process_pause(monotonic_now()); });
    m_members.on_tick([this](const auto now) {
        update_datagram_metrics();
        if (!m_stopping) {
            m_control_lease.tick(m_members.table(), now);
        }
    });
    m_members.on_change([this](const auto& /*change*/) { update_entry_vm_metrics(); });
    m_wiring.on_drained([this](const auto& sender, const auto started, const auto& confirmed) {
        m_control_loop.receive({sender, started, confirmed});
    });
    m_control_lease.set_control_handlers(
        [this](const auto held) {
            m_watcher.begin();
            m_control_loop.begin(held);
        },
        [this] {
            m_watcher.end();
            m_control_loop.end();
        });
    m_replica.subscribe([this](const auto& view, const auto& changed) {
        m_metrics->set_configuration_version(view->m_version);
        m_fleet_metrics.update(*view);
        for (const auto& entry : changed) {
            if (entry.m_key == vm_list_key(m_settings.m_availability_zone)) {
                m_members.apply_platform_vm_list(parse_platform_vm_list(entry.m_value.m_value).m_entry_vms);
            }
        }
    });
}

auto entry_vm::implementation::health_response(const http_target& target) const -> std::optional<http_response>
{
    if (target.m_path == "/healthz") {
        return text_response(http::status::ok, "ok");
    }
    if (target.m_path == "/readyz") {
        const auto ready = m_requests.is_configured() && !m_stopping;
        return ready ? text_response(http::status::ok, "ready")
                     : text_response(http::status::service_unavailable, "not ready");
    }
    return std::nullopt;
}

auto entry_vm::implementation::operator_response(const http_target& target) const -> http_response
{
    if (auto healthy = health_response(target)) {
        return std::move(*healthy);
    }
    if (target.m_path == snapshot_path) {
        return snapshot_response(m_replica, m_settings.m_availability_zone, target);
    }
    if (target.m_path == "/v1/status") {
        return json_response(http::status::ok, status_json(m_members, m_replica, m_control_lease.announced_epoch()));
    }
    if (target.m_path == "/metrics") {
        if (m_exporter) {
            m_metrics->set_spans(m_exporter->exported(), m_exporter->dropped());
        }
        return text_response(http::status::ok, m_metrics->text());
    }
    if (target.m_path == "/v1/vms") {
        return json_response(http::status::ok, vms_json(*m_replica.view()));
    }
    return findings_response(http::status::not_found, findings{"target", "no such path: " + target.m_path});
}

auto entry_vm::implementation::handle_operators(http_exchange& exchange) -> asio::awaitable<void>
{
    const auto target = target_of(exchange);
    const auto raw = exchange.request().target();
    if (request_path::is_forwarded({raw.data(), raw.size()})) {
        co_await m_requests.handle_forwarded(exchange);
    }
    else if (target.m_path.starts_with("/v1/resources/")) {
        co_await m_resources.handle(exchange, target);
    }
    else if (target.m_path == "/v1/watch") {
        co_await m_resources.watch(exchange, target);
    }
    else if (target.m_path.starts_with(waves_path)) {
        wave_id wave{target.m_path.substr(waves_path.size())};
        auto response = co_await wave_response(m_platform, std::move(wave));
        co_await exchange.respond(std::move(response));
    }
    else {
        auto response = operator_response(target);
        co_await exchange.respond(std::move(response));
    }
}

auto entry_vm::implementation::handle_callers(http_exchange& exchange) -> asio::awaitable<void>
{
    auto healthy = health_response(target_of(exchange));
    if (healthy) {
        co_await exchange.respond(std::move(*healthy));
    }
    else {
        co_await m_requests.handle(exchange);
    }
}

auto entry_vm::implementation::update_entry_vm_metrics() -> void
{
    std::map<entry_vm_state, std::size_t> counts{
        {entry_vm_state::live, 0}, {entry_vm_state::suspect, 0}, {entry_vm_state::unreachable, 0}};
    for (const auto& [id, entry] : m_members.table().m_entry_vms) {
        ++counts[entry.m_state];
    }
    for (const auto& [state, count] : counts) {
        m_metrics->set_entry_vms(to_string(state), count);
    }
}

auto entry_vm::implementation::update_datagram_metrics() -> void
{
    const auto counts = m_members.datagram_totals();
    for (; m_reported_datagrams.m_unknown_sender < counts.m_unknown_sender; ++m_reported_datagrams.m_unknown_sender) {
        m_metrics->datagram_dropped("unknown_sender");
    }
    for (; m_reported_datagrams.m_malformed < counts.m_malformed; ++m_reported_datagrams.m_malformed) {
        m_metrics->datagram_dropped("malformed");
    }
}

auto entry_vm::implementation::load() -> asio::awaitable<void>
{
    co_await m_peer_sync.load();
    m_wiring.apply_view();
}

auto entry_vm::implementation::shut_down() -> asio::awaitable<void>
{
    LOG(INFO) << "event=shutdown_begins entry_vm=" << m_settings.m_entry_vm;
    m_stopping = true;
    m_callers_server.stop_keep_alive();
    asio::steady_timer timer{m_strand, m_settings.m_balancer_delay};
    co_await timer.async_wait(asio::use_awaitable);
    m_resources.end_watches();
    m_callers_server.drain();
    m_operators_server.drain();
    // A request that has just arrived on an open connection counts as in flight only after it has been read.
    timer.expires_after(drain_check_interval);
    co_await timer.async_wait(asio::use_awaitable);
    const auto limit = monotonic_now() + operator_drain_limit;
    // Callers' requests end at their deadlines and are never aborted; an operator's stream may be.
    while (m_callers_server.requests_in_flight() > 0 ||
           (m_operators_server.requests_in_flight() > 0 && monotonic_now() < limit)) {
        timer.expires_after(drain_check_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_await m_requests.drain();
    co_await m_control_lease.release();
    // Without this heartbeat, no other entry VM would acquire control until this one is unreachable.
    m_members.announce();
    timer.expires_after(drain_check_interval);
    co_await timer.async_wait(asio::use_awaitable);
    m_context.stop();
}

auto entry_vm::implementation::run() -> void
{
    m_members.start();
    asio::co_spawn(m_strand, load(), asio::detached);
    asio::signal_set signals{m_context, SIGTERM, SIGINT};
    signals.async_wait([this](const auto& error, int) {
        if (!error) {
            asio::co_spawn(m_strand, shut_down(), asio::detached);
        }
    });
    LOG(INFO) << "event=started entry_vm=" << m_settings.m_entry_vm << " zone=" << m_settings.m_availability_zone
              << " incarnation=" << m_incarnation << " operators=" << m_operators_server.endpoint();
    std::vector<std::thread> workers;
    for (int count = 1; count < std::max(1, m_settings.m_worker_threads); ++count) {
        workers.emplace_back([this] { m_context.run(); });
    }
    m_context.run();
    for (auto& worker : workers) {
        worker.join();
    }
    LOG(INFO) << "event=stopped entry_vm=" << m_settings.m_entry_vm;
}

entry_vm::entry_vm(std::unique_ptr<implementation> made) : m_implementation{std::move(made)} {}

entry_vm::~entry_vm() = default;

auto entry_vm::make(settings given) -> result<std::unique_ptr<entry_vm>>
{
    try {
        return std::unique_ptr<entry_vm>{new entry_vm{std::make_unique<implementation>(std::move(given))}};
    }
    catch (const boost::system::system_error& error) {
        return findings{"listen", error.what()};
    }
}

auto entry_vm::run() -> void
{
    m_implementation->run();
}

} // namespace cicadalug
