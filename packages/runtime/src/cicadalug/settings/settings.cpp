#include <cicadalug/settings/settings.hpp>
#include <cicadalug/settings/yaml_section.hpp>

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace cicadalug {

namespace {

constexpr std::int64_t max_timeout_ms{3'600'000};
constexpr std::int64_t max_connections{100'000};
constexpr std::int64_t max_worker_threads{64};
/** @brief A request body may exceed the maximum value size of the key-value service, but it is held in memory. */
constexpr std::int64_t max_body_bytes{64LL * 1'048'576};

[[nodiscard]] auto read_endpoint(yaml_section& section, const std::string_view key, findings& found) -> tcp_endpoint
{
    const auto text = section.required_text(key);
    if (text.empty()) {
        return {};
    }
    const auto location = section.place_of(key);
    auto endpoint = parse_endpoint(text, location, found);
    if (endpoint.port() == 0 && endpoint != tcp_endpoint{}) {
        found.add(location,
                  "'" + std::string{key} + "' needs a port above 0, because other processes are given this address");
    }
    return endpoint;
}

[[nodiscard]] auto to_udp(const tcp_endpoint& endpoint) -> udp_endpoint
{
    return {endpoint.address(), endpoint.port()};
}

/** @brief Reads settings from one YAML document. */
class settings_reader {
public:
    settings_reader(const std::string_view file, findings& found) : m_file{file}, m_found{found} {}

    [[nodiscard]] auto read(const YAML::Node& document) -> settings
    {
        settings parsed;
        yaml_section top{document, m_file, m_found};
        parsed.m_entry_vm = entry_vm_id{top.required_text("entry_vm")};
        parsed.m_availability_zone = availability_zone_id{top.required_text("availability_zone")};
        parsed.m_region = region_id{top.optional_text("region")};
        if (const auto listen = top.child("listen", true); listen.IsDefined()) {
            read_listen(listen, parsed);
        }
        parsed.m_platform = read_endpoint(top, "platform", m_found);
        if (const auto peers = top.child("peers", false); peers.IsDefined()) {
            read_peers(peers, parsed);
        }
        if (const auto limits = top.child("limits", false); limits.IsDefined()) {
            parsed.m_limits = read_limits(limits);
        }
        if (const auto collector = top.optional_text("trace_collector"); !collector.empty()) {
            parsed.m_trace_collector = parse_endpoint(collector, top.place_of("trace_collector"), m_found);
        }
        parsed.m_balancer_delay =
            milliseconds{top.integer("balancer_delay_ms", parsed.m_balancer_delay.count(), 0, max_timeout_ms)};
        parsed.m_worker_threads =
            static_cast<int>(top.integer("worker_threads", parsed.m_worker_threads, 1, max_worker_threads));
        top.finish();
        return parsed;
    }

private:
    auto read_listen(const YAML::Node& node, settings& parsed) -> void
    {
        yaml_section section{node, m_file, m_found};
        parsed.m_callers = read_endpoint(section, "callers", m_found);
        parsed.m_operators = read_endpoint(section, "operators", m_found);
        parsed.m_datagrams = to_udp(read_endpoint(section, "datagrams", m_found));
        if (parsed.m_callers != tcp_endpoint{} && parsed.m_callers == parsed.m_operators) {
            m_found.add(section.place_of("operators"), "callers and operators need separate addresses");
        }
        section.finish();
    }

    auto read_peers(const YAML::Node& node, settings& parsed) -> void
    {
        if (!node.IsSequence()) {
            m_found.add(yaml_place(m_file, node.Mark()), "'peers' must be a list");
            return;
        }
        std::set<entry_vm_id> names{parsed.m_entry_vm};
        std::set<udp_endpoint> addresses{parsed.m_datagrams};
        for (const auto& item : node) {
            yaml_section section{item, m_file, m_found};
            peer_settings peer;
            peer.m_entry_vm = entry_vm_id{section.required_text("entry_vm")};
            peer.m_availability_zone = availability_zone_id{section.required_text("availability_zone")};
            peer.m_operators = read_endpoint(section, "operators", m_found);
            peer.m_datagrams = to_udp(read_endpoint(section, "datagrams", m_found));
            section.finish();
            if (!peer.m_entry_vm.empty() && !names.insert(peer.m_entry_vm).second) {
                m_found.add(section.place_of("entry_vm"), "two entry VMs are named '" + peer.m_entry_vm.str() + "'");
            }
            if (peer.m_datagrams != udp_endpoint{} && !addresses.insert(peer.m_datagrams).second) {
                m_found.add(section.place_of("datagrams"), "two entry VMs have this address");
            }
            parsed.m_peers.push_back(std::move(peer));
        }
    }

    [[nodiscard]] auto read_limits(const YAML::Node& node) -> http_server_limits
    {
        http_server_limits limits;
        yaml_section section{node, m_file, m_found};
        const auto timeout = [&section](const std::string_view key, const milliseconds fallback) {
            return milliseconds{section.integer(key, fallback.count(), 1, max_timeout_ms)};
        };
        limits.m_header_bytes =
            static_cast<std::uint32_t>(section.integer("header_bytes", limits.m_header_bytes, 256, 1'048'576));
        limits.m_body_bytes = static_cast<std::uint64_t>(
            section.integer("body_bytes", static_cast<std::int64_t>(limits.m_body_bytes), 1, max_body_bytes));
        limits.m_connections = static_cast<std::size_t>(
            section.integer("connections", static_cast<std::int64_t>(limits.m_connections), 1, max_connections));
        limits.m_read_timeout = timeout("read_timeout_ms", limits.m_read_timeout);
        limits.m_idle_timeout = timeout("idle_timeout_ms", limits.m_idle_timeout);
        limits.m_write_timeout = timeout("write_timeout_ms", limits.m_write_timeout);
        section.finish();
        return limits;
    }

    std::string_view m_file;
    findings& m_found;
};

} // namespace

auto parse_settings(const std::string& text, const std::string_view file) -> result<settings>
{
    findings found;
    try {
        const auto documents = YAML::LoadAll(text);
        if (documents.size() != 1) {
            return findings{std::string{file}, "must contain exactly one YAML document"};
        }
        auto parsed = settings_reader{file, found}.read(documents.front());
        if (found.empty()) {
            return parsed;
        }
    }
    catch (const YAML::Exception& error) {
        found.add(yaml_place(file, error.mark), "is not valid YAML: " + error.msg);
    }
    return found;
}

auto load_settings(const std::string& path) -> result<settings>
{
    const std::ifstream file{path, std::ios::binary};
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || !text) {
        return findings{path, "cannot be read"};
    }
    return parse_settings(text.str(), path);
}

} // namespace cicadalug
