#include <cicadalug/adapter/job_body.hpp>
#include <cicadalug/adapter/operator_values.hpp>
#include <cicadalug/adapter/store_client.hpp>
#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/async/retry_backoff.hpp>
#include <cicadalug/async/spawn.hpp>
#include <cicadalug/entry/client_api.hpp>
#include <cicadalug/entry/decider.hpp>
#include <cicadalug/entry/decider_election.hpp>
#include <cicadalug/entry/entry_program.hpp>
#include <cicadalug/entry/job_intake.hpp>
#include <cicadalug/entry/store_keys.hpp>
#include <cicadalug/entry/worker_calls.hpp>
#include <cicadalug/entry/worker_relay.hpp>
#include <cicadalug/telemetry/log_line.hpp>
#include <cicadalug/telemetry/scheduler_metrics.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Lease of the decider's key: a failed decider is replaced once it expires, and a slow store must not make it
 * expire. */
constexpr milliseconds decider_lease{1'200};

/** @brief A watch is requested again after this time; bounds how long an unresponsive connection goes unnoticed. */
constexpr milliseconds watch_wait{1'000};

constexpr milliseconds store_timeout{500};

constexpr milliseconds failure_pause{60};

/** @brief Longest pause between two attempts to read the configuration. */
constexpr milliseconds longest_failure_pause{2'000};

/** @brief Limits of the slack of a watch and of the pause after it: a change has to be in force within the time that
 * the platform's settings state, even if it comes right after a failure. */
constexpr milliseconds longest_watch_slack{1'600};
constexpr milliseconds longest_watch_pause{500};

/** @brief Maximum time without any byte of a response with the configuration, after any number of failures. */
constexpr milliseconds longest_patience{5'000};

/** @brief After SIGTERM the load balancer sends new connections until two checks, one per second, have failed. */
constexpr milliseconds balancer_delay{2'600};

/** @brief Time limit for storing progress before a term is ended or handed over. */
constexpr milliseconds flush_limit{300};

/** @brief The program exits this long before the platform would kill it. */
constexpr milliseconds exit_margin{700};

/** @brief Maximum size of a request between entry VMs, in bytes; results of relays carry reports of many workers. */
constexpr std::uint64_t max_peer_body{16'777'216};

/** @brief Descriptors that are not for connections to workers: the platform reserves 200 for files, and the servers for
 * clients and other entry VMs, the store and the interface to the VMs need connections, too. */
constexpr std::int64_t other_descriptors{1'500};

[[nodiscard]] auto worker_connection_limit(const std::int64_t max_descriptors) -> std::size_t
{
    return static_cast<std::size_t>(std::max<std::int64_t>(max_descriptors - other_descriptors, max_descriptors / 4));
}

/** @brief Servers, store client, election and decider of an entry VM, with its shutdown. */
class entry_program {
public:
    explicit entry_program(const deployment_settings& settings)
        : m_settings{settings}, m_executor{m_context.get_executor()}, m_store{m_executor, settings.m_store},
          m_intake{m_executor, m_store}, m_election{m_executor,
                                                    m_store,
                                                    settings.m_entry_vm,
                                                    settings.m_peers,
                                                    std::max(decider_lease, settings.m_shortest_store_lease),
                                                    settings.m_cores},
          m_calls{m_executor, worker_connection_limit(settings.m_max_descriptors)},
          m_relay{m_executor, {settings.m_entry_vm, settings.m_zone, settings.m_cores, m_metrics}, m_election, m_calls},
          m_api{{m_executor, &m_store, &m_intake, &m_election, &m_decider, &m_config, m_metrics.get(),
                 settings.m_value_bytes}},
          m_signals{m_context, SIGTERM}
    {
    }

    auto run() -> void
    {
        const http_server_limits limits;
        http_server clients{m_context, m_settings.m_clients, limits,
                            [this](http_exchange& exchange) { return m_api.handle(exchange); }, server_threads::single};
        http_server_limits peer_limits;
        peer_limits.m_body_bytes = max_peer_body;
        http_server peers{m_context, m_settings.m_peers, peer_limits,
                          [this](http_exchange& exchange) { return m_api.handle_peer(exchange); },
                          server_threads::single};
        http_server readiness{m_context, m_settings.m_readiness, limits,
                              [this](http_exchange& exchange) { return handle_readiness(exchange); },
                              server_threads::single};
        std::optional<http_server> metrics;
        if (m_settings.m_metrics.port() == 0) {
            LOG(WARNING) << log_line{"metrics_not_served"}.with("reason", "internal_ports has no second port");
        }
        else {
            metrics.emplace(
                m_context, m_settings.m_metrics, limits,
                [this](http_exchange& exchange) { return handle_metrics(exchange); }, server_threads::single);
        }
        m_clients = &clients;
        spawn(m_executor, watch_config(), "watch_config");
        m_election.start([this](const decider_term& term) { begin_term(term); }, [this] { end_term(); },
                         [this] { return flush_progress(); });
        m_relay.start();
        spawn(m_executor, shut_down_on_signal(), "shut_down_on_signal");
        // SIGHUP would end the program by default. A reload needs no action, as watch_config() follows the
        // configuration in the store.
        std::signal(SIGHUP, SIG_IGN);
        std::signal(SIGPIPE, SIG_IGN);
        LOG(INFO) << log_line{"started"}.with("entry_vm", m_settings.m_entry_vm).with("zone", m_settings.m_zone);
        m_context.run();
    }

private:
    [[nodiscard]] auto handle_readiness(http_exchange& exchange) -> asio::awaitable<void>
    {
        const bool ready = m_config != nullptr && !m_stopping;
        http_response response{ready ? http::status::ok : http::status::service_unavailable, 11};
        response.prepare_payload();
        co_await exchange.respond(std::move(response));
    }

    [[nodiscard]] auto handle_metrics(http_exchange& exchange) -> asio::awaitable<void>
    {
        const auto& request = exchange.request();
        const bool known = request.method() == http::verb::get && request.target() == "/metrics";
        auto response = known ? text_response(http::status::ok, m_metrics->text())
                              : text_response(http::status::not_found, "not found");
        co_await exchange.respond(std::move(response));
    }

    auto begin_term(const decider_term& term) -> void
    {
        decider_settings settings;
        auto& scheduler = settings.m_scheduler;
        scheduler.m_worker_lease = std::min(scheduler.m_worker_lease, m_settings.m_longest_worker_lease);
        scheduler.m_longest_lease = m_settings.m_longest_worker_lease;
        scheduler.m_stop_grace = m_settings.m_stop_grace;
        scheduler.m_cancel_time = m_settings.m_cancel_time;
        scheduler.m_drain_time = m_settings.m_drain_time;
        scheduler.m_value_bytes = m_settings.m_value_bytes;
        settings.m_maintenance.m_maintenance_time = m_settings.m_maintenance_time;
        settings.m_status_retention = m_settings.m_status_retention;
        settings.m_moves.m_move_time = m_settings.m_move_time;
        settings.m_config = [this] {
            return m_config;
        };
        settings.m_self = m_settings.m_entry_vm;
        settings.m_cores = m_settings.m_cores;
        settings.m_fleet = m_settings.m_fleet;
        settings.m_permits = m_settings.m_permits;
        settings.m_handover_interval = m_settings.m_handover_interval;
        settings.m_metrics = m_metrics;
        settings.m_term_lease = std::max(decider_lease, m_settings.m_shortest_store_lease);
        m_decider = std::make_shared<decider>(
            m_executor, m_store, m_calls, settings, term, [this] { return m_election.last_renewal(); },
            [this] { m_election.depose(); });
        m_metrics->set_decider(true);
        m_decider->start();
    }

    auto end_term() -> void
    {
        m_metrics->set_decider(false);
        if (m_decider != nullptr) {
            std::exchange(m_decider, nullptr)->stop();
        }
    }

    [[nodiscard]] auto flush_progress() -> asio::awaitable<void>
    {
        if (const auto own = m_decider) {
            co_await own->flush(flush_limit);
        }
    }

    auto apply_config(const std::string& value) -> void
    {
        auto decoded = decode_config(value);
        if (!decoded) {
            LOG(ERROR) << log_line{"config_unreadable"}.with("findings", decoded.assume_error().to_string());
            return;
        }
        auto config = std::make_shared<const fleet_config>(std::move(decoded).assume_value());
        // Versions only increase; an older one comes from a delayed response.
        if (m_config == nullptr || config->m_version > m_config->m_version) {
            LOG(INFO) << log_line{"config_in_force"}
                             .with("version", config->m_version)
                             .with("queues", config->m_queues.size());
            m_config = std::move(config);
        }
    }

    [[nodiscard]] auto watch_config() -> asio::awaitable<void>
    {
        retry_backoff backoff{m_settings.m_entry_vm.str(), failure_pause, longest_failure_pause};
        std::optional<store_revision> seen;
        for (;;) {
            auto status = store_status::ok;
            if (!seen) {
                status = co_await read_config(seen, backoff.scaled(store_timeout, longest_patience));
            }
            else {
                status = co_await follow_config(*seen, backoff.scaled(watch_slack, longest_watch_slack));
            }
            if (status == store_status::ok) {
                backoff.reset();
                continue;
            }
            if (status == store_status::compacted) {
                seen.reset();
            }
            const auto pause = backoff.next_pause();
            co_await sleep_for(m_executor, seen ? std::min(pause, longest_watch_pause) : pause);
        }
    }

    /** @brief Reads the configuration, and the revision from which to follow its changes. */
    [[nodiscard]] auto read_config(std::optional<store_revision>& seen, const milliseconds patience)
        -> asio::awaitable<store_status>
    {
        const auto page = co_await m_store.list_bulk(std::string{config_key}, std::string{}, patience);
        if (page.m_status == store_status::ok) {
            seen = page.m_revision;
            for (const auto& item : page.m_items) {
                apply_config(item.m_value);
            }
        }
        co_return page.m_status;
    }

    /** @brief Waits for changes of the configuration after a revision, and applies them. */
    [[nodiscard]] auto follow_config(store_revision& seen, const milliseconds patience) -> asio::awaitable<store_status>
    {
        const auto changes = co_await m_store.watch(std::string{config_key}, seen, watch_wait, patience);
        if (changes.m_status == store_status::ok) {
            seen = std::max(seen, changes.m_revision);
            for (const auto& change : changes.m_changes) {
                if (change.m_value) {
                    apply_config(*change.m_value);
                }
            }
        }
        co_return changes.m_status;
    }

    [[nodiscard]] auto shut_down_on_signal() -> asio::awaitable<void>
    {
        co_await m_signals.async_wait(asio::use_awaitable);
        const auto begin = monotonic_now();
        const auto end = begin + m_settings.m_shutdown_grace - exit_margin;
        LOG(INFO) << log_line{"stopping"}.with("entry_vm", m_settings.m_entry_vm);
        m_stopping = true;
        m_relay.stop();
        m_clients->stop_keep_alive();
        co_await flush_progress();
        co_await m_election.resign();
        co_await sleep_for(m_executor, std::max(microseconds{0}, begin + balancer_delay - monotonic_now()));
        m_clients->drain();
        while (m_clients->requests_in_flight() > 0 && monotonic_now() < end) {
            co_await sleep_for(m_executor, milliseconds{20});
        }
        LOG(INFO) << log_line{"stopped"}.with("in_flight", m_clients->requests_in_flight());
        m_context.stop();
    }

    const deployment_settings m_settings;
    asio::io_context m_context{1};
    asio::any_io_executor m_executor;
    store_client m_store;
    job_intake m_intake;
    decider_election m_election;
    const std::shared_ptr<scheduler_metrics> m_metrics{std::make_shared<scheduler_metrics>()};
    std::shared_ptr<decider> m_decider;
    std::shared_ptr<const fleet_config> m_config;
    worker_calls m_calls;
    worker_relay m_relay;
    client_api m_api;
    asio::signal_set m_signals;
    http_server* m_clients{nullptr};
    bool m_stopping{false};
};

} // namespace

auto run_entry_program(const deployment_settings& settings) -> findings
{
    try {
        const auto program = std::make_unique<entry_program>(settings);
        program->run();
        return {};
    }
    catch (const boost::system::system_error& error) {
        return {"listen", error.what()};
    }
}

} // namespace cicadalug
