#include "simulated_platform.hpp"

#include <cicadalug/async/monotonic_now.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace cicadalug::review {

namespace {

constexpr milliseconds poll_interval{10};
constexpr milliseconds heartbeat_interval{1'500};
/** @brief A worker's entry is removed after three heartbeat intervals of silence. */
constexpr milliseconds entry_lease{4'500};
constexpr milliseconds longest_watch{30'000};
/** @brief Duration of an upkeep: maintenance_s of the settings. */
constexpr milliseconds upkeep_time{2'000};
constexpr const char* service_name{"batch"};
/** @brief checkpoint_interval_s of the settings, and the length of a checkpoint in the platform's examples. */
constexpr milliseconds checkpoint_interval{500};
constexpr std::size_t checkpoint_length{16};
/** @brief A worker lists this many ends at a time. */
constexpr std::ptrdiff_t max_listed_ends{500};

/** @brief First port that is tried, and number of ports: below those that the system gives to outgoing connections. */
constexpr int first_port{20'000};
constexpr int port_count{12'000};

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

[[nodiscard]] auto unix_ms() -> std::int64_t
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(time).count();
}

[[nodiscard]] auto address_of(const tcp_endpoint& endpoint) -> std::string
{
    std::ostringstream text;
    text << endpoint;
    return std::move(text).str();
}

[[nodiscard]] auto refusal(const char* reason) -> http_response
{
    return json_response(http::status::conflict, {{"reason", reason}});
}

} // namespace

auto free_port() -> int
{
    static int tried{static_cast<int>(::getpid()) * 16};
    asio::io_context context;
    for (int attempt = 0; attempt < port_count; ++attempt) {
        const int port{first_port + ++tried % port_count};
        asio::ip::tcp::acceptor acceptor{context};
        boost::system::error_code error;
        const tcp_endpoint endpoint{asio::ip::make_address_v4("127.0.0.1"), static_cast<std::uint16_t>(port)};
        acceptor.open(endpoint.protocol(), error);
        acceptor.bind(endpoint, error);
        if (!error) {
            return port;
        }
    }
    throw std::runtime_error{"no free port"};
}

simulated_platform::simulated_platform(asio::io_context& context, record_function record)
    : m_context{context}, m_record{std::move(record)}, m_began{monotonic_now()}
{
}

auto simulated_platform::now_ms() const -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(monotonic_now() - m_began).count();
}

auto simulated_platform::sleep(const milliseconds time) -> asio::awaitable<void>
{
    asio::steady_timer timer{m_context, time};
    co_await timer.async_wait(asio::use_awaitable);
}

auto simulated_platform::add_machine(const std::string& rack, const std::int64_t cpu) -> std::size_t
{
    auto& added = m_machines.emplace_back();
    const auto number = std::to_string(m_machines.size() - 1);
    added.m_machine = "m-" + number;
    added.m_worker_id = "w-" + number;
    added.m_rack = rack;
    added.m_cpu = cpu;
    return m_machines.size() - 1;
}

auto simulated_platform::serve(std::string& address, http_handler handler) -> std::unique_ptr<http_server>
{
    http_server_limits limits;
    // A value of 1 MB takes 1.4 MB in base64, and a write has up to 32 entries.
    limits.m_body_bytes = 64 * std::uint64_t{1'048'576};
    findings found;
    const auto endpoint =
        parse_endpoint(address.empty() ? "127.0.0.1:" + std::to_string(free_port()) : address, "address", found);
    auto server = std::make_unique<http_server>(m_context, endpoint, limits, std::move(handler));
    address = address_of(server->endpoint());
    return server;
}

auto simulated_platform::start(const json& config) -> void
{
    put("op/config", config.dump());
    m_servers.push_back(serve(m_store_address, [this](http_exchange& exchange) { return handle_store(exchange); }));
    m_servers.push_back(serve(m_cloud_address, [this](http_exchange& exchange) { return handle_cloud(exchange); }));
    for (auto& machine : m_machines) {
        begin_life(machine);
    }
    asio::co_spawn(m_context, advance_time(), asio::detached);
    asio::co_spawn(m_context, send_heartbeats(), asio::detached);
}

auto simulated_platform::put(const std::string& key, const std::string& value, const std::uint64_t lease) -> void
{
    const json item{{"key", key}, {"value", encode_base64(value)}, {"lease", lease}};
    static_cast<void>(m_store.write({{"expected_rev", json::array()}, {"puts", json::array({item})}}));
}

auto simulated_platform::value(const std::string& key) const -> std::string
{
    const auto read = m_store.read(key);
    return read.m_status == http::status::ok ? decode_base64(read.m_body.at("value").get<std::string>())
                                             : std::string{};
}

auto simulated_platform::begin_life(simulated_machine& machine) -> void
{
    ++machine.m_lives;
    const auto index = static_cast<std::size_t>(&machine - m_machines.data());
    machine.m_server =
        serve(machine.m_address, [this, index](http_exchange& exchange) { return handle_worker(exchange, index); });
    machine.m_life = std::make_unique<standin::scheduler_worker>(machine.m_worker_id, unix_ms(), monotonic_now());
    register_worker(machine);
}

auto simulated_platform::end_life(simulated_machine& machine) -> void
{
    // Its port has no listener then, and its connections break.
    machine.m_life.reset();
    machine.m_server.reset();
}

auto simulated_platform::register_worker(simulated_machine& machine) -> void
{
    const json entry{{"service", service_name},
                     {"address", machine.m_address},
                     {"zone", "a"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"seq", ++m_sequence},
                     {"capacity", {{"cpu", machine.m_cpu}, {"mem_mb", 65'536}, {"gpu", 0}}},
                     {"labels", {"a", machine.m_rack}},
                     {"machine", machine.m_machine},
                     {"born", machine.m_life->started_unix_ms()}};
    const auto lease = m_store.open_lease(entry_lease, monotonic_now()).m_body.at("lease").get<std::uint64_t>();
    put("servers/" + machine.m_worker_id, entry.dump(), lease);
}

auto simulated_platform::crash(const std::size_t machine) -> void
{
    m_record("worker " + m_machines[machine].m_worker_id + " crashes");
    end_life(m_machines[machine]);
}

auto simulated_platform::restart(const std::size_t machine) -> void
{
    begin_life(m_machines[machine]);
    m_record("worker " + m_machines[machine].m_worker_id + " is up again under its id");
}

auto simulated_platform::advance_time() -> asio::awaitable<void>
{
    for (;;) {
        m_store.expire_leases(monotonic_now());
        for (auto& machine : m_machines) {
            if (machine.m_life != nullptr) {
                machine.m_life->advance(monotonic_now());
            }
        }
        co_await sleep(poll_interval);
    }
}

auto simulated_platform::send_heartbeats() -> asio::awaitable<void>
{
    for (;;) {
        co_await sleep(heartbeat_interval);
        for (auto& machine : m_machines) {
            if (machine.m_life != nullptr) {
                register_worker(machine);
            }
        }
    }
}

auto simulated_platform::drop_after_peer(http_exchange& exchange) -> asio::awaitable<void>
{
    bool closed{false};
    exchange.on_peer_closed([&closed] { closed = true; });
    while (!closed) {
        co_await sleep(poll_interval);
    }
    exchange.drop();
}

auto simulated_platform::execute(const http_target& target, const json& body) -> standin::scheduler_store_response
{
    const auto& path = target.m_path;
    if (path == "/cicadalug/kv-key") {
        auto read = m_store.read(query_text(target, "key"));
        if (read.m_status == http::status::ok) {
            read.m_body["store_revision"] = m_store.revision();
        }
        return read;
    }
    if (path == "/cicadalug/kv-range") {
        return m_store.list(query_text(target, "prefix"), query_text(target, "after"));
    }
    if (path == "/cicadalug/kv-txn") {
        return m_store.write(body);
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
    return {http::status::not_found, json::object()};
}

auto simulated_platform::handle_store(http_exchange& exchange) -> asio::awaitable<void>
{
    const auto target = parse_target({exchange.request().target().data(), exchange.request().target().size()});
    if (target.m_path == "/cicadalug/kv-watch") {
        co_await watch(exchange, target);
        co_return;
    }
    const auto body = json::parse(exchange.request().body(), nullptr, false);
    const auto result = execute(target, body);
    co_await exchange.respond(json_response(result.m_status, result.m_body));
}

auto simulated_platform::watch(http_exchange& exchange, const http_target target) -> asio::awaitable<void>
{
    const auto prefix = query_text(target, "prefix");
    const auto after = std::strtoull(query_text(target, "after").c_str(), nullptr, 10);
    const milliseconds wait{std::strtoll(query_text(target, "wait_ms").c_str(), nullptr, 10)};
    const auto end = monotonic_now() + std::min(wait, longest_watch);
    auto events = m_store.changes_after(prefix, after);
    while (events.empty() && monotonic_now() < end) {
        co_await sleep(poll_interval);
        events = m_store.changes_after(prefix, after);
    }
    const json body{{"events", std::move(events)}, {"store_revision", m_store.revision()}};
    co_await exchange.respond(json_response(http::status::ok, body));
}

auto simulated_platform::handle_worker(http_exchange& exchange, const std::size_t index) -> asio::awaitable<void>
{
    const auto& request = exchange.request();
    const auto path = parse_target({request.target().data(), request.target().size()}).m_path;
    const auto body = json::parse(request.body(), nullptr, false);
    const auto& machine = m_machines[index];
    if (machine.m_life == nullptr) {
        exchange.drop();
        co_return;
    }
    if (request["X-Expect-Instance"] != machine.m_worker_id) {
        co_await exchange.respond(json_response(http::status::misdirected_request, json::object()));
        co_return;
    }
    if (path == "/cicadalug/hold") {
        co_await hold(exchange, index, body);
        co_return;
    }
    const auto plan = m_plan_command ? m_plan_command(index, path, body) : order_plan{};
    if (plan.m_action == order_action::refuse) {
        co_await exchange.respond(json_response(http::status::service_unavailable, json::object()));
        co_return;
    }
    if (plan.m_action == order_action::hold) {
        m_record("worker " + machine.m_worker_id + " does not answer " + path + " of " + body.value("task", "") +
                 " run " + std::to_string(body.value("run", 0)) + "; it carries it out " +
                 std::to_string(plan.m_delay.count()) + " ms later");
        asio::co_spawn(m_context, carry_out_command_later(index, machine.m_worker_id, path, body, plan.m_delay),
                       asio::detached);
        co_await drop_after_peer(exchange);
        co_return;
    }
    auto response = carry_out_command(index, path, body);
    co_await exchange.respond(std::move(response));
}

auto simulated_platform::report_of(const simulated_machine& machine) const -> json
{
    auto body = json::parse(machine.m_life->report(monotonic_now()).body());
    for (auto& row : body["running"]) {
        const auto task = row[0].get<std::string>();
        const auto time = m_run_time ? m_run_time(task) : milliseconds{1'000};
        const auto worked = row[3].get<std::int64_t>() * time.count() / 100;
        if (worked >= checkpoint_interval.count()) {
            auto text = std::to_string(worked / checkpoint_interval.count());
            row[2] = text.insert(0, checkpoint_length - text.size(), '0');
        }
    }
    auto& ends = body["ended_runs"];
    if (std::ssize(ends) > max_listed_ends) {
        ends.erase(ends.begin() + max_listed_ends, ends.end());
    }
    for (auto& row : ends) {
        if (row[3] == "done" && m_fails && m_fails(row[1].get<std::string>())) {
            row[3] = "failed";
        }
    }
    return body;
}

auto simulated_platform::note_ends(const simulated_machine& machine, const std::int64_t last_seen) -> void
{
    auto& noted = m_noted_ends[machine.m_worker_id + ' ' + std::to_string(machine.m_lives)];
    if (last_seen <= noted) {
        return;
    }
    noted = last_seen;
    const auto report = report_of(machine);
    for (const auto& row : report.at("ended_runs")) {
        if (row[0].get<std::int64_t>() <= last_seen && row[3] == "done") {
            m_noted_tasks.insert(row[1].get<std::string>());
        }
    }
}

auto simulated_platform::hold(http_exchange& exchange, const std::size_t index, const json body)
    -> asio::awaitable<void>
{
    auto& machine = m_machines[index];
    const auto lives = machine.m_lives;
    const auto is_same_life = [&machine, lives] {
        return machine.m_life != nullptr && machine.m_lives == lives;
    };
    note_ends(machine, body.value("last_seen", std::int64_t{0}));
    if (!machine.m_life->renew(body, monotonic_now())) {
        co_await exchange.respond(machine.m_life->refuse("fence", monotonic_now()));
        co_return;
    }
    const auto end = monotonic_now() + milliseconds{body.value("wait_ms", 0)};
    while (is_same_life() && !machine.m_life->has_ends() && monotonic_now() < end) {
        co_await sleep(poll_interval);
    }
    if (!is_same_life()) {
        exchange.drop();
        co_return;
    }
    co_await exchange.respond(json_response(http::status::ok, report_of(machine)));
}

auto simulated_platform::carry_out_command(const std::size_t index, const std::string path, const json body)
    -> http_response
{
    auto& machine = m_machines[index];
    if (path == "/cicadalug/run-stop") {
        m_record("worker " + machine.m_worker_id + " carries out the stop of " + body.value("task", "") + " run " +
                 std::to_string(body.value("run", 0)));
        return machine.m_life->stop(body, monotonic_now());
    }
    if (path != "/cicadalug/run-start") {
        return json_response(http::status::not_found, json::object());
    }
    const auto task = body.at("task").get<std::string>();
    const auto known = machine.m_life->starts().size();
    auto response = machine.m_life->start(body, m_run_time ? m_run_time(task) : milliseconds{1'000}, monotonic_now());
    if (machine.m_life->starts().size() == known) {
        m_record("worker " + machine.m_worker_id + " refuses the start of " + task + " run " +
                 std::to_string(body.value("run", std::int64_t{0})) + ": " + response.body());
        return response;
    }
    carried_out_start start{now_ms(), machine.m_worker_id, task, body.at("run").get<std::int64_t>()};
    start.m_doubled = std::any_of(m_machines.begin(), m_machines.end(), [&](const simulated_machine& other) {
        return &other != &machine && other.m_life != nullptr && other.m_life->is_running(task);
    });
    start.m_after_noted_end = m_noted_tasks.contains(task);
    m_starts.push_back(start);
    m_record("worker " + machine.m_worker_id + " starts " + task + " run " + std::to_string(start.m_run) +
             (start.m_doubled ? "; the task is running on another worker" : "") +
             (start.m_after_noted_end ? "; an end of it as done was taken note of" : ""));
    if (m_on_start) {
        m_on_start(index, start);
    }
    return response;
}

auto simulated_platform::carry_out_command_later(const std::size_t index, const std::string worker_id,
                                                 const std::string path, const json body, const milliseconds delay)
    -> asio::awaitable<void>
{
    co_await sleep(delay);
    auto& machine = m_machines[index];
    if (machine.m_life != nullptr && machine.m_worker_id == worker_id) {
        m_record("worker " + worker_id + " carries out a late order");
        static_cast<void>(carry_out_command(index, path, body));
    }
}

auto simulated_platform::machines_json() const -> json
{
    auto rows = json::array();
    for (const auto& machine : m_machines) {
        rows.push_back({{"machine", machine.m_machine},
                        {"pool", service_name},
                        {"state", machine.m_state},
                        {"zone", "a"},
                        {"labels", {"a", machine.m_rack}},
                        {"capacity", {{"cpu", machine.m_cpu}, {"mem_mb", 65'536}, {"gpu", 0}}},
                        {"id", machine.m_worker_id}});
    }
    return {{"machines", std::move(rows)}, {"next_token", nullptr}};
}

auto simulated_platform::handle_cloud(http_exchange& exchange) -> asio::awaitable<void>
{
    const auto& request = exchange.request();
    const auto path = parse_target({request.target().data(), request.target().size()}).m_path;
    if (path == "/cicadalug/machines") {
        co_await exchange.respond(json_response(http::status::ok, machines_json()));
        co_return;
    }
    if (path != "/cicadalug/machine-upkeep") {
        co_await exchange.respond(json_response(http::status::bad_request, json::object()));
        co_return;
    }
    const auto body = json::parse(request.body(), nullptr, false);
    machine_order order;
    order.m_at_ms = now_ms();
    order.m_holder = std::string{to_view(request["X-Duty-Holder"])};
    order.m_fence = std::strtoull(std::string{to_view(request["X-Fencing-Token"])}.c_str(), nullptr, 10);
    order.m_machine = body.value("machine", "");
    order.m_wave = body.value("wave", std::int64_t{0});
    m_orders.push_back(order);
    const auto plan = m_plan_order ? m_plan_order(order) : order_plan{};
    m_record("order of " + order.m_holder + " with token " + std::to_string(order.m_fence) + ": upkeep of " +
             order.m_machine + " for wave " + std::to_string(order.m_wave) +
             (plan.m_action == order_action::hold
                  ? "; no answer, carried out " + std::to_string(plan.m_delay.count()) + " ms later"
                  : ""));
    if (m_on_order) {
        m_on_order(order);
    }
    if (plan.m_action == order_action::hold) {
        asio::co_spawn(m_context, carry_out_order_later(order, plan.m_delay), asio::detached);
        co_await drop_after_peer(exchange);
        co_return;
    }
    auto response = carry_out_order(order);
    co_await exchange.respond(std::move(response));
}

auto simulated_platform::carry_out_order(const machine_order& order) -> http_response
{
    const auto found = std::find_if(m_machines.begin(), m_machines.end(), [&order](const simulated_machine& machine) {
        return machine.m_machine == order.m_machine;
    });
    if (found == m_machines.end()) {
        return json_response(http::status::bad_request, json::object());
    }
    if (order.m_fence < found->m_highest_fence) {
        return refusal("fence");
    }
    found->m_highest_fence = order.m_fence;
    if (std::find(found->m_begun.begin(), found->m_begun.end(), order.m_wave) != found->m_begun.end()) {
        return json_response(http::status::ok, json::object());
    }
    const auto wave = json::parse(value("op/wave/" + std::to_string(order.m_wave)), nullptr, false);
    const auto members = wave.is_object() ? wave.value("machines", json::array()) : json::array();
    if (std::find(members.begin(), members.end(), json(order.m_machine)) == members.end()) {
        return refusal("wave");
    }
    if (found->m_state != "up") {
        return refusal("busy");
    }
    begun_upkeep upkeep{now_ms(), order.m_machine, order.m_wave};
    upkeep.m_others_down = std::count_if(m_machines.begin(), m_machines.end(), [&](const simulated_machine& other) {
        return other.m_state == "upkeep" && other.m_begun.back() == order.m_wave;
    });
    found->m_state = "upkeep";
    found->m_begun.push_back(order.m_wave);
    end_life(*found);
    m_upkeeps.push_back(upkeep);
    m_record("upkeep of " + order.m_machine + " begins for wave " + std::to_string(order.m_wave) + "; " +
             std::to_string(upkeep.m_others_down) + " other machines of the wave are down for theirs");
    asio::co_spawn(m_context, end_upkeep(static_cast<std::size_t>(found - m_machines.begin())), asio::detached);
    return json_response(http::status::ok, json::object());
}

auto simulated_platform::carry_out_order_later(const machine_order order, const milliseconds delay)
    -> asio::awaitable<void>
{
    co_await sleep(delay);
    m_record("the late order for " + order.m_machine + " is carried out");
    static_cast<void>(carry_out_order(order));
}

auto simulated_platform::end_upkeep(const std::size_t index) -> asio::awaitable<void>
{
    co_await sleep(upkeep_time);
    auto& machine = m_machines[index];
    machine.m_worker_id += "-" + std::to_string(machine.m_lives);
    machine.m_state = "up";
    begin_life(machine);
    m_record("machine " + machine.m_machine + " is up again with worker " + machine.m_worker_id);
}

} // namespace cicadalug::review
