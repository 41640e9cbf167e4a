#include "deployment.hpp"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <thread>
#include <utility>

namespace cicadalug::process_test {

namespace {

using nlohmann::json;

constexpr milliseconds poll_interval{10};
constexpr int platform_port{7'900};
constexpr int first_http_port{8'000};
constexpr int first_callers_port{8'250};
constexpr int first_datagram_port{8'500};

[[nodiscard]] auto at_port(const std::string& address, const std::size_t port) -> std::string
{
    return address + ':' + std::to_string(port);
}

} // namespace

auto call(const http::verb verb, const std::string& endpoint, const std::string& target, const json& body,
          const std::string& if_match, const milliseconds timeout) -> call_response
{
    findings errors;
    http_request request{verb, beast::string_view{target.data(), target.size()}, 11};
    if (if_match == "*") {
        request.set(http::field::if_none_match, "*");
    }
    else if (!if_match.empty()) {
        request.set(http::field::if_match, if_match);
    }
    if (!body.is_null()) {
        request.body() = body.dump();
    }
    const auto response =
        http_fetch_blocking(parse_endpoint(endpoint, "endpoint", errors), std::move(request), timeout);
    if (!response) {
        return {};
    }
    return {response.assume_value().result_int(), json::parse(response.assume_value().body(), nullptr, false)};
}

auto wait_until(const std::function<bool()>& condition, const milliseconds limit) -> std::optional<milliseconds>
{
    const auto start = std::chrono::steady_clock::now();
    while (true) {
        const auto holds = condition();
        const auto taken = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
        if (holds) {
            return taken;
        }
        if (taken > limit) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

deployment::deployment(const std::vector<std::size_t>& zones)
    : m_platform_address{at_port(loopback_address(), platform_port)},
      m_state_file{std::filesystem::temp_directory_path() / ("cicadalug-platform-" + std::to_string(::getpid()))}
{
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        const std::string zone_name(1, static_cast<char>('a' + zone));
        for (std::size_t number = 0; number < zones[zone]; ++number) {
            const auto index = m_entry_vms.size();
            m_entry_vms.push_back({zone_name + std::to_string(number + 1), zone_name,
                                   at_port(loopback_address(), first_http_port + index),
                                   at_port(loopback_address(), first_callers_port + index),
                                   at_port(loopback_address(), first_datagram_port + index), nullptr});
        }
    }
}

deployment::~deployment()
{
    std::error_code ignored;
    for (auto& entry_vm : m_entry_vms) {
        entry_vm.m_process.reset();
        std::filesystem::remove(m_state_file + '-' + entry_vm.m_id + ".yaml", ignored);
    }
    m_platform.reset();
    std::filesystem::remove(m_state_file, ignored);
}

auto deployment::start_platform() -> void
{
    m_platform = std::make_unique<child_process>(
        CICADALUG_STANDIN_DIRECTORY "/platform_standin",
        std::vector<std::string>{"--listen", m_platform_address, "--state", m_state_file});
    static_cast<void>(wait_for_port(m_platform_address));
}

auto deployment::stop_platform() -> void
{
    m_platform->signal(SIGTERM);
    m_platform->wait();
}

auto deployment::control_platform(const json& changed_faults) const -> json
{
    const auto verb = changed_faults.is_null() ? http::verb::get : http::verb::post;
    return call(verb, m_platform_address, "/control", changed_faults).m_body;
}

auto deployment::write_settings(const std::size_t index) const -> std::string
{
    const auto& own = m_entry_vms.at(index);
    auto path = m_state_file + '-' + own.m_id + ".yaml";
    std::ofstream file{path};
    file << "entry_vm: " << own.m_id << "\navailability_zone: " << own.m_zone
         << "\nlisten:\n  callers: " << own.m_callers_address << "\n  operators: " << own.m_address
         << "\n  datagrams: " << own.m_datagram_address << "\nplatform: " << m_platform_address
         << "\nbalancer_delay_ms: 100\npeers:\n";
    for (const auto& entry_vm : m_entry_vms) {
        if (entry_vm.m_id != own.m_id) {
            file << "  - entry_vm: " << entry_vm.m_id << "\n    availability_zone: " << entry_vm.m_zone
                 << "\n    operators: " << entry_vm.m_address << "\n    datagrams: " << entry_vm.m_datagram_address
                 << '\n';
        }
    }
    return path;
}

auto deployment::start(const std::size_t index) -> void
{
    auto& started = m_entry_vms.at(index);
    started.m_process.reset();
    started.m_process = std::make_unique<child_process>(CICADALUG_CICADALUGD,
                                                        std::vector<std::string>{"--settings", write_settings(index)});
    static_cast<void>(wait_for_port(started.m_address));
}

auto deployment::start_all() -> void
{
    for (std::size_t index = 0; index < count(); ++index) {
        start(index);
    }
}

auto deployment::kill(const std::size_t index) -> void
{
    m_entry_vms.at(index).m_process.reset();
}

auto deployment::is_ready(const std::size_t index) const -> bool
{
    return call(http::verb::get, address(index), "/readyz", nullptr, {}, milliseconds{1'000}).m_status == 200;
}

auto deployment::wait_ready(const milliseconds limit) const -> bool
{
    const auto all_ready = [&] {
        for (std::size_t index = 0; index < count(); ++index) {
            if (m_entry_vms[index].m_process &&
                (!is_ready(index) || control_holder(index, m_entry_vms[index].m_zone).empty())) {
                return false;
            }
        }
        return true;
    };
    return wait_until(all_ready, limit).has_value();
}

auto deployment::control_holder(const std::size_t queried_index, const std::string& zone) const -> std::string
{
    const auto status =
        call(http::verb::get, address(queried_index), "/v1/status", nullptr, {}, milliseconds{1'000}).m_body;
    if (status.is_object()) {
        for (const auto& zone_status : status["availability_zones"]) {
            if (zone_status["availability_zone"] == zone) {
                return zone_status.value("control_holder", "");
            }
        }
    }
    return {};
}

auto deployment::index_of(const std::string& id) const -> std::size_t
{
    const auto position =
        std::find_if(m_entry_vms.begin(), m_entry_vms.end(), [&](const auto& entry_vm) { return entry_vm.m_id == id; });
    return static_cast<std::size_t>(position - m_entry_vms.begin());
}

auto deployment::put_room(const std::size_t index, const std::string& name, const int limit_watts,
                          const std::string& if_match) const -> call_response
{
    return call(http::verb::put, address(index), "/v1/resources/room/" + name,
                {{"kind", "room"}, {"name", name}, {"spec", {{"limit_watts", limit_watts}}}}, if_match);
}

auto deployment::room_version(const std::size_t index, const std::string& name) const -> std::uint64_t
{
    const auto response =
        call(http::verb::get, address(index), "/v1/resources/room/" + name, nullptr, {}, milliseconds{1'000});
    return response.m_status == 200 ? response.m_body.value("version", std::uint64_t{0}) : 0;
}

auto deployment::wait_for_room(const std::string& name, const std::uint64_t version, const milliseconds limit,
                               std::vector<std::size_t> indices) const -> std::optional<milliseconds>
{
    if (indices.empty()) {
        indices.resize(count());
        std::iota(indices.begin(), indices.end(), std::size_t{0});
    }
    return wait_until(
        [&] {
            return std::all_of(indices.begin(), indices.end(),
                               [&](const auto index) { return room_version(index, name) >= version; });
        },
        limit);
}

} // namespace cicadalug::process_test
