#ifndef CICADALUG_HTTP_HTTP_CONNECTION_HPP
#define CICADALUG_HTTP_HTTP_CONNECTION_HPP

#include <cicadalug/base/result.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/http/message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace cicadalug {

/** @brief How far a failed HTTP exchange came. */
enum class http_progress : std::uint8_t {
    /** @brief No byte of the request was handed to the operating system. */
    not_sent,
    /** @brief Some of the request may have reached the other end; the answer was not read to its end. */
    maybe_sent,
};

/** @brief Why an HTTP exchange has no answer. */
struct http_failure {
    http_progress m_progress{http_progress::not_sent};
    /** @brief True if the time limit passed. */
    bool m_timed_out{false};
    std::string m_message;
};

/**
 * @brief Client's end of one HTTP/1.1 connection. A failed exchange closes it for good, so that a late answer is never
 * read as the answer to a later request.
 * @note Thread safety: one exchange at a time, on the executor given to connect(). close() on that executor too.
 */
class http_connection {
public:
    /**
     * @brief Opens a connection.
     * @param executor Runs the connection; a strand if the context has several threads.
     * @param endpoint The other end.
     * @param timeout Time to connect.
     * @return The connection, or the failure (always not_sent).
     */
    [[nodiscard]] static auto connect(asio::any_io_executor executor, tcp_endpoint endpoint, milliseconds timeout)
        -> asio::awaitable<result<std::unique_ptr<http_connection>, http_failure>>;

    /**
     * @brief Sends a request and reads the whole answer.
     * @pre reusable() is true.
     * @param request The request; its content length is set here.
     * @param timeout Time for the exchange.
     * @return The whole answer, or the failure. Interim responses (1xx) are passed over. An answer whose end is the end
     * of the connection is a failure, because a cut one looks the same.
     */
    [[nodiscard]] auto exchange(http_request request, milliseconds timeout)
        -> asio::awaitable<result<http_response, http_failure>>;

    /**
     * @brief Checks whether the connection can carry another exchange: the last answer was read to its end and the
     * other end has neither closed nor sent anything since.
     * @return True if it can be used again, false otherwise.
     */
    [[nodiscard]] auto reusable() -> bool;

    /** @brief Closes the connection. A running exchange fails. */
    auto close() -> void;

private:
    explicit http_connection(asio::any_io_executor executor) : m_stream{std::move(executor)} {}

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_open{false};
};

/**
 * @brief Makes one exchange on a new connection and closes it.
 * @param executor Runs the exchange.
 * @param endpoint The other end.
 * @param request The request.
 * @param timeout Time for connecting and for the exchange, each.
 * @return The whole answer, or the failure.
 */
[[nodiscard]] auto http_fetch(asio::any_io_executor executor, tcp_endpoint endpoint, http_request request,
                              milliseconds timeout) -> asio::awaitable<result<http_response, http_failure>>;

/**
 * @brief Makes one exchange on a new connection and waits for it. For programs without an event loop of their own.
 * @pre The calling thread runs no event loop.
 * @param endpoint The other end.
 * @param request The request.
 * @param timeout Time for connecting and for the exchange, each.
 * @return The whole answer, or the failure.
 */
[[nodiscard]] auto http_fetch_blocking(const tcp_endpoint& endpoint, http_request request, milliseconds timeout)
    -> result<http_response, http_failure>;

} // namespace cicadalug

#endif
