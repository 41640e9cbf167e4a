#ifndef CICADALUG_HTTP_HTTP_POOL_HPP
#define CICADALUG_HTTP_HTTP_POOL_HPP

#include <cicadalug/http/http_connection.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <vector>

namespace cicadalug {

/** @brief Condition under which a request is written. */
struct send_condition {
    /** @brief Nothing is sent after this time, and the exchange ends. */
    time_point m_deadline{};
    /** @brief Called right before the request is written, which can be long after the exchange began; nothing is sent
     * if it returns false. Null sends the request. */
    std::function<bool()> m_may_send;
    /** @brief Limits within the response; none by default. */
    std::optional<response_pace> m_pace{};
};

/**
 * @brief Connection pool of one endpoint: keeps connections open between exchanges.
 * @note Thread safety: all functions are called on the executor given to the constructor, which runs on one thread at a
 * time.
 */
class http_pool {
public:
    /**
     * @brief Constructs a pool without connections.
     * @param executor Executor of the connections.
     * @param endpoint Address and port of the server.
     * @param max_idle Maximum number of idle connections that are kept; unlimited by default, because a new connection
     * is expensive for the server.
     * @param max_exchanges Maximum number of concurrent exchanges; further ones wait. Unlimited by default.
     */
    http_pool(asio::any_io_executor executor, tcp_endpoint endpoint,
              const std::size_t max_idle = std::numeric_limits<std::size_t>::max(),
              const std::size_t max_exchanges = std::numeric_limits<std::size_t>::max())
        : m_executor{std::move(executor)}, m_endpoint{std::move(endpoint)}, m_max_idle{max_idle}, m_max_exchanges{
                                                                                                      max_exchanges}
    {
    }

    /**
     * @brief Performs one exchange on an idle connection, or on a new one.
     * @pre The pool outlives the exchange.
     * @param request Request to send.
     * @param timeout Timeout for the wait for a connection, connecting and the exchange together.
     * @param pace Limits within the timeout; none by default.
     * @return The complete response, or the failure. An exchange that failed on an idle connection before a byte was
     * sent is retried once on a new connection. After the timeout, nothing is sent any more (not_sent).
     */
    [[nodiscard]] auto exchange(http_request request, milliseconds timeout,
                                std::optional<response_pace> pace = std::nullopt)
        -> asio::awaitable<result<http_response, http_failure>>;

    /**
     * @brief Performs one exchange, if its condition still holds when the request is written.
     * @pre The pool outlives the exchange.
     * @param request Request to send.
     * @param condition Deadline of the whole exchange, and a check before the write.
     * @return As above; a request that its condition does not allow any more is withdrawn (not_sent).
     */
    [[nodiscard]] auto exchange(http_request request, send_condition condition)
        -> asio::awaitable<result<http_response, http_failure>>;

    /** @brief Closes all idle connections. Connections in use are closed after their exchange. */
    auto drop_connections() -> void;

    /** @brief Returns the endpoint that the pool connects to. */
    [[nodiscard]] auto endpoint() const noexcept -> const tcp_endpoint& { return m_endpoint; }

private:
    struct waiter {
        explicit waiter(const asio::any_io_executor& executor) : m_timer{executor} {}
        asio::steady_timer m_timer;
        bool m_has_turn{false};
    };

    [[nodiscard]] auto exchange_now(http_request request, const send_condition& condition)
        -> asio::awaitable<result<http_response, http_failure>>;
    [[nodiscard]] auto wait_for_turn(time_point deadline) -> asio::awaitable<bool>;
    auto end_turn() -> void;
    [[nodiscard]] auto take_idle() -> std::unique_ptr<http_connection>;

    asio::any_io_executor m_executor;
    tcp_endpoint m_endpoint;
    std::size_t m_max_idle;
    std::size_t m_max_exchanges;
    /** @brief Exchanges that have a turn, and those that wait for one in order of arrival. */
    std::size_t m_exchanges{0};
    std::deque<std::shared_ptr<waiter>> m_waiters;

    std::vector<std::unique_ptr<http_connection>> m_idle;
    /** @brief Incremented when the connections opened so far must not be reused; those in use are then not kept. */
    std::uint64_t m_generation{0};
};

} // namespace cicadalug

#endif
