#ifndef CICADALUG_REQUEST_REQUEST_PATH_HPP
#define CICADALUG_REQUEST_REQUEST_PATH_HPP

#include <cicadalug/http/http_server.hpp>
#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/order/journal.hpp>
#include <cicadalug/request/claim_store.hpp>
#include <cicadalug/request/pause_detector.hpp>
#include <cicadalug/request/peer_entry_vm.hpp>
#include <cicadalug/request/request_telemetry.hpp>
#include <cicadalug/request/upstream_pool.hpp>
#include <cicadalug/routing/router.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cicadalug {

/** @brief Limits of the request path. */
struct request_path_limits {
    upstream_pool_limits m_upstreams;
    pause_limits m_pause;
    journal_limits m_orders;
};

/** @brief Number of requests by outcome. */
struct request_counts {
    std::uint64_t m_answered{0};
    std::uint64_t m_not_run{0};
    std::uint64_t m_unknown{0};
    /** @brief Requests whose caller disconnected before the outcome. */
    std::uint64_t m_caller_disconnected{0};
};

/**
 * @brief Forwards callers' requests to upstreams and reports the outcome to each caller.
 *
 * Requests run as coroutines on the strand of their connection. The shared state consists of the routing state, the
 * requests without an outcome, the connections to upstreams, the order journal and its peers; each has one mutex. Lock
 * order: no mutex is acquired while another one is held.
 * @note Thread safety: all functions can be called concurrently.
 */
class request_path {
public:
    /** @brief Sends a slot message to a peer; delivery is not guaranteed. */
    using message_sender = std::function<void(const entry_vm_id&, const slot_message&)>;

    /**
     * @brief Starts the request path. It rejects requests until a view is applied.
     * @param context Runs the request path on any number of threads; must outlive it.
     * @param limits Limits of connections, pause detection and the order journal.
     * @param routing Empty state with the settings of this entry VM.
     * @param claims Claims of bare idempotency keys; if null, orders with a bare key are not run.
     * @param telemetry Receives spans and metrics.
     */
    request_path(asio::io_context& context, const request_path_limits& limits, routing_state routing,
                 std::shared_ptr<claim_store> claims = nullptr, request_telemetry telemetry = {});

    request_path(const request_path&) = delete;
    request_path(request_path&&) = delete;
    auto operator=(const request_path&) -> request_path& = delete;
    auto operator=(request_path&&) -> request_path& = delete;

    /** @brief Stops the timer. Requests without an outcome continue as long as their context runs. */
    ~request_path();

    /**
     * @brief Handles a request of a caller: POST /v1/services/{service}/requests and POST /v1/tickets.
     * @param exchange The request.
     */
    [[nodiscard]] auto handle(http_exchange& exchange) -> asio::awaitable<void>;

    /**
     * @brief Handles an order forwarded by another entry VM: POST /internal/orders/{service}. Not for callers.
     * @param exchange The request.
     */
    [[nodiscard]] auto handle_forwarded(http_exchange& exchange) -> asio::awaitable<void>;

    /**
     * @brief Returns whether a target is that of a forwarded order.
     * @param target Path and query of a request.
     * @return True if handle_forwarded() handles it.
     */
    [[nodiscard]] static auto is_forwarded(std::string_view target) -> bool;

    /**
     * @brief Returns whether a view was applied, so that requests can be served.
     * @return True after the first apply_view().
     */
    [[nodiscard]] auto is_configured() const -> bool;

    /**
     * @brief Applies a new view of the fleet.
     * @param view The view, not null.
     */
    auto apply_view(std::shared_ptr<const fleet_view> view) -> void;

    /**
     * @brief Applies the list of entry VMs of all zones.
     * @param peers The entry VMs, with or without this one.
     */
    auto apply_peers(const std::vector<peer_entry_vm>& peers) -> void;

    /** @brief Handles a slot message of a peer. */
    auto receive(const slot_message& message) -> void;

    /** @brief Sets the function that sends slot messages. @pre Called before the first view. */
    auto on_slot_message(message_sender sender) -> void;

    /** @brief Records a message of a peer or of the platform, which ends the wait after a pause. */
    auto record_contact() -> void;

    /**
     * @brief Returns how much work may still run on a VM, for the drain confirmation.
     * @param vm The VM.
     * @return Number of attempts that are in flight or whose run-time bound has not passed.
     */
    [[nodiscard]] auto in_flight(const vm_id& vm) const -> int;

    /** @brief Returns the VMs whose upstreams are ejected, in no particular order. */
    [[nodiscard]] auto ejected() const -> std::vector<vm_id>;

    /** @brief Returns the load of each pool, one entry for each. */
    [[nodiscard]] auto usages() const -> std::vector<pool_usage>;

    /** @brief Returns the number of outcomes of each kind since the start. */
    [[nodiscard]] auto counts() const -> request_counts;

    /** @brief Returns the number of detected pauses of the process since the start. */
    [[nodiscard]] auto pauses() const -> int;

    /**
     * @brief Drains the request path for a graceful stop: completes once all queued and running requests have ended and
     * borrowed slots are returned. New requests are still served meanwhile; the server has to stop accepting them
     * first.
     */
    [[nodiscard]] auto drain() -> asio::awaitable<void>;

    /** @brief State shared with running requests. */
    class state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace cicadalug

#endif
