#ifndef CICADALUG_ENTRY_CLIENT_API_HPP
#define CICADALUG_ENTRY_CLIENT_API_HPP

#include <cicadalug/adapter/store_client.hpp>
#include <cicadalug/entry/decider.hpp>
#include <cicadalug/entry/decider_election.hpp>
#include <cicadalug/entry/job_intake.hpp>
#include <cicadalug/http/http_pool.hpp>
#include <cicadalug/http/http_server.hpp>
#include <cicadalug/scheduler/queue_config.hpp>
#include <cicadalug/telemetry/scheduler_metrics.hpp>

#include <memory>
#include <optional>

namespace cicadalug {

/** @brief Dependencies of the client API. */
struct client_api_dependencies {
    asio::any_io_executor m_executor;
    store_client* m_store{nullptr};
    job_intake* m_intake{nullptr};
    decider_election* m_election{nullptr};
    /** @brief Decider of this entry VM during its term, otherwise null. */
    const std::shared_ptr<decider>* m_decider{nullptr};
    /** @brief Configuration in force; null until one has been read. */
    const std::shared_ptr<const fleet_config>* m_config{nullptr};
    /** @brief Metrics of this entry VM. */
    scheduler_metrics* m_metrics{nullptr};
    /** @brief Maximum size of a value in the store, in bytes. */
    std::size_t m_value_bytes{1'048'576};
};

/**
 * @brief HTTP API for clients: accepts jobs, returns their state, cancels them, and counts pending jobs.
 * @note Thread safety: all functions on the executor of the dependencies.
 */
class client_api {
public:
    explicit client_api(const client_api_dependencies& dependencies) : m_dependencies{dependencies} {}

    /** @brief Handles a request from a client. */
    [[nodiscard]] auto handle(http_exchange& exchange) -> asio::awaitable<void>;

    /** @brief Handles a query that another entry VM sends to the decider. */
    [[nodiscard]] auto handle_peer(http_exchange& exchange) -> asio::awaitable<void>;

private:
    [[nodiscard]] auto handle_request(const http_request& request, const queue_config& queue, const std::string& id)
        -> asio::awaitable<http_response>;
    [[nodiscard]] auto make_peer_response(std::string_view target) const -> http_response;
    [[nodiscard]] auto submit(const http_request& request, const queue_config& queue, const std::string& id)
        -> asio::awaitable<http_response>;
    [[nodiscard]] auto get_state(const std::string& id, time_point deadline) -> asio::awaitable<http_response>;
    [[nodiscard]] auto get_stored_state(const job_id& id, time_point deadline) -> asio::awaitable<http_response>;
    [[nodiscard]] auto cancel(const std::string& id, time_point deadline) -> asio::awaitable<http_response>;
    /** @brief Writes a cancellation if a condition on the job holds; a job of revision 0 does not exist. */
    [[nodiscard]] auto write_cancel(const job_id& job, store_revision revision, time_point deadline)
        -> asio::awaitable<bool>;
    [[nodiscard]] auto count_pending(const queue_config& queue, time_point deadline) -> asio::awaitable<http_response>;
    [[nodiscard]] auto query_decider(std::string target, time_point deadline)
        -> asio::awaitable<std::optional<http_response>>;
    [[nodiscard]] auto local_decider() const -> const decider*;

    client_api_dependencies m_dependencies;
    std::shared_ptr<http_pool> m_decider_pool;
};

} // namespace cicadalug

#endif
