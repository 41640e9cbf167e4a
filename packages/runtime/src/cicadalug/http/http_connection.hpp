#ifndef CICADALUG_HTTP_HTTP_CONNECTION_HPP
#define CICADALUG_HTTP_HTTP_CONNECTION_HPP

#include <cicadalug/base/result.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/http/message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace cicadalug {

/** @brief Progress of an HTTP exchange at the time it failed. */
enum class http_progress : std::uint8_t {
    /** @brief No byte of the request was handed to the operating system. */
    not_sent,
    /** @brief Part of the request may have reached the server; the response was not read completely. */
    maybe_sent,
};

/** @brief Reason why an HTTP exchange has no response. */
struct http_failure {
    http_progress m_progress{http_progress::not_sent};
    /** @brief True if the timeout expired. */
    bool m_timed_out{false};
    std::string m_message;
    /** @brief True if this process lacks file descriptors or memory for sockets; says nothing about the server. */
    bool m_lacks_resources{false};
    /** @brief True if the sender withdrew the request before it was written; says nothing about the server. */
    bool m_withdrawn{false};
    /** @brief Bytes of the response's body that were received. */
    std::size_t m_received_bytes{0};
};

/**
 * @brief Time limits within a response. A large response on a busy link takes long although its sender is healthy; a
 * response without any progress shows a failure much earlier.
 */
struct response_pace {
    /** @brief Maximum time from the request to the header of the response. */
    milliseconds m_first_byte{};
    /** @brief Maximum time without any byte after that. */
    milliseconds m_inactivity{};
};

/**
 * @brief Client side of one HTTP/1.1 connection. A failed exchange closes it permanently, so that a delayed response is
 * never read as the response to a later request.
 * @note Thread safety: one exchange at a time, on the executor given to connect(). close() is called on that executor
 * too.
 */
class http_connection {
public:
    /**
     * @brief Opens a connection.
     * @param executor Executor of the connection; a strand if the context runs on several threads.
     * @param endpoint Address and port of the server.
     * @param timeout Timeout for connecting.
     * @return The connection, or the failure (always not_sent).
     */
    [[nodiscard]] static auto connect(asio::any_io_executor executor, tcp_endpoint endpoint, milliseconds timeout)
        -> asio::awaitable<result<std::unique_ptr<http_connection>, http_failure>>;

    /**
     * @brief Sends a request and reads the complete response.
     * @pre reusable() is true.
     * @param request Request; its content length is set here.
     * @param timeout Timeout for the exchange.
     * @param pace Limits within the timeout; none by default.
     * @return The complete response, or the failure. Interim responses (1xx) are skipped. A response that is delimited
     * by the end of the connection is a failure, because it cannot be distinguished from a truncated one.
     */
    [[nodiscard]] auto exchange(http_request request, milliseconds timeout,
                                std::optional<response_pace> pace = std::nullopt)
        -> asio::awaitable<result<http_response, http_failure>>;

    /**
     * @brief Checks whether the connection can carry another exchange: the last response was read completely and
     * the server has neither closed the connection nor sent anything since.
     * @return True if the connection can be reused, false otherwise.
     */
    [[nodiscard]] auto reusable() -> bool;

    /** @brief Closes the connection. A running exchange fails. */
    auto close() -> void;

private:
    /** @brief Reads the rest of a response. @param pace See exchange(). @param deadline End of the exchange. */
    template<typename Parser>
    [[nodiscard]] auto read_body(Parser& parser, std::optional<response_pace> pace, time_point deadline)
        -> asio::awaitable<boost::system::error_code>;

    explicit http_connection(asio::any_io_executor executor) : m_stream{std::move(executor)} {}

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_open{false};
};

/**
 * @brief Performs one exchange on a new connection and closes it.
 * @param executor Executor of the exchange.
 * @param endpoint Address and port of the server.
 * @param request Request to send.
 * @param timeout Timeout for connecting and, separately, for the exchange.
 * @return The complete response, or the failure.
 */
[[nodiscard]] auto http_fetch(asio::any_io_executor executor, tcp_endpoint endpoint, http_request request,
                              milliseconds timeout) -> asio::awaitable<result<http_response, http_failure>>;

/**
 * @brief Performs one exchange on a new connection and blocks until it ends. For programs without an event loop.
 * @pre The calling thread runs no event loop.
 * @param endpoint Address and port of the server.
 * @param request Request to send.
 * @param timeout Timeout for connecting and, separately, for the exchange.
 * @return The complete response, or the failure.
 */
[[nodiscard]] auto http_fetch_blocking(const tcp_endpoint& endpoint, http_request request, milliseconds timeout)
    -> result<http_response, http_failure>;

} // namespace cicadalug

#endif
