#ifndef CICADALUG_REVIEW_STANDIN_3_PLATFORM_HPP
#define CICADALUG_REVIEW_STANDIN_3_PLATFORM_HPP

// Stand-ins for the platform of the third review: its store, its workers, and clients, in one process, as PROTOCOL.md
// describes them. Each connection has a thread of its own; one lock guards all state.

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review_3 {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

inline constexpr const char* loopback{"127.0.0.1"};

/** @brief Guards all state of the stand-ins. */
inline std::mutex state_lock;
/** @brief Notified after changes of the state. */
inline std::condition_variable state_changed;

[[nodiscard]] inline auto ms_since(const steady::time_point begin) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - begin).count();
}

[[nodiscard]] inline auto unix_ms() -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline auto sleep_ms(const std::int64_t time) -> void
{
    std::this_thread::sleep_for(milliseconds{time});
}

/** @brief Record of what was sent, answered and run. */
class run_record {
public:
    auto open(const std::string& path) -> void { m_file.open(path); }

    auto line(const std::string& text) -> void
    {
        const std::lock_guard guard{m_lock};
        std::ostringstream out;
        out << ms_since(m_begin) << " ms  " << text;
        m_file << out.str() << std::endl;
        std::cout << out.str() << std::endl;
    }

private:
    std::mutex m_lock;
    steady::time_point m_begin{steady::now()};
    std::ofstream m_file;
};

inline run_record record;

[[nodiscard]] inline auto make_response(const unsigned status, const json& body) -> response
{
    response made{static_cast<http::status>(status), 11};
    made.set(http::field::content_type, "application/json");
    made.body() = body.dump();
    return made;
}

[[nodiscard]] inline auto encode_base64(const std::string& bytes) -> std::string
{
    std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

/** @brief Parts of the target of a request. */
struct target_parts {
    std::string m_path;
    std::map<std::string, std::string> m_query;
};

[[nodiscard]] inline auto parse_target(const std::string& target) -> target_parts
{
    target_parts parts;
    const auto mark = target.find('?');
    parts.m_path = target.substr(0, mark);
    std::istringstream query{mark == std::string::npos ? std::string{} : target.substr(mark + 1)};
    for (std::string pair; std::getline(query, pair, '&');) {
        const auto equals = pair.find('=');
        parts.m_query[pair.substr(0, equals)] = equals == std::string::npos ? std::string{} : pair.substr(equals + 1);
    }
    return parts;
}

/** @brief Server on a loopback port. A handler that returns no response lets the connection end without one. */
class server {
public:
    using handler = std::function<std::unique_ptr<response>(const request&)>;

    explicit server(handler handle) : m_handle{std::move(handle)}, m_acceptor{m_context}
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(asio::socket_base::reuse_address{true});
        m_acceptor.bind({asio::ip::make_address(loopback), 0});
        m_acceptor.listen();
        std::thread{[this] {
            accept_all();
        }}.detach();
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return std::string{loopback} + ':' + std::to_string(m_acceptor.local_endpoint().port());
    }

    /** @brief While down, connections are reset, like those to a process that is not there. */
    auto set_down(const bool down) -> void
    {
        m_down = down;
        if (down) {
            const std::lock_guard guard{m_lock};
            for (const auto socket : m_open) {
                ::shutdown(socket, SHUT_RDWR);
            }
        }
    }

private:
    auto accept_all() -> void
    {
        for (;;) {
            boost::system::error_code error;
            auto socket = std::make_shared<tcp::socket>(m_context);
            m_acceptor.accept(*socket, error);
            if (error) {
                continue;
            }
            if (m_down) {
                socket->set_option(asio::socket_base::linger{true, 0}, error);
                continue;
            }
            std::thread{[this, socket] {
                serve(*socket);
            }}.detach();
        }
    }

    auto serve(tcp::socket& socket) -> void
    {
        {
            const std::lock_guard guard{m_lock};
            m_open.insert(socket.native_handle());
        }
        boost::system::error_code error;
        socket.set_option(tcp::no_delay{true}, error);
        beast::flat_buffer buffer;
        for (bool open = true; open;) {
            request received;
            http::read(socket, buffer, received, error);
            if (error || m_down) {
                break;
            }
            const auto answer = m_handle(received);
            if (answer == nullptr || m_down) {
                break;
            }
            answer->keep_alive(received.keep_alive());
            answer->prepare_payload();
            http::write(socket, *answer, error);
            open = !error && received.keep_alive();
        }
        const std::lock_guard guard{m_lock};
        m_open.erase(socket.native_handle());
        socket.close(error);
    }

    handler m_handle;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_down{false};
    std::mutex m_lock;
    std::set<int> m_open;
};

