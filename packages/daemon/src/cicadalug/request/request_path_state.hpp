#ifndef CICADALUG_REQUEST_REQUEST_PATH_STATE_HPP
#define CICADALUG_REQUEST_REQUEST_PATH_STATE_HPP

#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/request/order_path.hpp>
#include <cicadalug/request/request_path.hpp>
#include <cicadalug/request/request_table.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <string>

namespace cicadalug {

/** @brief State of the request path. Its functions can run on any thread; see request_path for the lock order. */
class request_path::state : public std::enable_shared_from_this<state> {
public:
    state(asio::io_context& context, const request_path_limits& limits, routing_state routing,
          std::shared_ptr<claim_store> claims, request_telemetry telemetry);

    /**
     * @brief Runs until the request path is stopped: checks for process pauses and advances the time of the routing
     * state.
     */
    [[nodiscard]] auto run_timer() -> asio::awaitable<void>;

    [[nodiscard]] auto view() const -> std::shared_ptr<const fleet_view>;
    [[nodiscard]] auto handle_request(http_exchange& exchange) -> asio::awaitable<void>;
    [[nodiscard]] auto handle_forwarded_order(http_exchange& exchange) -> asio::awaitable<void>;

    /** @brief Sends a request to an upstream and waits for its outcome. */
    [[nodiscard]] auto run(http_exchange& exchange, const presented_order& order, bool keep_started)
        -> asio::awaitable<request_outcome>;

    /** @brief Applies one event to the routing state and performs its effects. */
    template<typename Event>
    auto route(const Event& event) -> void
    {
        std::unique_lock lock{m_routing_mutex};
        const auto effects = event(m_routing, monotonic_now());
        lock.unlock();
        apply_effects(effects, nullptr);
    }

    asio::io_context& m_context;
    const request_path_limits m_limits;
    const std::string m_id_prefix;
    std::atomic<bool> m_stopped{false};
    std::atomic<std::uint64_t> m_last_request{0};
    std::atomic<int> m_attempts{0};
    std::atomic<std::uint64_t> m_answered{0};
    std::atomic<std::uint64_t> m_not_run{0};
    std::atomic<std::uint64_t> m_unknown{0};
    std::atomic<std::uint64_t> m_caller_disconnected{0};
    message_sender m_send;
    const request_telemetry m_telemetry;

    mutable std::mutex m_routing_mutex;
    routing_state m_routing;
    mutable std::mutex m_view_mutex;
    std::shared_ptr<const fleet_view> m_view;

    request_table m_requests;
    upstream_pool m_upstreams;
    pause_detector m_pauses;
    order_path m_orders;

private:
    /** @brief Attempt that was just completed; its response is used if an effect reports the outcome to the caller. */
    struct completed_attempt {
        request_id m_request;
        attempt_result m_result;
    };

    [[nodiscard]] auto make_order(const http_exchange& exchange, caller_request request, const fleet_view& current)
        -> presented_order;
    [[nodiscard]] auto respond(http_exchange& exchange, const presented_order& order, request_outcome outcome)
        -> asio::awaitable<void>;
    [[nodiscard]] auto outcome_of(http_exchange& exchange, const presented_order& order)
        -> asio::awaitable<request_outcome>;
    auto abandon(const request_id& id, bool keep_started) -> void;
    auto count(const request_outcome& outcome) -> void;
    auto report(const presented_order& order, const request_outcome& outcome) const -> void;
    auto report_slots() const -> void;
    auto report_attempt(const start_attempt& start, const pending_request& pending, attempt_outcome outcome,
                        span attempt_span) const -> void;

    auto apply_effects(const routing_effects& effects, completed_attempt* completed) -> void;
    auto start(const start_attempt& start) -> void;
    auto start(const start_probe& start) -> void;
    [[nodiscard]] auto run_attempt(start_attempt start, std::shared_ptr<pending_request> pending,
                                   upstream_pool::lease leased) -> asio::awaitable<void>;
    [[nodiscard]] auto run_probe(start_probe start, upstream_pool::lease leased) -> asio::awaitable<void>;
    [[nodiscard]] auto wait_until_current(time_point give_up_at) -> asio::awaitable<void>;
    auto end_attempt(const start_attempt& start, pending_request& pending, attempt_result result) -> void;
    auto complete_attempt(attempt_id attempt, attempt_outcome outcome, completed_attempt* completed) -> void;
};

} // namespace cicadalug

#endif
