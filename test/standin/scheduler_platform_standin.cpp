#include "scheduler_faults.hpp"
#include "scheduler_store.hpp"
#include "scheduler_worker.hpp"

#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/http/http_server.hpp>
#include <cicadalug/http/target.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Stand-in for the platform of the scheduler: the store and the workers of one service, each on an address of its own.
// POST /control at the store's address sets the faults to inject; GET /control returns what the workers were told. A
// single thread runs all of it, so the state needs no lock.

namespace {

using namespace cicadalug;
using namespace cicadalug::standin;
using nlohmann::json;

constexpr milliseconds poll_interval{10};
constexpr milliseconds heartbeat_interval{1'500};
/** @brief A worker's entry expires after three heartbeat intervals. */
constexpr milliseconds entry_lease{4'500};
constexpr milliseconds longest_watch{30'000};
/** @brief Responses take turns on the link after this many bytes. */
constexpr std::size_t link_piece_bytes{16'384};

struct standin_options {
    std::string m_listen{"127.0.0.1:0"};
    std::vector<std::string> m_workers;
    std::string m_config;
    std::int64_t m_cpu{2'000};
};

[[nodiscard]] auto unix_ms_now() -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

[[nodiscard]] auto encode_base64(const std::string& bytes) -> std::string
{
    std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

[[nodiscard]] auto decode_base64(const std::string& text) -> std::string
{
    std::string bytes(beast::detail::base64::decoded_size(text.size()), '\0');
    const auto [written, read] = beast::detail::base64::decode(bytes.data(), text.data(), text.size());
    bytes.resize(written);
    return bytes;
}

[[nodiscard]] auto query_text(const http_target& target, const std::string& name) -> std::string
{
    const auto found = target.m_query.find(name);
    return found == target.m_query.end() ? std::string{} : found->second;
}

class scheduler_platform {
public:
    scheduler_platform(asio::io_context& context, const standin_options& options)
        : m_context{context}, m_options{options}
    {
        const auto unix_ms = unix_ms_now();
        for (std::size_t index = 0; index < options.m_workers.size(); ++index) {
            m_workers.emplace_back("worker-" + std::to_string(index), unix_ms, monotonic_now());
        }
        put("op/config", options.m_config, 0);
    }

    [[nodiscard]] auto handle_store(http_exchange& exchange) -> asio::awaitable<void>
    {
        const auto target = parse_target({exchange.request().target().data(), exchange.request().target().size()});
        const auto body = json::parse(exchange.request().body(), nullptr, false);
        if (target.m_path == "/control") {
            if (exchange.request().method() == http::verb::post) {
                set_faults(body);
            }
            co_await exchange.respond(json_response(http::status::ok, observations()));
            co_return;
        }
        if (target.m_path == "/cicadalug/kv-watch") {
            co_await watch(exchange, target);
            co_return;
        }
        if (const auto held = hold_time(target, body); held > milliseconds{0}) {
            co_await sleep(held);
        }
        const auto result = execute(target, body);
        if (const auto delay = m_faults.m_delays.find(target.m_path); delay != m_faults.m_delays.end()) {
            co_await sleep(delay->second);
        }
        co_await respond_on_link(exchange, json_response(result.m_status, result.m_body));
    }

    [[nodiscard]] auto handle_worker(http_exchange& exchange, scheduler_worker& worker) -> asio::awaitable<void>
    {
        const auto& request = exchange.request();
        const auto path = parse_target({request.target().data(), request.target().size()}).m_path;
        const auto body = json::parse(request.body(), nullptr, false);
        if (m_faults.m_cut_off.contains(worker.id())) {
            co_await drop_after_peer(exchange);
        }
        else if (request["X-Expect-Instance"] != worker.id()) {
            co_await exchange.respond(json_response(http::status::misdirected_request, json::object()));
        }
        else if (is_next_held(worker, path, body)) {
            m_faults.m_hold_next.reset();
            m_held_calls.push_back({worker.id(), path, body});
            co_await drop_after_peer(exchange);
        }
        else if (m_faults.m_command_delay.count() > 0 && path.starts_with("/cicadalug/run-")) {
            ++m_held_commands;
            if (path == "/cicadalug/run-start") {
                m_held_starts.push_back(body.value("task", ""));
            }
            asio::co_spawn(m_context, execute_later(worker, path, body, m_faults.m_command_delay), asio::detached);
            co_await drop_after_peer(exchange);
        }
        else if (path == "/cicadalug/run-start") {
            if (m_faults.m_start_delay > milliseconds{0}) {
                co_await sleep(m_faults.m_start_delay);
            }
            co_await exchange.respond(start_run(worker, body));
        }
        else if (path == "/cicadalug/run-stop") {
            co_await exchange.respond(worker.stop(body, monotonic_now()));
        }
        else if (path == "/cicadalug/hold") {
            ++m_renewals[worker.id()];
            if (!worker.renew(body, monotonic_now())) {
                co_await exchange.respond(worker.refuse("fence", monotonic_now()));
                co_return;
            }
            const auto end = monotonic_now() + milliseconds{body.value("wait_ms", 0)};
            while (!worker.has_ends() && monotonic_now() < end) {
                co_await sleep(poll_interval);
            }
            if (m_faults.m_cut_off.contains(worker.id())) {
                co_await drop_after_peer(exchange);
                co_return;
            }
            co_await exchange.respond(worker.report(monotonic_now()));
        }
        else {
            co_await exchange.respond(json_response(http::status::not_found, json::object()));
        }
    }

    [[nodiscard]] auto worker(const std::size_t index) -> scheduler_worker& { return m_workers.at(index); }

    [[nodiscard]] auto advance_time() -> asio::awaitable<void>
    {
        for (;;) {
            m_store.expire_leases(monotonic_now());
            for (auto& worker : m_workers) {
                worker.advance(monotonic_now());
            }
            co_await sleep(poll_interval);
        }
    }

    [[nodiscard]] auto register_workers() -> asio::awaitable<void>
    {
        for (;;) {
            write_entries();
            co_await sleep(heartbeat_interval);
        }
    }

private:
    [[nodiscard]] auto sleep(const milliseconds time) -> asio::awaitable<void>
    {
        asio::steady_timer timer{m_context, time};
        co_await timer.async_wait(asio::use_awaitable);
    }

    /** @brief Writes the entries of the workers to the registry. */
    auto write_entries() -> void
    {
        ++m_entry_sequence;
        for (std::size_t index = 0; index < m_workers.size(); ++index) {
            const auto& worker = m_workers[index];
            if (worker.id() == m_faults.m_unregistered || worker.id() == m_faults.m_overwritten) {
                continue;
            }
            const json entry{{"service", "batch"},
                             {"address", m_options.m_workers[index]},
                             {"zone", "a"},
                             {"version", "1"},
                             {"slots", 8},
                             {"state", m_faults.m_draining.contains(worker.id()) ? "draining" : "ready"},
                             {"cold_left_ms", 0},
                             {"seq", m_entry_sequence},
                             {"capacity", {{"cpu", m_options.m_cpu}, {"mem_mb", 8'192}, {"gpu", 0}}},
                             {"labels", {"kind-1", "r-1"}},
                             {"machine", "m-" + std::to_string(index)},
                             {"born", worker.started_unix_ms()}};
            const auto lease = m_store.open_lease(entry_lease, monotonic_now()).m_body.at("lease");
            put("servers/" + worker.id(), entry.dump(), lease);
        }
    }

    /** @brief Checks whether a call is the next one to hold. A renewal without a lease is not. */
    [[nodiscard]] auto is_next_held(const scheduler_worker& worker, const std::string& path, const json& body) const
        -> bool
    {
        return m_faults.m_hold_next == std::pair{worker.id(), path} && body.contains("until_ms");
    }

    /** @brief Carries out the held calls, by the incarnations that the workers have now. */
    auto release_held_calls() -> void
    {
        for (const auto& call : std::exchange(m_held_calls, {})) {
            auto& worker = find_worker(call.m_worker);
            const auto now = monotonic_now();
            const bool started =
                call.m_path == "/cicadalug/run-start" && start_run(worker, call.m_body).result() == http::status::ok;
            const bool renewed = call.m_path == "/cicadalug/hold" && worker.renew(call.m_body, now);
            m_released_calls.push_back({{"worker", call.m_worker},
                                        {"path", call.m_path},
                                        {"accepted", started || renewed},
                                        {"lease_left_ms", worker.lease_left_ms(now)}});
        }
    }

    [[nodiscard]] auto find_worker(const std::string& id) -> scheduler_worker&
    {
        return *std::find_if(m_workers.begin(), m_workers.end(),
                             [&id](const auto& worker) { return worker.id() == id; });
    }

    /** @brief Holds a call without a response, also after the end of the fault, until its sender closes. */
    [[nodiscard]] auto drop_after_peer(http_exchange& exchange) -> asio::awaitable<void>
    {
        bool closed{false};
        exchange.on_peer_closed([&closed] { closed = true; });
        while (!closed) {
            co_await sleep(poll_interval);
        }
        exchange.drop();
    }

    [[nodiscard]] auto execute_later(scheduler_worker& worker, const std::string path, const json body,
                                     const milliseconds delay) -> asio::awaitable<void>
    {
        co_await sleep(delay);
        if (path == "/cicadalug/run-start") {
            static_cast<void>(start_run(worker, body));
        }
        else {
            static_cast<void>(worker.stop(body, monotonic_now()));
        }
    }

    auto put(const std::string& key, const std::string& value, const std::uint64_t lease) -> void
    {
        const auto written =
            m_store.write({{"expected_rev", json::array()},
                           {"puts", json::array({{{"key", key}, {"value", encode_base64(value)}, {"lease", lease}}})}});
        if (written.m_status != http::status::ok) {
            std::cerr << "key " << key << " was not written\n";
        }
    }

    /** @brief Lets a worker start a run, and counts it if the task runs on another worker, too. */
    [[nodiscard]] auto start_run(scheduler_worker& worker, const json& body) -> http_response
    {
        const auto starts = worker.starts().size();
        auto response = worker.start(body, m_faults.m_run_time, monotonic_now());
        if (worker.starts().size() == starts) {
            return response;
        }
        const auto& task = worker.starts().back().m_task;
        const auto runs_elsewhere = [&](const scheduler_worker& other) {
            return &other != &worker && other.is_running(task);
        };
        if (const auto other = std::find_if(m_workers.begin(), m_workers.end(), runs_elsewhere);
            other != m_workers.end()) {
            ++m_doubled_runs;
            m_doubled_lease_left_ms = std::max(m_doubled_lease_left_ms, other->lease_left_ms(monotonic_now()));
        }
        const auto acknowledged = [&task](const scheduler_worker& other) {
            return other.acknowledged_as_done().contains(task);
        };
        m_repeated_tasks += std::any_of(m_workers.begin(), m_workers.end(), acknowledged) ? 1 : 0;
        return response;
    }

    [[nodiscard]] auto execute(const http_target& target, const json& body) -> scheduler_store_response
    {
        const auto& path = target.m_path;
        if (path == "/cicadalug/kv-range") {
            ++m_lists[query_text(target, "prefix")];
        }
        if (m_faults.m_refused_paths.contains(path)) {
            return {http::status::service_unavailable, json::object()};
        }
        if (path == "/cicadalug/kv-key") {
            return m_store.read(query_text(target, "key"));
        }
        if (path == "/cicadalug/kv-range") {
            return m_store.list(query_text(target, "prefix"), query_text(target, "after"));
        }
        if (path == "/cicadalug/kv-txn") {
            const auto& puts = body.at("puts");
            const bool refused = std::any_of(puts.begin(), puts.end(), [this](const json& put) {
                return m_faults.m_refused_keys.contains(put.at("key").get<std::string>());
            });
            return refused ? scheduler_store_response{http::status::bad_request, json::object()} : m_store.write(body);
        }
        if (path == "/cicadalug/kv-lease") {
            return m_store.open_lease(milliseconds{body.at("ttl_ms").get<std::int64_t>()}, monotonic_now());
        }
        const auto id = path.substr(path.rfind('/') + 1);
        const auto lease = std::strtoull(id.c_str(), nullptr, 10);
        if (path.starts_with("/cicadalug/kv-keep/")) {
            return m_store.renew_lease(lease, monotonic_now());
        }
        if (path.starts_with("/cicadalug/kv-lease-end/")) {
            return m_store.end_lease(lease);
        }
        return {http::status::not_found, {{"error", "no such path"}}};
    }

    [[nodiscard]] auto watch(http_exchange& exchange, const http_target& target) -> asio::awaitable<void>
    {
        const auto prefix = query_text(target, "prefix");
        const auto after = static_cast<std::uint64_t>(query_number(target, "after", 0));
        const auto wait = milliseconds{query_number(target, "wait_ms", 0)};
        const auto end = monotonic_now() + std::min(wait, longest_watch);
        bool silenced = prefix == m_faults.m_silent_watch;
        const auto has_changes = [&] {
            return prefix != m_faults.m_blind_watch && !m_store.changes_after(prefix, after).empty();
        };
        while (!silenced && !has_changes() && monotonic_now() < end) {
            co_await sleep(poll_interval);
            silenced = prefix == m_faults.m_silent_watch;
        }
        if (silenced) {
            co_await drop_after_peer(exchange);
            co_return;
        }
        auto changes = watch_response(prefix, after);
        if (prefix == m_faults.m_partial_watch) {
            co_await sleep(m_faults.m_partial_delay);
        }
        co_await respond_on_link(exchange, json_response(http::status::ok, changes));
    }

    /** @brief Responds piece by piece at the rate of the link, which concurrent responses share. */
    [[nodiscard]] auto respond_on_link(http_exchange& exchange, http_response response) -> asio::awaitable<void>
    {
        const auto rate = m_faults.m_link_bytes_per_s;
        if (rate == 0 || response.body().size() <= link_piece_bytes || response.result() != http::status::ok) {
            co_await exchange.respond(std::move(response));
            co_return;
        }
        bool open = co_await exchange.begin_stream("application/json");
        const std::string_view body{response.body()};
        for (std::size_t begin = 0; open && begin < body.size(); begin += link_piece_bytes) {
            const auto piece = body.substr(begin, link_piece_bytes);
            const auto now = monotonic_now();
            m_link_free_at = std::max(m_link_free_at, now) +
                             microseconds{static_cast<std::int64_t>(piece.size()) * 1'000'000 / rate};
            co_await sleep(std::chrono::ceil<milliseconds>(m_link_free_at - now));
            open = co_await exchange.write_chunk(piece);
        }
    }

    /** @brief Stores copies of a job and its progress under other ids. */
    auto copy_job(const std::string& id, const int copies) -> void
    {
        for (const std::string prefix : {"job/", "progress/"}) {
            const auto stored = m_store.read(prefix + id);
            if (stored.m_status != http::status::ok) {
                std::cerr << "job " << id << " has no " << prefix << '\n';
                return;
            }
            const auto value = decode_base64(stored.m_body.at("value").get<std::string>());
            for (int copy = 0; copy < copies; ++copy) {
                auto other = std::to_string(copy);
                other.insert(0, id.size() - other.size(), '0');
                auto text = value;
                if (const auto position = text.find(id); position != std::string::npos) {
                    text.replace(position, id.size(), other);
                }
                put(prefix + other, text, 0);
            }
        }
    }

    /** @brief Returns the response to a watch, with only a part of the changes if that fault is set. */
    [[nodiscard]] auto watch_response(const std::string& prefix, const std::uint64_t after) const -> json
    {
        if (prefix == m_faults.m_blind_watch) {
            return {{"events", json::array()}, {"store_revision", after}};
        }
        auto events = m_store.changes_after(prefix, after);
        auto reached = m_store.revision();
        if (prefix == m_faults.m_partial_watch && events.size() > m_faults.m_partial_changes) {
            // The changes of one write stay together, as the next watch continues after their revision.
            auto size = m_faults.m_partial_changes;
            while (size < events.size() && events[size]["revision"] == events[size - 1]["revision"]) {
                ++size;
            }
            events.erase(events.begin() + static_cast<std::ptrdiff_t>(size), events.end());
            reached = events.back()["revision"].get<std::uint64_t>();
        }
        return {{"events", std::move(events)}, {"store_revision", reached}};
    }

    [[nodiscard]] auto hold_time(const http_target& target, const json& body) const -> milliseconds
    {
        milliseconds held{0};
        if (target.m_path == "/cicadalug/kv-txn") {
            for (const auto& put : body.at("puts")) {
                const auto found = m_faults.m_held_writes.find(put.at("key").get<std::string>());
                held = std::max(held, found == m_faults.m_held_writes.end() ? milliseconds{0} : found->second);
            }
        }
        return held;
    }

    /** @brief Sets faults and does what is to be done at once. Held calls are carried out after a restart in the same
     * body, before any other call reaches the new incarnation. */
    auto set_faults(const json& body) -> void
    {
        set(m_faults, body);
        if (const auto bytes = body.find("checkpoint_bytes"); bytes != body.end()) {
            for (auto& worker : m_workers) {
                worker.set_checkpoint_bytes(bytes->get<std::size_t>());
            }
        }
        if (const auto config = body.find("config"); config != body.end()) {
            put("op/config", config->dump(), 0);
        }
        if (const auto copies = body.find("copied_job"); copies != body.end()) {
            copy_job(copies->value("id", ""), copies->value("copies", 0));
        }
        if (body.value("restart_workers", false)) {
            for (auto& worker : m_workers) {
                worker.restart(unix_ms_now(), monotonic_now());
            }
        }
        if (const auto id = body.find("restart_worker"); id != body.end()) {
            auto& worker = find_worker(id->get<std::string>());
            worker.restart(unix_ms_now(), body.value("keeps_clock", false) ? worker.clock_started() : monotonic_now());
        }
        if (body.value("release_held", false)) {
            release_held_calls();
        }
        if (body.contains("draining")) {
            write_entries();
        }
        if (!m_faults.m_unregistered.empty()) {
            static_cast<void>(m_store.write({{"expected_rev", json::array()},
                                             {"puts", json::array()},
                                             {"remove", json::array({"servers/" + m_faults.m_unregistered})}}));
        }
        // Entries of another writer among those of the workers, without a lease: any text by id.
        const auto entries = body.value("entries", json::object());
        for (const auto& [id, value] : entries.items()) {
            put("servers/" + id, value.get<std::string>(), 0);
        }
    }

    /** @brief Returns the starts and stops with their times on the clock whose current value is "clock_ms". */
    [[nodiscard]] auto observations() const -> json
    {
        const auto now = std::chrono::duration_cast<milliseconds>(monotonic_now().time_since_epoch());
        json seen{{"clock_ms", now.count()},
                  {"running", 0},
                  {"lists", m_lists},
                  {"held", m_held_commands},
                  {"held_starts", m_held_starts},
                  {"held_calls", m_held_calls.size()},
                  {"released_calls", m_released_calls},
                  {"doubled_runs", m_doubled_runs},
                  {"doubled_lease_left_ms", m_doubled_lease_left_ms},
                  {"renewals", m_renewals},
                  {"repeated_tasks", m_repeated_tasks},
                  {"acknowledged_tasks", 0}};
        seen["starts"] = json::array();
        seen["stops"] = json::array();
        for (const auto& worker : m_workers) {
            seen["running"] = seen["running"].get<std::size_t>() + worker.running();
            seen["acknowledged_tasks"] =
                seen["acknowledged_tasks"].get<std::size_t>() + worker.acknowledged_as_done().size();
            for (auto& row : events_json(worker.id(), worker.starts())) {
                seen["starts"].push_back(std::move(row));
            }
            for (auto& row : events_json(worker.id(), worker.stops())) {
                seen["stops"].push_back(std::move(row));
            }
        }
        return seen;
    }

    asio::io_context& m_context;
    const standin_options& m_options;
    scheduler_store m_store;
    std::vector<scheduler_worker> m_workers;
    injected_faults m_faults;
    /** @brief When all pieces of responses have been sent that are waiting for the link. */
    time_point m_link_free_at{};
    /** @brief Number of lists by prefix, with refused ones. */
    std::map<std::string, int> m_lists;
    /** @brief Number of starts of a task that was running on another worker. */
    int m_doubled_runs{0};
    /** @brief Longest time that the lease of the other worker still had then. */
    std::int64_t m_doubled_lease_left_ms{0};
    /** @brief Number of renewals that reached a worker. */
    std::map<std::string, std::int64_t> m_renewals;
    /** @brief Starts of tasks whose end as done had been acknowledged. */
    int m_repeated_tasks{0};
    /** @brief Number of commands that were not answered, and are carried out later. */
    int m_held_commands{0};
    /** @brief Tasks of the starts among them. */
    std::vector<std::string> m_held_starts;
    /** @brief Calls that wait for their release. */
    std::vector<held_call> m_held_calls;
    /** @brief Calls that were carried out on release, and the leases of their workers then. */
    json m_released_calls = json::array();
    /** @brief Number of times that the entries of the workers were written. */
    std::int64_t m_entry_sequence{0};
};

} // namespace

auto main(int argc, char** argv) -> int
{
    standin_options options;
    CLI::App app{"Stand-in for the store and the workers of the scheduler's platform"};
    app.add_option("--listen", options.m_listen, "Address and port of the store");
    app.add_option("--worker", options.m_workers, "Address and port of a worker");
    app.add_option("--config", options.m_config, "Configuration of the operator, as JSON");
    app.add_option("--cpu", options.m_cpu, "Capacity of each worker in thousandths of a core");
    CLI11_PARSE(app, argc, argv);

    findings errors;
    asio::io_context context{1};
    scheduler_platform platform{context, options};
    const http_server_limits limits;
    std::vector<std::unique_ptr<http_server>> servers;
    for (std::size_t index = 0; index < options.m_workers.size(); ++index) {
        servers.push_back(
            std::make_unique<http_server>(context, parse_endpoint(options.m_workers[index], "--worker", errors), limits,
                                          [&platform, index](http_exchange& exchange) {
                                              return platform.handle_worker(exchange, platform.worker(index));
                                          }));
    }
    servers.push_back(std::make_unique<http_server>(
        context, parse_endpoint(options.m_listen, "--listen", errors), limits,
        [&platform](http_exchange& exchange) { return platform.handle_store(exchange); }));
    if (!errors.empty()) {
        std::cerr << errors.to_string() << '\n';
        return 2;
    }
    asio::co_spawn(context, platform.advance_time(), asio::detached);
    asio::co_spawn(context, platform.register_workers(), asio::detached);
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](const auto&, int) { context.stop(); });
    context.run();
    return 0;
}