/** @brief Store of the platform. All members but the handler need state_lock. */
class store {
public:
    store()
        : m_server{[this](const request& received) {
              return handle(received);
          }}
    {
    }

    [[nodiscard]] auto address() const -> std::string { return m_server.address(); }

    /** @brief Writes a key for the operator or for a worker. */
    auto put(const std::string& key, const json& value, const std::uint64_t lease) -> void
    {
        ++m_revision;
        set(key, encode_base64(value.dump()), lease);
        state_changed.notify_all();
    }

    auto remove_key(const std::string& key) -> void
    {
        ++m_revision;
        remove(key);
        state_changed.notify_all();
    }

    [[nodiscard]] auto open_lease(const std::int64_t ttl_ms) -> std::uint64_t
    {
        m_leases[++m_last_lease] = {ttl_ms, steady::now() + milliseconds{ttl_ms}};
        return m_last_lease;
    }

    auto expire_leases() -> void
    {
        std::vector<std::uint64_t> expired;
        for (const auto& [lease, entry] : m_leases) {
            if (entry.m_ends < steady::now()) {
                expired.push_back(lease);
            }
        }
        for (const auto lease : expired) {
            end_lease(lease);
        }
    }

private:
    struct lease_entry {
        std::int64_t m_ttl_ms{0};
        steady::time_point m_ends;
    };

    auto set(const std::string& key, const std::string& value, const std::uint64_t lease) -> void
    {
        const auto known = m_items.find(key);
        const auto created = known == m_items.end() ? json(m_revision) : known->second.at("created_at");
        m_items[key] = {
            {"key", key}, {"value", value}, {"revision", m_revision}, {"created_at", created}, {"lease", lease}};
        m_history.emplace_back(m_revision, m_items[key]);
    }

    auto remove(const std::string& key) -> void
    {
        if (m_items.erase(key) > 0) {
            m_history.emplace_back(m_revision, json{{"key", key}, {"revision", m_revision}, {"deleted", true}});
        }
    }

