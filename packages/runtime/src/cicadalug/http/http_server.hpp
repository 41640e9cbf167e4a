#ifndef CICADALUG_HTTP_HTTP_SERVER_HPP
#define CICADALUG_HTTP_HTTP_SERVER_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/http/message.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace cicadalug {

/** @brief What a peer may use of an HTTP server. */
struct http_server_limits {
    /** @brief Size of the request line and all headers, in bytes. */
    std::uint32_t m_header_bytes{16'384};
    /** @brief Size of a request body, in bytes. */
    std::uint64_t m_body_bytes{1'048'576};
    /** @brief Time from the first byte of a request to its last. */
    milliseconds m_read_timeout{10'000};
    /** @brief Time that a connection may stay open between two requests. */
    milliseconds m_idle_timeout{60'000};
    /** @brief Time that a peer may take to accept a response or a part of a stream. */
    milliseconds m_write_timeout{10'000};
    /** @brief Open connections; a further one is closed at once. */
    std::size_t m_connections{1024};
};

/**
 * @brief One request of a peer and the way to answer it.
 * @note Thread safety: used by the coroutine of its connection only.
 */
class http_exchange {
public:
    /** @brief State of the connection, defined by the server. */
    class connection;

    /**
     * @brief Constructs an exchange on a connection.
     * @param owner The connection, which outlives the exchange.
     * @param request The whole request.
     */
    http_exchange(connection& owner, http_request request);

    /**
     * @brief Returns the request.
     * @return The whole request.
     */
    [[nodiscard]] auto request() const noexcept -> const http_request& { return m_request; }

    /**
     * @brief Returns the address of the peer.
     * @return The endpoint at the other end of the connection.
     */
    [[nodiscard]] auto peer() const noexcept -> const tcp_endpoint&;

    /**
     * @brief Calls a function once if the peer closes the connection before the answer.
     * @pre No answer has been started.
     * @param callback The function, called on the executor of the connection.
     */
    auto on_peer_closed(std::function<void()> callback) -> void;

    /**
     * @brief Sends the whole answer.
     * @pre No answer has been started.
     * @param response The answer.
     */
    [[nodiscard]] auto respond(http_response response) -> asio::awaitable<void>;

    /**
     * @brief Starts an answer of unknown length.
     * @pre No answer has been started.
     * @param content_type Value of the Content-Type header.
     * @return True if the header was written, false if the peer is gone.
     */
    [[nodiscard]] auto begin_stream(std::string_view content_type) -> asio::awaitable<bool>;

    /**
     * @brief Sends a part of a stream.
     * @pre begin_stream() returned true.
     * @param data The part, not empty.
     * @return True if it was written, false if the peer is gone or too slow.
     */
    [[nodiscard]] auto write_chunk(std::string_view data) -> asio::awaitable<bool>;

    /** @brief Closes the connection without an answer, or in the middle of a stream. */
    auto drop() -> void;

    /**
     * @brief Checks whether an answer was started.
     * @return True after respond() or begin_stream(), false otherwise.
     */
    [[nodiscard]] auto answered() const noexcept -> bool { return m_answered; }

    /**
     * @brief Checks whether the answer is a stream.
     * @return True after begin_stream(), false otherwise.
     */
    [[nodiscard]] auto streaming() const noexcept -> bool { return m_streaming; }

private:
    connection& m_connection;
    http_request m_request;
    bool m_answered{false};
    bool m_streaming{false};
};

/** @brief Answers one request. Runs on the strand of the connection. */
using http_handler = std::function<asio::awaitable<void>(http_exchange&)>;

/**
 * @brief HTTP/1.1 server. Each connection runs as a coroutine on its own strand.
 * @note Thread safety: all functions can be called concurrently.
 */
class http_server {
public:
    /**
     * @brief Opens the listening socket and starts to accept.
     * @param context Runs the server; outlives it.
     * @param endpoint Address and port to listen on; port 0 picks a free one.
     * @param limits What a peer may use.
     * @param handler Answers each request.
     * @throws boost::system::system_error if the address is not available.
     */
    http_server(asio::io_context& context, const tcp_endpoint& endpoint, const http_server_limits& limits,
                http_handler handler);

    http_server(const http_server&) = delete;
    http_server(http_server&&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;
    auto operator=(http_server&&) -> http_server& = delete;

    /** @brief Stops accepting. Connections end on their own after their current answer. */
    ~http_server();

    /**
     * @brief Returns the address the server listens on.
     * @return The endpoint with the real port.
     */
    [[nodiscard]] auto endpoint() const -> tcp_endpoint;

    /**
     * @brief Makes each further answer the last one of its connection. Called some time before drain(), it lets peers
     * learn from an answer that they have to connect elsewhere, instead of from a closed connection.
     */
    auto stop_keep_alive() noexcept -> void;

    /** @brief Stops accepting and closes idle connections. Requests in flight are answered, then their connection
     * is closed. */
    auto drain() -> void;

    /**
     * @brief Returns the number of requests whose first byte was read and whose answer was not yet
     * written.
     * @return The number of requests in flight.
     */
    [[nodiscard]] auto requests_in_flight() const noexcept -> std::size_t;

    /** @brief State shared with the connections. */
    class state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace cicadalug

#endif
