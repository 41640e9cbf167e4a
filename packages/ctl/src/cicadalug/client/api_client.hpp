#ifndef CICADALUG_CLIENT_API_CLIENT_HPP
#define CICADALUG_CLIENT_API_CLIENT_HPP

#include <cicadalug/base/result.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/client/exit_code.hpp>
#include <cicadalug/http/message.hpp>
#include <cicadalug/model/resource.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Error of a call to the operators' API. */
struct api_failure {
    exit_code m_code{exit_code::unavailable};
    findings m_found;
    /** @brief With version_conflict: the current version of the resource, zero if it does not exist. */
    version m_current_version;
};

/** @brief Result of a call to the operators' API. */
template<typename Type>
using api_result = result<Type, api_failure>;

/**
 * @brief Client of the operators' API. A call goes to the first entry VM that can be reached. A write whose response is
 * lost is not retried.
 * @note Thread safety: distinct objects can be used concurrently.
 */
class api_client {
public:
    /**
     * @brief Constructs a client.
     * @param entry_vms Addresses of entry VMs in the order in which they are tried, not empty.
     * @param timeout Timeout of the connection attempt and of the response, each.
     */
    api_client(std::vector<tcp_endpoint> entry_vms, milliseconds timeout);

    /**
     * @brief Sends a GET request.
     * @param target Path and query.
     * @return The JSON body of the response, or the failure.
     */
    [[nodiscard]] auto get(const std::string& target) const -> api_result<nlohmann::json>;

    /**
     * @brief Reads all resources of a kind.
     * @param kind The kind.
     * @return The resources in the JSON form of the API, or the failure.
     */
    [[nodiscard]] auto list(resource_kind kind) const -> api_result<std::vector<nlohmann::json>>;

    /**
     * @brief Reads one resource.
     * @param kind The kind.
     * @param name The name.
     * @return The resource in the JSON form of the API, or the failure.
     */
    [[nodiscard]] auto read(resource_kind kind, const std::string& name) const -> api_result<nlohmann::json>;

    /**
     * @brief Writes a resource if it has the expected version.
     * @param item The resource.
     * @param expected The required current version; zero: the resource must not exist.
     * @return The version of the write, or the failure.
     */
    [[nodiscard]] auto put(const resource& item, version expected) const -> api_result<version>;

    /**
     * @brief Deletes a resource if it has the expected version.
     * @param kind The kind.
     * @param name The name.
     * @param expected The required current version.
     * @return The version of the deletion, or the failure.
     */
    [[nodiscard]] auto erase(resource_kind kind, const std::string& name, version expected) const
        -> api_result<version>;

    /**
     * @brief Watches changes until the line handler stops it, the duration is over or the stream breaks.
     * @param after Changes above this version are delivered.
     * @param duration Duration of the watch; zero: unlimited.
     * @param on_line Called with each line; returns false to stop the watch.
     * @return Version zero if the handler or the duration ended the watch, or the failure.
     */
    [[nodiscard]] auto watch(version after, milliseconds duration,
                             const std::function<bool(const nlohmann::json&)>& on_line) const -> api_result<version>;

private:
    [[nodiscard]] auto call(const http_request& request) const -> api_result<nlohmann::json>;

    std::vector<tcp_endpoint> m_entry_vms;
    milliseconds m_timeout;
};

/**
 * @brief Returns the path of a resource.
 * @param kind The kind.
 * @param name The name; empty: the path of the kind.
 * @return The percent-encoded path.
 */
[[nodiscard]] auto resource_path(resource_kind kind, const std::string& name) -> std::string;

} // namespace cicadalug

#endif
