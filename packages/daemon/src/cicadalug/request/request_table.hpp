#ifndef CICADALUG_REQUEST_REQUEST_TABLE_HPP
#define CICADALUG_REQUEST_REQUEST_TABLE_HPP

#include <cicadalug/request/request_outcome.hpp>
#include <cicadalug/routing/routing_request.hpp>
#include <cicadalug/telemetry/trace_context.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace cicadalug {

/** @brief Request of a caller that has no outcome yet. */
struct pending_request {
    /**
     * @brief Constructs a request without an outcome.
     * @param executor Strand of the caller's connection.
     * @param routing Input of the routing decisions; its id is unique, while callers may reuse an id.
     * @param upstream_request Request that is sent to an upstream.
     * @param trace Trace context of the span of the request.
     */
    pending_request(const asio::any_io_executor& executor, routing_request routing, http_request upstream_request,
                    const trace_context& trace)
        : m_routing{std::move(routing)}, m_upstream_request{std::move(upstream_request)}, m_trace{trace},
          m_outcome_signal{executor}
    {
    }

    const routing_request m_routing;
    const http_request m_upstream_request;
    const trace_context m_trace;

    /** @brief Cancelled when the outcome is set. The timer and the outcome are accessed on its executor only. */
    asio::steady_timer m_outcome_signal;
    std::optional<request_outcome> m_outcome;

    /** @brief Guarded by the mutex of the table, like the members below. */
    bool m_started{false};
    int m_running_attempts{0};
    /** @brief VM of the last attempt. */
    vm_id m_vm;
    /** @brief True after an attempt ended without certainty that the request was not run. */
    bool m_maybe_ran{false};
};

/**
 * @brief Requests that have no outcome yet. A request is removed from the table with its outcome, so it gets exactly
 * one.
 * @note Thread safety: all functions can be called concurrently. One mutex guards the table; no other lock is
 * acquired while it is held.
 */
class request_table {
public:
    /** @brief Adds a request. @pre Its id is not in the table. */
    auto add(std::shared_ptr<pending_request> pending) -> void;

    /**
     * @brief Begins an attempt.
     * @param id The request.
     * @param vm VM that the request is sent to.
     * @return The request, or null if it has an outcome already, in which case it must not be sent.
     */
    [[nodiscard]] auto begin_attempt(const request_id& id, const vm_id& vm) -> std::shared_ptr<pending_request>;

    /**
     * @brief Returns whether a request still waits for its outcome and may be sent.
     * @param id The request.
     * @return True if it is in the table.
     */
    [[nodiscard]] auto contains(const request_id& id) const -> bool;

    /**
     * @brief Returns the VM on which a request is running.
     * @param pending The request.
     * @return VM whose response is awaited; empty if there is none.
     */
    [[nodiscard]] auto running_vm(const pending_request& pending) const -> vm_id;

    /**
     * @brief Ends an attempt.
     * @param pending The request.
     * @param outcome Outcome of the attempt.
     */
    auto end_attempt(pending_request& pending, attempt_outcome outcome) -> void;

    /**
     * @brief Ends a request and delivers its outcome to the caller's connection. The outcome not_run becomes unknown if
     * an attempt may have run the request.
     * @param id The request; one that is not in the table is ignored.
     * @param outcome The outcome.
     * @return True if this call ended the request.
     */
    auto finish(const request_id& id, request_outcome outcome) -> bool;

    /**
     * @brief Ends a request whose caller disconnected.
     * @param id The request.
     * @param keep_started True to keep a request that was already started.
     * @return True if this call ended the request.
     */
    auto abandon(const request_id& id, bool keep_started) -> bool;

    /** @brief Returns the number of requests without an outcome. */
    [[nodiscard]] auto size() const -> std::size_t;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<request_id, std::shared_ptr<pending_request>> m_requests;
};

} // namespace cicadalug

#endif
