#include "scenario.hpp"

#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/http/http_connection.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fcntl.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace cicadalug::review {

namespace {

constexpr milliseconds poll_interval{20};
constexpr milliseconds start_limit{30'000};
constexpr milliseconds call_timeout{3'000};
/** @brief A case takes 120 s at most. */
constexpr std::chrono::seconds longest_case{110};
constexpr milliseconds restart_delay{500};

[[nodiscard]] auto at_port(const int port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

/** @brief Returns the configuration: one queue of one service. */
[[nodiscard]] auto config() -> json
{
    return {{"version", 1},
            {"limits", json::object()},
            {"services", json::array({{{"name", "batch"}, {"enforces_capacity", false}, {"standby", false}}})},
            {"routes", json::array({{{"name", "night"},
                                     {"host", "jobs.example"},
                                     {"prefix", "/night/"},
                                     {"kind", "non_idempotent"},
                                     {"service", "batch"},
                                     {"timeout_ms", 3'000},
                                     {"priority", 0},
                                     {"max_attempts", 4},
                                     {"stretch", 1.6},
                                     {"target_duration_ms", 600}}})}};
}

} // namespace

auto path_of(const std::string& job) -> std::string
{
    return "/night/" + job;
}

scenario::scenario(const std::size_t entry_vms, const int argc, char** argv)
    : m_platform{m_context,
                 [this](const std::string& line) {
                     record(line);
                 }},
      m_entry_vms(entry_vms)
{
    if (argc != 4) {
        throw std::runtime_error{"arguments: command of the deploy file, folder, record"};
    }
    std::istringstream words{argv[1]};
    for (std::string word; words >> word;) {
        m_command.push_back(word);
    }
    m_folder = argv[2];
    m_record.open(argv[3]);
    const auto* trouble = std::getenv("TROUBLE");
    m_trouble = trouble == nullptr || std::string{trouble} != "0";
}

scenario::~scenario()
{
    for (auto& entry : m_entry_vms) {
        entry.m_process.reset();
    }
}

auto scenario::record(const std::string& line) -> void
{
    m_record << m_platform.now_ms() << " ms: " << line << std::endl;
}

auto scenario::conclude(const verdict found, const std::string& line) -> verdict
{
    record(line);
    std::cout << line << '\n';
    return found;
}

auto scenario::sleep(const milliseconds time) -> asio::awaitable<void>
{
    asio::steady_timer timer{m_context, time};
    co_await timer.async_wait(asio::use_awaitable);
}

auto scenario::until(const std::function<bool()> condition, const milliseconds limit) -> asio::awaitable<bool>
{
    const auto end = monotonic_now() + limit;
    bool holds = condition();
    while (!holds && monotonic_now() < end) {
        co_await sleep(poll_interval);
        holds = condition();
    }
    co_return holds;
}

auto scenario::fetch(const std::string address, const http::verb verb, const std::string target, const json body)
    -> asio::awaitable<answer>
{
    findings found;
    const auto endpoint = parse_endpoint(address, "address", found);
    http_request request{verb, to_beast(target), 11};
    request.set(http::field::host, "jobs.example");
    request.set("X-Deadline-Ms", std::to_string(call_timeout.count()));
    if (!body.is_null()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body.dump();
    }
    const auto response = co_await http_fetch(m_context.get_executor(), endpoint, std::move(request), call_timeout);
    answer got;
    if (response) {
        got.m_status = response.assume_value().result_int();
        got.m_body = json::parse(response.assume_value().body(), nullptr, false);
    }
    co_return got;
}

auto scenario::call(const std::size_t entry, const http::verb verb, const std::string target, const json body)
    -> asio::awaitable<answer>
{
    auto got = co_await fetch(m_entry_vms[entry].m_clients, verb, target, body);
    const auto name = http::to_string(verb);
    record("client: " + std::string{name.data(), name.size()} + ' ' + target + " at " + m_entry_vms[entry].m_name +
           " -> " + std::to_string(got.m_status) + (got.m_body.is_object() ? ' ' + got.m_body.dump() : ""));
    co_return got;
}

auto scenario::submit(const std::string job, const json step) -> asio::awaitable<bool>
{
    const json body{{"spec", "sort waggons"}, {"steps", json::array({step})}};
    for (int attempt = 0; attempt < 40; ++attempt) {
        const auto entry = static_cast<std::size_t>(attempt) % m_entry_vms.size();
        const auto got = co_await call(entry, http::verb::post, path_of(job), body);
        if (got.m_status == 200) {
            co_return true;
        }
        co_await sleep(milliseconds{200});
    }
    co_return false;
}

auto scenario::state_of(const std::string job, const std::size_t entry) -> asio::awaitable<std::string>
{
    const auto got = co_await call(entry, http::verb::get, path_of(job));
    co_return got.m_body.is_object() ? got.m_body.value("state", "") : std::string{};
}

auto scenario::decider() const -> std::size_t
{
    std::istringstream holder{m_platform.value("decider/holder")};
    std::string name;
    holder >> name;
    const auto found = std::find_if(m_entry_vms.begin(), m_entry_vms.end(),
                                    [&name](const entry_vm& entry) { return entry.m_name == name; });
    return static_cast<std::size_t>(found - m_entry_vms.begin());
}

auto scenario::write_settings(const std::size_t index) -> void
{
    auto& entry = m_entry_vms[index];
    entry.m_name = "front-a-" + std::to_string(index + 1);
    entry.m_clients = at_port(free_port());
    entry.m_readiness = at_port(free_port());
    entry.m_settings_path = m_folder + "/" + entry.m_name + ".toml";
    const auto peers = free_port();
    std::ofstream file{entry.m_settings_path};
    file << "node_name = \"" << entry.m_name
         << "\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\"]\n"
         << "ip = \"127.0.0.1\"\nzone = \"a\"\nregion = \"r\"\ninternal_ports = [" << peers << ", " << peers
         << "]\nseeds = []\nbootstrap = true\nin_tolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
         << "heartbeat_ms = 1500\norders = \"call\"\nadvice = \"\"\n[zones]\na = \"r\"\n[listen]\nfront = \""
         << entry.m_clients << "\"\nreadiness = \"" << entry.m_readiness
         << "\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n"
         << "disk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
         << "[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
         << "drain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n"
         << "max_stretch_ms = 5000\nrecovery_s = 12\nhold_max_ms = 10000\nstop_grace_ms = 400\n"
         << "gang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n"
         << "status_s = 120\nremote_factor = 1.5\ncheckpoint_interval_s = 0.5\nrestore_ms = 600\nnotice_ms = 4500\n"
         << "move_s = 1.5\nmaintenance_s = 2\nfencing_required = true\nlease_ms = 3000\nthaw_slack_ms = 300\n"
         << "pace_ms = 100\nharm_ms = 4000\n[platform]\naddress = \"" << m_platform.store_address()
         << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n"
         << "ttl_min_ms = 1000\n[cloud]\naddress = \"" << m_platform.cloud_address()
         << "\"\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n";
}

auto scenario::start_entry(const std::size_t index) -> void
{
    // The program must not inherit the sockets of the stand-ins, which would keep their ports open.
    constexpr int descriptors{4'096};
    for (int descriptor = 3; descriptor < descriptors; ++descriptor) {
        static_cast<void>(::fcntl(descriptor, F_SETFD, FD_CLOEXEC));
    }
    ::setenv("CICADALUG_NODE_FILE", m_entry_vms[index].m_settings_path.c_str(), 1);
    m_entry_vms[index].m_process = std::make_unique<process_test::child_process>(
        m_command.front(), std::vector<std::string>{m_command.begin() + 1, m_command.end()});
    m_disturbed.emplace_back(m_entry_vms[index].m_name, m_platform.now_ms());
    record(m_entry_vms[index].m_name + " is started");
}

auto scenario::kill_entry(const std::size_t index) -> void
{
    m_entry_vms[index].m_process.reset();
    m_disturbed.emplace_back(m_entry_vms[index].m_name, m_platform.now_ms());
    record(m_entry_vms[index].m_name + " is killed");
}

auto scenario::is_in_touch(const std::string& name, const std::int64_t at_ms) const -> bool
{
    constexpr std::int64_t contact_ms{3'000};
    return std::none_of(m_disturbed.begin(), m_disturbed.end(), [&](const auto& disturbed) {
        return disturbed.first == name && disturbed.second <= at_ms && at_ms - disturbed.second < contact_ms;
    });
}

auto scenario::stop_and_start_again(const std::size_t index) -> void
{
    m_disturbed.emplace_back(m_entry_vms[index].m_name, m_platform.now_ms());
    record(m_entry_vms[index].m_name + " gets SIGTERM");
    m_entry_vms[index].m_process->signal(SIGTERM);
    asio::co_spawn(m_context, restart_after_end(index), asio::detached);
}

auto scenario::restart_after_end(const std::size_t index) -> asio::awaitable<void>
{
    // SIGKILL comes grace_s after SIGTERM. Until then the exit is looked for without blocking the stand-ins.
    constexpr std::chrono::seconds grace{6};
    const auto end = monotonic_now() + grace;
    bool is_up{true};
    while (is_up && monotonic_now() < end) {
        co_await sleep(poll_interval);
        const auto ready = co_await fetch(m_entry_vms[index].m_readiness, http::verb::get, "/cicadalug/ready", nullptr);
        is_up = ready.m_status != 0;
    }
    m_entry_vms[index].m_process.reset();
    record(m_entry_vms[index].m_name + " has ended");
    co_await sleep(restart_delay);
    start_entry(index);
}

auto scenario::are_ready() -> asio::awaitable<bool>
{
    for (std::size_t index = 0; index < m_entry_vms.size(); ++index) {
        const auto ready = co_await fetch(m_entry_vms[index].m_readiness, http::verb::get, "/cicadalug/ready", nullptr);
        if (ready.m_status != 200) {
            co_return false;
        }
    }
    co_return decider() < m_entry_vms.size();
}

auto scenario::tell(const std::function<asio::awaitable<verdict>()> story) -> asio::awaitable<void>
{
    const auto end = monotonic_now() + start_limit;
    bool ready{false};
    while (!ready && monotonic_now() < end) {
        co_await sleep(poll_interval);
        ready = co_await are_ready();
    }
    if (ready) {
        record("the deployment is ready");
        // The decider has read the jobs and all workers have reported.
        co_await sleep(milliseconds{3'000});
        m_verdict = co_await story();
    }
    m_context.stop();
}

auto scenario::run(const std::function<asio::awaitable<verdict>()>& story) -> int
{
    try {
        m_platform.start(config());
        for (std::size_t index = 0; index < m_entry_vms.size(); ++index) {
            write_settings(index);
            start_entry(index);
        }
        asio::co_spawn(m_context, tell(story), [](const std::exception_ptr& failure) {
            if (failure) {
                std::rethrow_exception(failure);
            }
        });
        m_context.run_for(longest_case);
    }
    catch (const std::exception& exception) {
        record(std::string{"failed: "} + exception.what());
    }
    for (auto& entry : m_entry_vms) {
        entry.m_process.reset();
    }
    const auto found = m_verdict.value_or(verdict::could_not_run);
    record("verdict: " + std::to_string(static_cast<int>(found)));
    return static_cast<int>(found);
}

} // namespace cicadalug::review
