#ifndef CICADALUG_REQUEST_ORDER_PATH_HPP
#define CICADALUG_REQUEST_ORDER_PATH_HPP

#include <cicadalug/http/http_server.hpp>
#include <cicadalug/order/journal.hpp>
#include <cicadalug/request/caller_request.hpp>
#include <cicadalug/request/claim_store.hpp>
#include <cicadalug/request/peer_entry_vm.hpp>
#include <cicadalug/request/request_outcome.hpp>
#include <cicadalug/telemetry/span.hpp>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadalug {

/** @brief Order received by this entry VM from its caller or from another entry VM. */
struct presented_order {
    caller_request m_request;
    /** @brief Request id that is returned with the outcome. */
    request_id m_id;
    /** @brief Span of this hop; ended with the outcome. */
    span m_span;
    std::chrono::steady_clock::time_point m_begin;
    std::chrono::steady_clock::time_point m_deadline;
    /** @brief True if another entry VM forwarded the order; it is not forwarded again. */
    bool m_forwarded{false};
};

/**
 * @brief Handles orders with a ticket or a bare idempotency key. Only the issuer of the ticket, or the owner of the
 * claim, runs an order; every other entry VM forwards the order to it.
 * @note Thread safety: all functions can be called concurrently. One mutex guards the journal and the waiters, another
 * the peers; neither is held while the other one or a lock of another class is acquired.
 */
class order_path {
public:
    /**
     * @brief Sends an order to an upstream and returns its outcome; the order is completed even if its caller
     * disconnects.
     */
    using runner = std::function<asio::awaitable<request_outcome>(http_exchange&, const presented_order&)>;

    /**
     * @brief Constructs the order path of one incarnation of the entry VM.
     * @param journal Empty journal that names the entry VM, its zone and its incarnation.
     * @param claims Claims of bare idempotency keys; if null, orders with a bare key are not run.
     * @param run Function that runs an order.
     */
    order_path(journal_state journal, std::shared_ptr<claim_store> claims, runner run);

    /** @brief Replaces the entry VMs that orders can be forwarded to. */
    auto apply_peers(const std::vector<peer_entry_vm>& peers) -> void;

    /**
     * @brief Handles POST /v1/tickets. The body is empty for one ticket, or {"count": 1 to 100}.
     * @param exchange The request.
     */
    [[nodiscard]] auto issue_tickets(http_exchange& exchange) -> asio::awaitable<void>;

    /**
     * @brief Runs an order, waits for a running one, returns its stored response or forwards it.
     * @param exchange The request that carries the order.
     * @param order The order, with a ticket or an idempotency key.
     * @return The outcome.
     */
    [[nodiscard]] auto present(http_exchange& exchange, const presented_order& order)
        -> asio::awaitable<request_outcome>;

private:
    struct waiter;

    [[nodiscard]] auto present_with_ticket(http_exchange& exchange, const presented_order& order)
        -> asio::awaitable<request_outcome>;
    [[nodiscard]] auto present_with_key(http_exchange& exchange, const presented_order& order)
        -> asio::awaitable<request_outcome>;
    [[nodiscard]] auto apply_decision(http_exchange& exchange, const presented_order& order, const order_key& key,
                                      order_decision decision, std::shared_ptr<waiter> waiting)
        -> asio::awaitable<request_outcome>;
    [[nodiscard]] auto run_and_record(http_exchange& exchange, const presented_order& order, const order_key& key)
        -> asio::awaitable<request_outcome>;
    [[nodiscard]] auto wait_for(const presented_order& order, const order_key& key, std::shared_ptr<waiter> waiting)
        -> asio::awaitable<request_outcome>;
    [[nodiscard]] auto forward(http_exchange& exchange, const presented_order& order, const entry_vm_id& owner,
                               incarnation owner_incarnation) -> asio::awaitable<request_outcome>;
    [[nodiscard]] auto find_peer(const entry_vm_id& id) const -> std::optional<peer_entry_vm>;
    [[nodiscard]] auto add_waiter(const asio::any_io_executor& executor) -> std::shared_ptr<waiter>;
    auto remove_waiter(const order_key& key, const waiter& waiting) -> void;
    auto record(const order_key& key, const request_outcome& outcome) -> void;

    const entry_vm_id m_self;
    const incarnation m_incarnation;
    const std::shared_ptr<claim_store> m_claims;
    const runner m_run;

    std::mutex m_journal_mutex;
    journal_state m_journal;
    std::unordered_map<waiter_id, std::shared_ptr<waiter>> m_waiters;
    waiter_id m_last_waiter;

    mutable std::mutex m_peers_mutex;
    std::map<entry_vm_id, peer_entry_vm> m_peers;
};

} // namespace cicadalug

#endif
