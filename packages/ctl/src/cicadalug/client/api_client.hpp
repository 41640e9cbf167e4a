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

/** @brief Why a call of the operators' API has no result. */
struct api_failure {
    exit_code m_code{exit_code::unavailable};
    findings m_found;
    /** @brief After a lost race: the version now in force, zero if the resource does not exist. */
    version m_current;
};

/** @brief Result of a call of the operators' API. */
template<typename Type>
using api_result = result<Type, api_failure>;

/**
 * @brief Client of the operators' API. A call goes to the first entry VM that can be reached; a write whose answer is
 * lost is not sent a second time.
 * @note Thread safety: distinct objects can be used concurrently.
 */
class api_client {
public:
    /**
     * @brief Constructs a client.
     * @param entry_vms Addresses of entry VMs in the order in which they are tried, not empty.
     * @param timeout Time for connecting and for the answer, each.
     */
    api_client(std::vector<tcp_endpoint> entry_vms, milliseconds timeout);

    /**
     * @brief Reads a path.
     * @param target Path and query.
     * @return The JSON body of the answer, or the failure.
     */
    [[nodiscard]] auto get(const std::string& target) const -> api_result<nlohmann::json>;

    /**
     * @brief Reads all resources of a kind.
     * @param kind The kind.
     * @return The resources as the API shows them, or the failure.
     */
    [[nodiscard]] auto list(resource_kind kind) const -> api_result<std::vector<nlohmann::json>>;

    /**
     * @brief Reads one resource.
     * @param kind The kind.
     * @param name The name.
     * @return The resource as the API shows it, or the failure.
     */
    [[nodiscard]] auto read(resource_kind kind, const std::string& name) const -> api_result<nlohmann::json>;

    /**
     * @brief Writes a resource if it still has the expected version.
     * @param item The resource.
     * @param expected The version it must have; zero: it must not exist.
     * @return The version of the write, or the failure.
     */
    [[nodiscard]] auto put(const resource& item, version expected) const -> api_result<version>;

    /**
     * @brief Deletes a resource if it still has the expected version.
     * @param kind The kind.
     * @param name The name.
     * @param expected The version it must have.
     * @return The version of the deletion, or the failure.
     */
    [[nodiscard]] auto erase(resource_kind kind, const std::string& name, version expected) const
        -> api_result<version>;

    /**
     * @brief Watches changes until a function ends it, the time is over or the stream breaks.
     * @param after Changes above this version are delivered.
     * @param limit Time to watch; zero: without end.
     * @param use Called with each line; returns false to end.
     * @return Nothing wrong, or the failure; the end of the time is no failure.
     */
    [[nodiscard]] auto watch(version after, milliseconds limit,
                             const std::function<bool(const nlohmann::json&)>& use) const -> api_result<version>;

private:
    [[nodiscard]] auto call(const http_request& request) const -> api_result<nlohmann::json>;

    std::vector<tcp_endpoint> m_entry_vms;
    milliseconds m_timeout;
};

/**
 * @brief Returns the path of a resource.
 * @param kind The kind.
 * @param name The name; empty: the path of the kind.
 * @return The path, escaped.
 */
[[nodiscard]] auto resource_path(resource_kind kind, const std::string& name) -> std::string;

} // namespace cicadalug

#endif