    auto end_lease(const std::uint64_t lease) -> bool
    {
        if (m_leases.erase(lease) == 0) {
            return false;
        }
        ++m_revision;
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.at("lease") == lease) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            remove(key);
        }
        state_changed.notify_all();
        return true;
    }

    [[nodiscard]] auto handle(const request& received) -> std::unique_ptr<response>
    {
        const auto target = parse_target(std::string{received.target()});
        const auto body = json::parse(received.body(), nullptr, false);
        std::unique_lock guard{state_lock};
        if (target.m_path == "/cicadalug/kv-watch") {
            return std::make_unique<response>(watch(target, guard));
        }
        return std::make_unique<response>(execute(target, body));
    }

    [[nodiscard]] auto watch(const target_parts& target, std::unique_lock<std::mutex>& guard) -> response
    {
        const auto prefix = target.m_query.at("prefix");
        const auto after = std::stoull(target.m_query.at("after"));
        const auto end = steady::now() + milliseconds{std::stoll(target.m_query.at("wait_ms"))};
        for (;;) {
            auto events = json::array();
            for (const auto& [revision, event] : m_history) {
                if (revision > after && event.at("key").get<std::string>().starts_with(prefix)) {
                    events.push_back(event);
                }
            }
            if (!events.empty() || steady::now() >= end) {
                return make_response(200, {{"events", events}, {"store_revision", m_revision}});
            }
            state_changed.wait_until(guard, end);
        }
    }

    [[nodiscard]] auto execute(const target_parts& target, const json& body) -> response
    {
        const auto& path = target.m_path;
        if (path == "/cicadalug/kv-key") {
            const auto found = m_items.find(target.m_query.at("key"));
            if (found == m_items.end()) {
                return make_response(404, json::object());
            }
            auto item = found->second;
            item["store_revision"] = m_revision;
            return make_response(200, item);
        }
        if (path == "/cicadalug/kv-range") {
            return list(target);
        }
        if (path == "/cicadalug/kv-txn") {
            return write(body);
        }
        if (path == "/cicadalug/kv-lease") {
            const auto ttl_ms = body.at("ttl_ms").get<std::int64_t>();
            return make_response(200, {{"lease", open_lease(ttl_ms)}, {"ttl_ms", ttl_ms}});
        }
        const auto id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        if (path.starts_with("/cicadalug/kv-keep/")) {
            const auto found = m_leases.find(id);
            if (found == m_leases.end()) {
                return make_response(404, json::object());
            }
            found->second.m_ends = steady::now() + milliseconds{found->second.m_ttl_ms};
            return make_response(200, json::object());
        }
        if (path.starts_with("/cicadalug/kv-lease-end/")) {
            return make_response(end_lease(id) ? 200 : 404, json::object());
        }
        return make_response(404, json::object());
    }

    [[nodiscard]] auto list(const target_parts& target) const -> response
    {
        constexpr std::size_t page_items{500};
        const auto prefix = target.m_query.at("prefix");
        const auto after = target.m_query.contains("after") ? target.m_query.at("after") : std::string{};
        auto items = json::array();
        auto next = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
        for (; next != m_items.end() && next->first.starts_with(prefix) && items.size() < page_items; ++next) {
            items.push_back(next->second);
        }
        const bool more = next != m_items.end() && next->first.starts_with(prefix);
        return make_response(200, {{"items", items}, {"has_more", more}, {"store_revision", m_revision}});
    }

    [[nodiscard]] auto write(const json& body) -> response
    {
        auto current = json::array();
        bool holds{true};
        for (const auto& condition : body.at("expected_rev")) {
            const auto found = m_items.find(condition.at("key").get<std::string>());
            const bool exists = found != m_items.end();
            holds = holds && condition.at("revision") == (exists ? found->second.at("revision") : json(0));
            if (exists) {
                current.push_back(found->second);
            }
        }
        if (!holds) {
            return make_response(412, {{"items", current}});
        }
        for (const auto& put : body.at("puts")) {
            const auto lease = put.value("lease", std::uint64_t{0});
            const auto key = put.at("key").get<std::string>();
            if (key.starts_with("op/") || key.starts_with("servers/")) {
                return make_response(403, json::object());
            }
            if (lease != 0 && !m_leases.contains(lease)) {
                return make_response(404, json::object());
            }
        }
        ++m_revision;
        for (const auto& put : body.at("puts")) {
            set(put.at("key"), put.at("value"), put.value("lease", std::uint64_t{0}));
        }
        for (const auto& key : body.value("remove", json::array())) {
            remove(key);
        }
        state_changed.notify_all();
        return make_response(200, {{"revision", m_revision}});
    }

    std::map<std::string, json> m_items;
    std::vector<std::pair<std::uint64_t, json>> m_history;
    std::map<std::uint64_t, lease_entry> m_leases;
    std::uint64_t m_revision{10};
    std::uint64_t m_last_lease{100};
    server m_server;
};

