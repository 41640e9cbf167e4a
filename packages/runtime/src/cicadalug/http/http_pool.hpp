#ifndef CICADALUG_HTTP_HTTP_POOL_HPP
#define CICADALUG_HTTP_HTTP_POOL_HPP

#include <cicadalug/http/http_connection.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <vector>

namespace cicadalug {

/**
 * @brief Keeps connections to one endpoint open between exchanges.
 * @note Thread safety: all functions on the executor given to the constructor, which runs one thread at a time.
 */
class http_pool {
public:
    /**
     * @brief Constructs a pool without connections.
     * @param executor Runs the connections.
     * @param endpoint The other end.
     * @param most_idle Idle connections that are kept at most; by default all, as a new one is dear to the other end.
     */
    http_pool(asio::any_io_executor executor, tcp_endpoint endpoint,
              const std::size_t most_idle = std::numeric_limits<std::size_t>::max())
        : m_executor{std::move(executor)}, m_endpoint{std::move(endpoint)}, m_most_idle{most_idle}
    {
    }

    /**
     * @brief Makes one exchange on an idle connection, or on a new one.
     * @pre The pool outlives the exchange.
     * @param request The request.
     * @param timeout Time for connecting and for the exchange together.
     * @return The whole answer, or the failure. An exchange that failed before a byte was sent on an idle connection is
     * tried again once on a new one.
     */
    [[nodiscard]] auto exchange(http_request request, milliseconds timeout)
        -> asio::awaitable<result<http_response, http_failure>>;

    /** @brief Closes all idle connections. Those in use are not kept afterwards. */
    auto drop_connections() -> void;

    /** @brief Returns the endpoint that the pool connects to. */
    [[nodiscard]] auto endpoint() const noexcept -> const tcp_endpoint& { return m_endpoint; }

private:
    [[nodiscard]] auto take_idle() -> std::unique_ptr<http_connection>;

    asio::any_io_executor m_executor;
    tcp_endpoint m_endpoint;
    std::size_t m_most_idle;

    std::vector<std::unique_ptr<http_connection>> m_idle;
    /** @brief Rises when connections opened before are not to be trusted any more. */
    std::uint64_t m_generation{0};
};

} // namespace cicadalug

#endif
