#ifndef CICADALUG_API_RESOURCE_API_HPP
#define CICADALUG_API_RESOURCE_API_HPP

#include <cicadalug/http/http_server.hpp>
#include <cicadalug/http/target.hpp>
#include <cicadalug/membership/membership_service.hpp>
#include <cicadalug/model/resource.hpp>
#include <cicadalug/platform/platform_client.hpp>
#include <cicadalug/platform/write_id_source.hpp>
#include <cicadalug/replication/replica.hpp>

#include <atomic>
#include <functional>

namespace cicadalug {

/**
 * @brief Handles operators' requests to /v1/resources and /v1/watch.
 * @note Thread safety: all functions can be called concurrently.
 */
class resource_api {
public:
    /** @brief Returns the status of a resource as JSON; null if there is none. */
    using status_source = std::function<nlohmann::json(const resource&)>;

    /**
     * @brief Constructs the API.
     * @param platform Platform to which resources are written.
     * @param ids Source of the write ids of this process.
     * @param local_replica Replica from which resources are read.
     * @param members Sends a written resource to the other entry VMs immediately.
     */
    resource_api(platform_client& platform, write_id_source& ids, replica& local_replica, membership_service& members);

    /** @brief Sets the source of the JSON member "status". @pre No request has been handled. */
    auto set_status_source(status_source function) -> void { m_status = std::move(function); }

    /**
     * @brief Handles a request below /v1/resources.
     * @param exchange The request.
     * @param target Target of the request.
     */
    [[nodiscard]] auto handle(http_exchange& exchange, http_target target) -> asio::awaitable<void>;

    /**
     * @brief Handles GET /v1/watch: sends one JSON line for each changed resource, in the order in which the changes
     * reached this entry VM, and a line {"version"} for each second without a change.
     * @param exchange The request.
     * @param target Target of the request; `after` is the version after which changes are sent, zero by default.
     */
    [[nodiscard]] auto watch(http_exchange& exchange, http_target target) -> asio::awaitable<void>;

    /** @brief Ends all watches within about a second, for a graceful shutdown. */
    auto end_watches() noexcept -> void { m_stopping_watches = true; }

private:
    [[nodiscard]] auto resource_json(const versioned_entry& entry) const -> nlohmann::json;
    [[nodiscard]] auto list(const std::string& kind) const -> http_response;
    [[nodiscard]] auto read(const std::string& kind, const std::string& name) const -> http_response;
    [[nodiscard]] auto handle_read(const std::string& kind, const std::string& name) const -> http_response;
    [[nodiscard]] auto handle_write(const http_request& request, std::string kind, std::string name)
        -> asio::awaitable<http_response>;
    [[nodiscard]] auto parse_change(const http_request& request, const std::string& kind, const std::string& name,
                                    findings& found) const -> resource;
    [[nodiscard]] auto write(resource item, version expected, bool create) -> asio::awaitable<http_response>;
    [[nodiscard]] auto to_json_lines(const std::vector<versioned_entry>& entries) const -> std::string;

    platform_client& m_platform;
    write_id_source& m_ids;
    replica& m_replica;
    membership_service& m_members;
    status_source m_status;
    std::atomic<bool> m_stopping_watches{false};
};

} // namespace cicadalug

#endif