/** @brief Description of a worker. */
struct worker_kind {
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_rack;
    std::int64_t m_cpu{32'000};
    std::int64_t m_mem_mb{65'536};
};

/** @brief A task that a worker has begun on an order. */
struct task_start {
    std::string m_worker;
    std::string m_task;
    std::int64_t m_run{0};
    std::string m_spec;
    steady::time_point m_time;
};

/** @brief The end of a run. */
struct task_end {
    std::string m_worker;
    std::string m_task;
    std::int64_t m_run{0};
    std::string m_how;
    steady::time_point m_time;
};

/** @brief Worker of the platform, with `enforces_capacity` false. All members but the handler need state_lock. */
class worker {
public:
    /** @brief Returns for how long a task works, in milliseconds. */
    using work_time = std::function<std::int64_t(const std::string& task)>;

    static constexpr std::int64_t heartbeat_ms{1'500};
    static constexpr std::int64_t hold_max_ms{10'000};

    worker(store& registry, worker_kind kind, work_time work)
        : m_registry{registry}, m_kind{std::move(kind)}, m_work{std::move(work)}, m_server{
                                                                                      [this](const request& received) {
                                                                                          return handle(received);
                                                                                      }}
    {
        begin_life();
    }

    [[nodiscard]] auto id() const -> const std::string& { return m_kind.m_id; }
    [[nodiscard]] auto kind() const -> const worker_kind& { return m_kind; }
    [[nodiscard]] auto address() const -> std::string { return m_server.address(); }
    [[nodiscard]] auto starts() const -> const std::vector<task_start>& { return m_starts; }
    [[nodiscard]] auto ends() const -> const std::vector<task_end>& { return m_all_ends; }
    [[nodiscard]] auto running() const -> std::size_t { return m_runs.size(); }
    [[nodiscard]] auto refused() const -> std::int64_t { return m_refused; }
    /** @brief Returns the tasks that it runs. */
    [[nodiscard]] auto running_tasks() const -> std::vector<std::string>
    {
        std::vector<std::string> tasks;
        for (const auto& [task, run] : m_runs) {
            tasks.push_back(task);
        }
        return tasks;
    }

    /** @brief An unhealthy worker refuses all starts with 503 and has then done nothing. */
    auto set_unhealthy(const bool unhealthy) -> void { m_unhealthy = unhealthy; }

    /** @brief The next start that comes, to this worker or another one, gets no answer and waits. */
    static auto hold_next_start() -> void { next_start_is_held = true; }
    /** @brief Checks whether a start to this worker has been held. */
    [[nodiscard]] auto has_held_start() const -> bool { return !m_held_start.is_null(); }
    /** @brief Carries out the start that was held, as any call that arrives now. @return Status of its answer. */
    [[nodiscard]] auto carry_out_held_start() -> unsigned
    {
        std::unique_lock<std::mutex> unused;
        return execute("/cicadalug/run-start", std::exchange(m_held_start, nullptr), unused).result_int();
    }

    /** @brief A worker that is cut off gets no calls and does not reach the store. It runs on. */
    auto set_cut_off(const bool cut_off) -> void
    {
        m_cut_off = cut_off;
        state_changed.notify_all();
    }

    /** @brief Ends the process of the worker: all that it runs and knows is gone, and it sends nothing. */
    auto crash() -> void
    {
        m_up = false;
        for (const auto& [task, run] : m_runs) {
            m_all_ends.push_back({id(), task, run.m_run, "crashed", steady::now()});
        }
        m_runs.clear();
        m_server.set_down(true);
        state_changed.notify_all();
    }

    /** @brief Starts the process again under its id. */
    auto restart() -> void
    {
        begin_life();
        m_server.set_down(false);
    }

    /** @brief Writes its entry to the registry, as at each heartbeat. */
    auto write_entry() -> void
    {
        m_registered_at = steady::now();
        const json entry{{"service", m_kind.m_service},
                         {"address", m_server.address()},
                         {"zone", m_kind.m_zone},
                         {"version", "1"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"cold_left_ms", 0},
                         {"seq", ++m_sequence},
                         {"capacity", {{"cpu", m_kind.m_cpu}, {"mem_mb", m_kind.m_mem_mb}, {"gpu", 0}}},
                         {"labels", {"a", m_kind.m_rack}},
                         {"machine", "m-" + id()},
                         {"born", m_born}};
        m_registry.put("servers/" + id(), entry, m_registry.open_lease(3 * heartbeat_ms));
    }

    /** @brief Does what is due: ends of runs, the end of the lease, heartbeats. */
    auto advance() -> void
    {
        if (!m_up) {
            return;
        }
        const auto now = steady::now();
        std::vector<std::string> done;
        for (const auto& [task, run] : m_runs) {
            if (now >= run.m_done_at) {
                done.push_back(task);
            }
        }
        for (const auto& task : done) {
            end_run(task, "done");
        }
        while (!m_runs.empty() && clock_ms() >= m_lease_until_ms) {
            end_run(std::string{m_runs.begin()->first}, "lapsed");
        }
        if (!m_cut_off && ms_since(m_registered_at) >= heartbeat_ms) {
            write_entry();
        }
    }

private:
    struct run_state {
        std::int64_t m_run{0};
        steady::time_point m_started;
        steady::time_point m_done_at;
    };

    auto begin_life() -> void
    {
        m_born = unix_ms();
        m_clock_began = steady::now();
        m_fence = 0;
        m_lease_until_ms = 0;
        m_last_end = 0;
        m_sequence = 0;
        m_runs.clear();
        m_ends.clear();
        m_ended_runs.clear();
        m_up = true;
        if (!m_cut_off) {
            write_entry();
        }
    }

    [[nodiscard]] auto clock_ms() const -> std::int64_t { return ms_since(m_clock_began) + 1'000; }

    auto end_run(const std::string& task, const char* how) -> void
    {
        const auto run = m_runs.at(task).m_run;
        m_runs.erase(task);
        m_ended_runs[task] = std::max(m_ended_runs[task], run);
        m_ends.push_back({++m_last_end, task, run, how, ""});
        m_all_ends.push_back({id(), task, run, how, steady::now()});
        state_changed.notify_all();
    }

    [[nodiscard]] auto basic_body() const -> json { return {{"clock_ms", clock_ms()}, {"born", m_born}}; }

    [[nodiscard]] auto refuse(const char* reason) const -> response
    {
        auto body = basic_body();
        body["reason"] = reason;
        return make_response(409, body);
    }

    auto extend_lease(const json& body) -> void
    {
        const auto until = std::min(body.value("until_ms", std::int64_t{0}), clock_ms() + hold_max_ms);
        m_lease_until_ms = std::max(m_lease_until_ms, until);
    }

    [[nodiscard]] auto handle(const request& received) -> std::unique_ptr<response>
    {
        const auto body = json::parse(received.body(), nullptr, false);
        std::unique_lock guard{state_lock};
        const auto life = m_born;
        if (!m_up) {
            return nullptr;
        }
        if (m_cut_off) {
            return wait_in_vain(guard);
        }
        if (received["X-Expect-Instance"] != id()) {
            return std::make_unique<response>(make_response(421, basic_body()));
        }
        if (received.target() == "/cicadalug/run-start" && std::exchange(next_start_is_held, false)) {
            m_held_start = body;
            record.line("a start of " + body.at("task").get<std::string>() + " to " + id() + " gets no answer");
            return wait_in_vain(guard);
        }
        auto answer = execute(std::string{received.target()}, body, guard);
        if (m_cut_off) {
            return wait_in_vain(guard);
        }
        return m_up && m_born == life ? std::make_unique<response>(std::move(answer)) : nullptr;
    }

    /** @brief Keeps a call without an answer for longer than its caller waits. */
    [[nodiscard]] static auto wait_in_vain(std::unique_lock<std::mutex>& guard) -> std::unique_ptr<response>
    {
        constexpr std::int64_t patience_ms{3'000};
        guard.unlock();
        sleep_ms(patience_ms);
        guard.lock();
        return nullptr;
    }

    [[nodiscard]] auto execute(const std::string& path, const json& body, std::unique_lock<std::mutex>& guard)
        -> response
    {
        const auto fence = body.value("fence", std::uint64_t{0});
        if (fence < m_fence) {
            return refuse("fence");
        }
        m_fence = fence;
        if (path == "/cicadalug/run-start") {
            return start(body);
        }
        if (path == "/cicadalug/run-stop") {
            const auto task = body.at("task").get<std::string>();
            const auto run = body.at("run").get<std::int64_t>();
            m_ended_runs[task] = std::max(m_ended_runs[task], run);
            if (const auto found = m_runs.find(task); found != m_runs.end() && found->second.m_run == run) {
                end_run(task, "stopped");
            }
            return make_response(200, basic_body());
        }
        if (path == "/cicadalug/hold") {
            return hold(body, guard);
        }
        return make_response(path == "/cicadalug/pace" ? 200 : 404, basic_body());
    }

    [[nodiscard]] auto start(const json& body) -> response
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::int64_t>();
        if (m_unhealthy) {
            ++m_refused;
            return make_response(503, basic_body());
        }
        const auto found = m_runs.find(task);
        if (found != m_runs.end() && found->second.m_run == run) {
            return make_response(200, basic_body());
        }
        extend_lease(body);
        const auto ended = m_ended_runs.find(task);
        if (found != m_runs.end() || (ended != m_ended_runs.end() && run <= ended->second)) {
            return refuse("old");
        }
        if (body.at("until_ms").get<std::int64_t>() <= clock_ms()) {
            return refuse("late");
        }
        const auto now = steady::now();
        m_runs[task] = {run, now, now + milliseconds{m_work(task)}};
        m_starts.push_back({id(), task, run, body.at("spec"), now});
        return make_response(200, basic_body());
    }

    [[nodiscard]] auto hold(const json& body, std::unique_lock<std::mutex>& guard) -> response
    {
        extend_lease(body);
        const auto seen = body.value("last_seen", std::int64_t{0});
        std::erase_if(m_ends, [seen](const json& row) { return row.at(0).get<std::int64_t>() <= seen; });
        const auto end = steady::now() + milliseconds{body.value("wait_ms", 0)};
        const auto life = m_born;
        while (m_up && m_born == life && m_ends.empty() && steady::now() < end) {
            state_changed.wait_until(guard, end);
        }
        auto report = basic_body();
        report["running"] = json::array();
        for (const auto& [task, run] : m_runs) {
            report["running"].push_back({task, run.m_run, "", 100, 0});
        }
        report["ended_runs"] = json::array();
        for (std::size_t row = 0; row < std::min<std::size_t>(m_ends.size(), 500); ++row) {
            report["ended_runs"].push_back(m_ends[row]);
        }
        return make_response(200, report);
    }

    store& m_registry;
    const worker_kind m_kind;
    const work_time m_work;
    inline static bool next_start_is_held{false};
    json m_held_start;
    bool m_cut_off{false};
    bool m_up{false};
    bool m_unhealthy{false};
    std::int64_t m_born{0};
    steady::time_point m_clock_began;
    steady::time_point m_registered_at;
    std::uint64_t m_fence{0};
    std::int64_t m_lease_until_ms{0};
    std::int64_t m_last_end{0};
    std::int64_t m_sequence{0};
    std::int64_t m_refused{0};
    std::map<std::string, run_state> m_runs;
    std::vector<json> m_ends;
    std::map<std::string, std::int64_t> m_ended_runs;
    std::vector<task_start> m_starts;
    std::vector<task_end> m_all_ends;
    server m_server;
};

/** @brief Status and body of an answer; status 0 if there was none. */
struct answer {
    unsigned m_status{0};
    json m_body;
};

/** @brief Sends a request of a client. */
[[nodiscard]] inline auto call(const std::string& address, const http::verb verb, const std::string& host,
                               const std::string& path, const json& body = nullptr) -> answer
{
    constexpr int client_timeout_s{3};
    asio::io_context context;
    tcp::socket socket{context};
    boost::system::error_code error;
    const auto colon = address.find(':');
    socket.connect({asio::ip::make_address(address.substr(0, colon)),
                    static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))},
                   error);
    if (error) {
        return {};
    }
    const ::timeval limit{client_timeout_s, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    request sent{verb, path, 11};
    sent.set(http::field::host, host);
    sent.set("X-Deadline-Ms", std::to_string(client_timeout_s * 1'000));
    if (!body.is_null()) {
        sent.set(http::field::content_type, "application/json");
        sent.body() = body.dump();
    }
    sent.prepare_payload();
    http::write(socket, sent, error);
    beast::flat_buffer buffer;
    response received;
    if (!error) {
        http::read(socket, buffer, received, error);
    }
    return error ? answer{} : answer{received.result_int(), json::parse(received.body(), nullptr, false)};
}

/** @brief Returns a port such that it and the next ones are free. */
[[nodiscard]] inline auto free_ports(const int count) -> int
{
    static int next{10'000 + static_cast<int>(::getpid() % 200) * 100};
    for (;; next += count) {
        asio::io_context context;
        bool all_free{true};
        for (int port = next; port < next + count; ++port) {
            boost::system::error_code error;
            tcp::acceptor probe{context};
            probe.open(tcp::v4());
            probe.bind({asio::ip::make_address(loopback), static_cast<unsigned short>(port)}, error);
            all_free = all_free && !error;
        }
        if (all_free) {
            return std::exchange(next, next + count);
        }
    }
}

/** @brief An entry VM: its settings file and its process. */
class entry_vm {
public:
    /** @param command Program and arguments, as in the deploy file. */
    entry_vm(const std::vector<std::string>& command, const std::string& directory, const std::string& name,
             const std::string& zone, const std::string& store_address, const std::string& cloud_address)
        : m_command{command}, m_file{directory + '/' + name + ".toml"}
    {
        const auto first = free_ports(5);
        m_front = at(first);
        m_readiness = at(first + 1);
        std::ofstream file{m_file};
        file << "node_name = \"" << name
             << "\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\"]\nip = \"" << loopback
             << "\"\nzone = \"" << zone << "\"\nregion = \"r\"\ninternal_ports = [" << first + 3 << ',' << first + 4
             << "]\nseeds = []\nbootstrap = true\nheartbeat_ms = " << worker::heartbeat_ms
             << "\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\norders = "
                "\"call\"\n[zones]\na = \"r\"\nb = \"r\"\n[listen]\nfront = \""
             << m_front << "\"\nreadiness = \"" << m_readiness << "\"\ncontrol = \"" << at(first + 2)
             << "\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n"
                "disk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\n"
                "addr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\n"
                "loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n"
                "recovery_s = 12\nhold_max_ms = "
             << worker::hold_max_ms
             << "\nstop_grace_ms = 400\ngang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n"
                "finish_s = 14\nstatus_s = 120\nremote_factor = 1.5\ncheckpoint_interval_s = 0.5\nrestore_ms = 600\n"
                "notice_ms = 4500\nmove_s = 1.5\nmaintenance_s = 2\nfencing_required = true\nlease_ms = 3000\n"
                "thaw_slack_ms = 300\npace_ms = 100\nharm_ms = 4000\n[platform]\naddress = \""
             << store_address
             << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n"
                "ttl_min_ms = 1000\n";
        if (!cloud_address.empty()) {
            file << "[cloud]\naddress = \"" << cloud_address
                 << "\"\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n";
        }
        file.close();
        start();
    }

    entry_vm(const entry_vm&) = delete;
    entry_vm(entry_vm&&) = delete;
    auto operator=(const entry_vm&) -> entry_vm& = delete;
    auto operator=(entry_vm&&) -> entry_vm& = delete;

    ~entry_vm() { kill_process(); }

    [[nodiscard]] auto front() const -> const std::string& { return m_front; }

    [[nodiscard]] auto is_ready() const -> bool
    {
        return call(m_readiness, http::verb::get, "ready", "/cicadalug/ready").m_status == 200;
    }

    auto start() -> void
    {
        const auto log = m_file + ".log";
        std::vector<char*> arguments;
        for (auto& word : m_command) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("CICADALUG_NODE_FILE", m_file.c_str(), 1);
            std::FILE* out = std::freopen(log.c_str(), "a", stdout);
            std::FILE* errors = std::freopen(log.c_str(), "a", stderr);
            if (out != nullptr && errors != nullptr) {
                ::execv(arguments.front(), arguments.data());
            }
            ::_exit(127);
        }
    }

    auto send_signal(const int signal) const -> void { ::kill(m_process, signal); }

    auto kill_process() -> void
    {
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
            m_process = 0;
        }
    }

private:
    [[nodiscard]] static auto at(const int port) -> std::string
    {
        return std::string{loopback} + ':' + std::to_string(port);
    }

    std::vector<std::string> m_command;
    std::string m_file;
    std::string m_front;
    std::string m_readiness;
    ::pid_t m_process{0};
};

/** @brief Results of a script, as exit codes. */
enum class verdict { held = 0, broken = 1, not_run = 2 };

/** @brief A small deployment: the store, workers and entry VMs. */
class deployment {
public:
    /** @param command Program and arguments of an entry VM. @param directory Folder for settings and logs. */
    deployment(std::vector<std::string> command, std::string directory)
        : m_command{std::move(command)}, m_directory{std::move(directory)}
    {
    }

    [[nodiscard]] auto registry() -> store& { return m_store; }
    [[nodiscard]] auto workers() -> std::vector<std::unique_ptr<worker>>& { return m_workers; }
    [[nodiscard]] auto workers() const -> const std::vector<std::unique_ptr<worker>>& { return m_workers; }
    [[nodiscard]] auto entry_vms() -> std::vector<std::unique_ptr<entry_vm>>& { return m_entry_vms; }

    auto add_worker(worker_kind kind, worker::work_time work) -> void
    {
        const std::lock_guard guard{state_lock};
        m_workers.push_back(std::make_unique<worker>(m_store, std::move(kind), std::move(work)));
    }

    /** @brief Sets the address of the interface to the machines, before the entry VMs are started. */
    auto set_cloud(std::string address) -> void { m_cloud_address = std::move(address); }

    /** @brief Starts the entry VMs and waits until they are ready. @return False if they are not in time. */
    [[nodiscard]] auto start(const json& config, const std::vector<std::string>& zones) -> bool
    {
        {
            const std::lock_guard guard{state_lock};
            m_store.put("op/config", config, 0);
        }
        std::thread{[this] {
            for (;;) {
                {
                    const std::lock_guard guard{state_lock};
                    m_store.expire_leases();
                    for (const auto& each : m_workers) {
                        each->advance();
                    }
                }
                sleep_ms(5);
            }
        }}.detach();
        for (std::size_t index = 0; index < zones.size(); ++index) {
            m_entry_vms.push_back(std::make_unique<entry_vm>(m_command, m_directory,
                                                             "front-" + std::to_string(index + 1), zones[index],
                                                             m_store.address(), m_cloud_address));
        }
        const auto begin = steady::now();
        const auto all_ready = [this] {
            return std::all_of(m_entry_vms.begin(), m_entry_vms.end(),
                               [](const auto& entry) { return entry->is_ready(); });
        };
        while (!all_ready()) {
            if (ms_since(begin) > 15'000) {
                return false;
            }
            sleep_ms(100);
        }
        return true;
    }

    /** @brief Returns all starts of all workers, in order of time. */
    [[nodiscard]] auto starts() const -> std::vector<task_start>
    {
        const std::lock_guard guard{state_lock};
        std::vector<task_start> all;
        for (const auto& each : m_workers) {
            all.insert(all.end(), each->starts().begin(), each->starts().end());
        }
        std::sort(all.begin(), all.end(),
                  [](const auto& left, const auto& right) { return left.m_time < right.m_time; });
        return all;
    }

    /** @brief Returns all ends of all workers, in order of time. */
    [[nodiscard]] auto ends() const -> std::vector<task_end>
    {
        const std::lock_guard guard{state_lock};
        std::vector<task_end> all;
        for (const auto& each : m_workers) {
            all.insert(all.end(), each->ends().begin(), each->ends().end());
        }
        std::sort(all.begin(), all.end(),
                  [](const auto& left, const auto& right) { return left.m_time < right.m_time; });
        return all;
    }

private:
    std::vector<std::string> m_command;
    std::string m_directory;
    std::string m_cloud_address;
    store m_store;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::vector<std::unique_ptr<entry_vm>> m_entry_vms;
};

/** @brief Returns a queue of a configuration. */
[[nodiscard]] inline auto queue_of(const std::string& name, const std::string& service, const int priority) -> json
{
    return {{"name", name},
            {"host", name + ".example"},
            {"prefix", "/" + name + "/"},
            {"service", service},
            {"timeout_ms", 3'000},
            {"priority", priority},
            {"max_attempts", 4},
            {"stretch", 1.6},
            {"target_duration_ms", 600}};
}

/** @brief Arguments of a case: RECORD DIRECTORY COMMAND..., and TROUBLE in the environment. */
struct case_arguments {
    bool m_valid{false};
    bool m_trouble{true};
    std::string m_directory;
    std::vector<std::string> m_command;
};

[[nodiscard]] inline auto read_arguments(const int count, char** values) -> case_arguments
{
    case_arguments read;
    if (count < 4) {
        std::cerr << "usage: " << values[0] << " RECORD DIRECTORY COMMAND...\n";
        return read;
    }
    ::signal(SIGPIPE, SIG_IGN);
    record.open(values[1]);
    read.m_directory = values[2];
    read.m_command.assign(values + 3, values + count);
    const char* trouble = std::getenv("TROUBLE");
    read.m_trouble = trouble == nullptr || std::string{trouble} != "0";
    read.m_valid = true;
    record.line(std::string{"disruption: "} + (read.m_trouble ? "yes" : "no"));
    return read;
}

/** @brief Ends the process, with the threads of the stand-ins, after the entry VMs have ended. */
[[noreturn]] inline auto finish(deployment& played, const verdict result) -> void
{
    played.entry_vms().clear();
    record.line(result == verdict::held     ? "the rule held"
                : result == verdict::broken ? "the rule was broken"
                                            : "the case could not run");
    ::_exit(static_cast<int>(result));
}

} // namespace review_3

#endif
