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

/** @brief Resource limits of an HTTP server. */
struct http_server_limits {
    /** @brief Maximum size of the request line and all headers, in bytes. */
    std::uint32_t m_header_bytes{16'384};
    /** @brief Maximum size of a request body, in bytes. */
    std::uint64_t m_body_bytes{1'048'576};
    /** @brief Maximum time from the first to the last byte of a request. */
    milliseconds m_read_timeout{10'000};
    /** @brief Maximum time that a connection stays open between two requests. */
    milliseconds m_idle_timeout{60'000};
    /** @brief Maximum time for a peer to accept a response or a chunk of a stream. */
    milliseconds m_write_timeout{10'000};
    /** @brief Maximum number of open connections; further ones are closed immediately. */
    std::size_t m_connections{1024};
};

/**
 * @brief One request from a peer and the means to respond to it.
 * @note Thread safety: used by the coroutine of its connection only.
 */
class http_exchange {
public:
    /** @brief State of the connection, defined by the server. */
    class connection;

    /**
     * @brief Constructs an exchange on a connection.
     * @param owner Connection, which outlives the exchange.
     * @param request Complete request.
     */
    http_exchange(connection& owner, http_request request);

    /**
     * @brief Returns the request.
     * @return The complete request.
     */
    [[nodiscard]] auto request() const noexcept -> const http_request& { return m_request; }

    /**
     * @brief Returns the address of the peer.
     * @return Remote endpoint of the connection.
     */
    [[nodiscard]] auto peer() const noexcept -> const tcp_endpoint&;

    /**
     * @brief Calls a function once if the peer closes the connection before the response is started.
     * @pre No response has been started.
     * @param callback Function that is called on the executor of the connection.
     */
    auto on_peer_closed(std::function<void()> callback) -> void;

    /**
     * @brief Sends a complete response.
     * @pre No response has been started.
     * @param response Response to send.
     */
    [[nodiscard]] auto respond(http_response response) -> asio::awaitable<void>;

    /**
     * @brief Starts a response of unknown length, sent as a stream of chunks.
     * @pre No response has been started.
     * @param content_type Value of the Content-Type header.
     * @return True if the header was written, false if the write failed or timed out.
     */
    [[nodiscard]] auto begin_stream(std::string_view content_type) -> asio::awaitable<bool>;

    /**
     * @brief Sends a chunk of a stream.
     * @pre begin_stream() returned true.
     * @param data Chunk, not empty.
     * @return True if it was written, false if the peer has disconnected or is too slow.
     */
    [[nodiscard]] auto write_chunk(std::string_view data) -> asio::awaitable<bool>;

    /** @brief Closes the connection without a response, or in the middle of a stream. */
    auto drop() -> void;

    /**
     * @brief Checks whether the response was started or the connection dropped.
     * @return True after respond(), begin_stream() or drop(), false otherwise.
     */
    [[nodiscard]] auto response_started() const noexcept -> bool { return m_response_started; }

    /**
     * @brief Checks whether the response is a stream.
     * @return True after begin_stream(), false otherwise.
     */
    [[nodiscard]] auto streaming() const noexcept -> bool { return m_streaming; }

private:
    connection& m_connection;
    http_request m_request;
    bool m_response_started{false};
    bool m_streaming{false};
};

/** @brief Threads that run the context of a server. */
enum class server_threads : std::uint8_t {
    /** @brief One thread at a time. Connections need no strands, which cost a handler and an allocation each time a
     * connection resumes. */
    single,
    multiple,
};

/** @brief Responds to one request. Runs on the executor of the connection. */
using http_handler = std::function<asio::awaitable<void>(http_exchange&)>;

/**
 * @brief HTTP/1.1 server. Each connection runs as a coroutine, on its own strand unless a single thread runs the
 * context.
 * @note Thread safety: all functions can be called concurrently.
 */
class http_server {
public:
    /**
     * @brief Opens the listening socket and starts accepting connections.
     * @param context Context that runs the server; outlives it.
     * @param endpoint Address and port to listen on; port 0 selects a free port.
     * @param limits Resource limits.
     * @param handler Called for each request.
     * @param threads Threads that run the context.
     * @throws boost::system::system_error if the address is not available.
     */
    http_server(asio::io_context& context, const tcp_endpoint& endpoint, const http_server_limits& limits,
                http_handler handler, server_threads threads = server_threads::multiple);

    http_server(const http_server&) = delete;
    http_server(http_server&&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;
    auto operator=(http_server&&) -> http_server& = delete;

    /** @brief Stops accepting and closes idle connections. Other connections close after their current response. */
    ~http_server();

    /**
     * @brief Returns the address that the server listens on.
     * @return Endpoint with the actual port.
     */
    [[nodiscard]] auto endpoint() const -> tcp_endpoint;

    /**
     * @brief Makes each further response the last one on its connection. If it is called some time before drain(),
     * peers learn from a response, not from a closed connection, that they have to connect to another server.
     */
    auto stop_keep_alive() noexcept -> void;

    /** @brief Stops accepting and closes idle connections. Requests in flight are completed, then their
     * connection is closed. */
    auto drain() -> void;

    /**
     * @brief Returns the number of requests whose first byte was read and whose response is not yet written.
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
