#ifndef CICADALUG_REQUEST_UPSTREAM_POOL_HPP
#define CICADALUG_REQUEST_UPSTREAM_POOL_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/http/http_connection.hpp>
#include <cicadalug/model/fleet_view.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadalug {

/** @brief Limits of the connections to upstreams. */
struct upstream_pool_limits {
    /**
     * @brief Time after which an idle connection is closed. A firewall or NAT gateway on the path may drop the state of
     * an idle connection without notifying either end; data sent on it afterwards is lost.
     */
    milliseconds m_max_idle_time{5'000};
    /** @brief Timeout for opening a connection. A failure to connect means that the request was not run. */
    milliseconds m_connect_timeout{1'000};
};

/**
 * @brief Pool of connections to the upstreams, at most the connection limit of each VM. A connection is kept only after
 * its response was read completely, and is checked before it is reused.
 * @note Thread safety: all functions can be called concurrently. One mutex guards the table; no other lock is
 * acquired while it is held.
 */
class upstream_pool {
public:
    using strand = asio::strand<asio::io_context::executor_type>;

    /** @brief Permission for one exchange with a VM, with an idle connection if there was one. */
    class lease;

    /**
     * @brief Constructs an empty pool.
     * @param context Runs the connections; outlives the pool.
     * @param limits Limits of all connections.
     */
    upstream_pool(asio::io_context& context, const upstream_pool_limits& limits);

    /**
     * @brief Applies addresses and connection limits, and closes idle connections of VMs that were
     * removed or whose address changed.
     * @param view The view.
     */
    auto apply_view(const fleet_view& view) -> void;

    /**
     * @brief Reserves one of the VM's connections.
     * @param vm The VM.
     * @return The lease, or nullopt if the VM is unknown or its connection limit is reached.
     */
    [[nodiscard]] auto acquire(const vm_id& vm) -> std::optional<lease>;

    /**
     * @brief Performs one exchange. An idle connection that turns out to be closed before a byte was sent is replaced
     * by a new one.
     * @pre Runs on the executor of the lease; called once for each lease.
     * @param leased The lease, returned to the pool at the end.
     * @param request The request.
     * @param timeout Timeout of the exchange, including connecting.
     * @return The complete response, or the failure.
     */
    [[nodiscard]] auto exchange(lease leased, http_request request, milliseconds timeout)
        -> asio::awaitable<result<http_response, http_failure>>;

    /**
     * @brief Closes all idle connections to a VM; connections in use are closed after their exchange.
     * @param vm The VM.
     */
    auto retire_connections(const vm_id& vm) -> void;

    /** @brief Closes connections that have been idle for longer than the limit. */
    auto close_expired() -> void;

    /**
     * @brief Returns the number of open connections to a VM.
     * @param vm The VM.
     * @return Number of idle connections and of those in use.
     */
    [[nodiscard]] auto open_connections(const vm_id& vm) const -> std::size_t;

private:
    using clock = std::chrono::steady_clock;

    struct idle_connection {
        std::unique_ptr<http_connection> m_connection;
        strand m_strand;
        clock::time_point m_idle_since;
    };

    struct vm_connections {
        tcp_endpoint m_endpoint;
        std::size_t m_limit{0};
        std::size_t m_in_use{0};
        /** @brief Incremented when all connections become suspect; older ones are not kept after their exchange. */
        std::uint64_t m_generation{0};
        /** @brief The most recently used connection is at the back and is reused first, so that surplus ones expire. */
        std::vector<idle_connection> m_idle;
    };

    [[nodiscard]] auto exchange_on(lease& leased, const http_request& request, clock::time_point deadline)
        -> asio::awaitable<result<http_response, http_failure>>;
    auto release(lease& leased, bool suspect) -> void;

    asio::io_context& m_context;
    const upstream_pool_limits m_limits;
    mutable std::mutex m_mutex;
    std::unordered_map<vm_id, vm_connections> m_vms;
};

class upstream_pool::lease {
public:
    /**
     * @brief Returns the executor on which the exchange has to run.
     * @return The strand of the connection.
     */
    [[nodiscard]] auto executor() const -> const strand& { return m_strand; }

private:
    friend class upstream_pool;

    lease(vm_id vm, tcp_endpoint endpoint, std::uint64_t generation, strand executor,
          std::unique_ptr<http_connection> connection)
        : m_vm{std::move(vm)}, m_endpoint{std::move(endpoint)}, m_generation{generation}, m_strand{std::move(executor)},
          m_connection{std::move(connection)}
    {
    }

    vm_id m_vm;
    tcp_endpoint m_endpoint;
    std::uint64_t m_generation;
    strand m_strand;
    std::unique_ptr<http_connection> m_connection;
};

} // namespace cicadalug

#endif
