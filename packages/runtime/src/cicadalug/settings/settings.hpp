#ifndef CICADALUG_SETTINGS_SETTINGS_HPP
#define CICADALUG_SETTINGS_SETTINGS_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/result.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/http/http_server.hpp>
#include <cicadalug/http/message.hpp>

#include <boost/asio/ip/udp.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

using udp_endpoint = asio::ip::udp::endpoint;

/** @brief Another entry VM, as listed in the settings. */
struct peer_settings {
    entry_vm_id m_entry_vm;
    availability_zone_id m_availability_zone;
    /** @brief Its address for operators, which also serves other entry VMs. */
    tcp_endpoint m_operators;
    /** @brief Address at which it receives datagrams. */
    udp_endpoint m_datagrams;
};

/** @brief Settings of cicadalugd, read once at startup. */
struct settings {
    entry_vm_id m_entry_vm;
    availability_zone_id m_availability_zone;
    region_id m_region;
    /** @brief Address for callers. */
    tcp_endpoint m_callers;
    /** @brief Address for operators and other entry VMs; must not be reachable by callers. */
    tcp_endpoint m_operators;
    udp_endpoint m_datagrams;
    std::vector<peer_settings> m_peers;
    /** @brief Address of the platform: key-value service and list of VMs. */
    tcp_endpoint m_platform;
    /** @brief Limits of both HTTP servers. */
    http_server_limits m_limits;
    /** @brief Address of the collector, which accepts OTLP over HTTP; if empty, traces are not exported. */
    std::optional<tcp_endpoint> m_trace_collector;
    /** @brief Time until the platform's load balancer detects that this entry VM is not ready. */
    milliseconds m_balancer_delay{2'000};
    int m_worker_threads{2};
};

/**
 * @brief Parses settings in YAML.
 * @param text YAML text.
 * @param file File name used in the findings.
 * @return The settings, or all errors with file, line and column.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto parse_settings(const std::string& text, std::string_view file) -> result<settings>;

/**
 * @brief Reads a settings file.
 * @param path Path of the file.
 * @return The settings, or all errors with file, line and column.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto load_settings(const std::string& path) -> result<settings>;

} // namespace cicadalug

#endif
