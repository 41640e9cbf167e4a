#include <cicadalug/http/body_buffer.hpp>
#include <cicadalug/http/http_server.hpp>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>

namespace cicadalug {

namespace {

constexpr milliseconds accept_retry_interval{50};

/** @brief Minimum size of the first read of a request. */
constexpr std::size_t first_read_bytes{4'096};

/** @brief Limits on the time and the bytes spent on reading and discarding input after a request was rejected. */
constexpr milliseconds discard_time{1'000};
constexpr std::size_t discard_bytes{16'777'216};

/** @brief Returns the status for a request that cannot be read, or nothing if the connection is closed without a
 * response. */
[[nodiscard]] auto rejection_status(const boost::system::error_code& error) -> std::optional<http::status>
{
    if (error == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    if (error == beast::error::timeout) {
        return http::status::bad_request;
    }
    if (error == http::error::end_of_stream || error.category() != http::make_error_code(http::error{}).category()) {
        return std::nullopt;
    }
    return http::status::bad_request;
}

/** @brief Counts a request as in flight from its first byte until its response is written. */
class in_flight_count {
public:
    explicit in_flight_count(std::atomic<std::size_t>& count) : m_count{count} { ++m_count; }
    in_flight_count(const in_flight_count&) = delete;
    in_flight_count(in_flight_count&&) = delete;
    auto operator=(const in_flight_count&) -> in_flight_count& = delete;
    auto operator=(in_flight_count&&) -> in_flight_count& = delete;
    ~in_flight_count() { --m_count; }

private:
    std::atomic<std::size_t>& m_count;
};

} // namespace

class http_server::state {
public:
    state(asio::io_context& context, const http_server_limits& limits, http_handler handler,
          const server_threads threads)
        : m_context{context}, m_threads{threads}, m_acceptor{make_executor()}, m_limits{limits}, m_handler{
                                                                                                     std::move(handler)}
    {
    }

    /** @brief Returns an executor whose handlers do not run concurrently. */
    [[nodiscard]] auto make_executor() const -> asio::any_io_executor
    {
        return m_threads == server_threads::single ? asio::any_io_executor{m_context.get_executor()}
                                                   : asio::any_io_executor{asio::make_strand(m_context)};
    }

    asio::io_context& m_context;
    const server_threads m_threads;
    asio::ip::tcp::acceptor m_acceptor;
    const http_server_limits m_limits;
    const http_handler m_handler;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_keep_alive_ended{false};
    std::atomic<std::size_t> m_in_flight{0};
    /** @brief Guards m_connections only; no other lock is acquired while it is held. */
    std::mutex m_mutex;
    std::unordered_set<http_exchange::connection*> m_connections;
};

class http_exchange::connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<http_server::state> server, asio::ip::tcp::socket socket)
        : m_server{std::move(server)}, m_stream{std::move(socket)}
    {
        boost::system::error_code ignored;
        m_peer = m_stream.socket().remote_endpoint(ignored);
        m_stream.socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    }

    connection(const connection&) = delete;
    connection(connection&&) = delete;
    auto operator=(const connection&) -> connection& = delete;
    auto operator=(connection&&) -> connection& = delete;

    ~connection()
    {
        const std::lock_guard lock{m_server->m_mutex};
        m_server->m_connections.erase(this);
    }

    auto run() -> asio::awaitable<void>;
    auto close_if_idle() -> void;
    auto watch_peer(std::function<void()> callback) -> void;
    auto stop_watching_peer() -> void;

    std::shared_ptr<http_server::state> m_server;
    beast::tcp_stream m_stream;
    tcp_endpoint m_peer;
    beast::flat_buffer m_buffer;
    bool m_keep_alive{true};

private:
    [[nodiscard]] auto wait_for_request() -> asio::awaitable<bool>;
    [[nodiscard]] auto read(boost::system::error_code& error) -> asio::awaitable<http_request>;
    [[nodiscard]] auto handle(http_request request) -> asio::awaitable<void>;
    [[nodiscard]] auto reject(http::status status, const std::string& reason) -> asio::awaitable<void>;
    [[nodiscard]] auto discard_rest() -> asio::awaitable<void>;

    bool m_idle{false};
    std::shared_ptr<std::function<void()>> m_peer_callback;
};

auto http_exchange::connection::wait_for_request() -> asio::awaitable<bool>
{
    if (m_buffer.size() > 0) {
        co_return true;
    }
    // A timeout or close of an idle connection is not a failed request.
    boost::system::error_code error;
    m_idle = true;
    m_stream.expires_after(m_server->m_limits.m_idle_timeout);
    // A connection that has received large requests has a large buffer, and reads the next one at once.
    const auto size = std::max(first_read_bytes, m_buffer.capacity());
    const auto received =
        co_await m_stream.async_read_some(m_buffer.prepare(size), asio::redirect_error(asio::use_awaitable, error));
    m_idle = false;
    m_buffer.commit(received);
    co_return !error;
}

auto http_exchange::connection::read(boost::system::error_code& error) -> asio::awaitable<http_request>
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(m_server->m_limits.m_header_bytes);
    parser.body_limit(m_server->m_limits.m_body_bytes);
    parser.eager(true);
    m_buffer.consume(parser.put(m_buffer.data(), error));
    if (error == http::error::need_more) {
        error = {};
    }
    if (error || parser.is_done()) {
        // Most requests arrive whole, and need neither the timer nor another asynchronous operation.
        co_return error ? http_request{} : parser.release();
    }
    // The timeout of the stream would close it before the peer could be sent the reason.
    m_stream.expires_never();
    asio::steady_timer read_timer{m_stream.get_executor(), m_server->m_limits.m_read_timeout};
    const auto reading = std::make_shared<bool>(true);
    read_timer.async_wait([self = shared_from_this(), reading](const boost::system::error_code& cancelled) {
        if (!cancelled && *reading) {
            self->m_stream.cancel();
        }
    });
    if (!parser.is_header_done()) {
        co_await http::async_read_header(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error && !parser.is_done()) {
        reserve_body(m_buffer, parser.content_length());
        co_await http::async_read(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    *reading = false;
    if (error == asio::error::operation_aborted) {
        error = beast::error::timeout;
    }
    co_return error ? http_request{} : parser.release();
}

auto http_exchange::connection::run() -> asio::awaitable<void>
{
    while (m_keep_alive && !m_server->m_draining && co_await wait_for_request()) {
        const in_flight_count counted{m_server->m_in_flight};
        boost::system::error_code error;
        auto request = co_await read(error);
        if (error) {
            const auto status = rejection_status(error);
            if (status) {
                co_await reject(*status, error.message());
            }
            break;
        }
        m_keep_alive = request.keep_alive();
        co_await handle(std::move(request));
    }
    boost::system::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

auto http_exchange::connection::handle(http_request request) -> asio::awaitable<void>
{
    http_exchange exchange{*this, std::move(request)};
    std::string failure;
    try {
        co_await m_server->m_handler(exchange);
    }
    catch (const std::exception& exception) {
        LOG(ERROR) << "event=handler_failed error=\"" << exception.what() << '"';
        failure = exception.what();
        m_keep_alive = false;
    }
    if (!exchange.response_started()) {
        co_await exchange.respond(
            findings_response(http::status::internal_server_error, findings{"request", "no answer: " + failure}));
    }
    if (exchange.streaming() && m_keep_alive) {
        boost::system::error_code error;
        co_await asio::async_write(m_stream, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
        m_keep_alive = !error;
    }
}

auto http_exchange::connection::reject(const http::status status, const std::string& reason) -> asio::awaitable<void>
{
    m_keep_alive = false;
    auto response = findings_response(status, findings{"request", reason});
    response.set("X-Outcome", "not-run");
    response.keep_alive(false);
    boost::system::error_code error;
    m_stream.expires_after(m_server->m_limits.m_write_timeout);
    co_await http::async_write(m_stream, response, asio::redirect_error(asio::use_awaitable, error));
    co_await discard_rest();
}

auto http_exchange::connection::discard_rest() -> asio::awaitable<void>
{
    // Closing a socket with unread data resets the connection, and the peer may lose the response.
    boost::system::error_code error;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    m_stream.expires_after(discard_time);
    std::size_t discarded{0};
    while (!error && discarded < discard_bytes) {
        m_buffer.clear();
        discarded += co_await m_stream.async_read_some(m_buffer.prepare(65'536),
                                                       asio::redirect_error(asio::use_awaitable, error));
    }
}

auto http_exchange::connection::close_if_idle() -> void
{
    asio::post(m_stream.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        if (self->m_idle && self->m_stream.socket().available(ignored) == 0) {
            self->m_stream.cancel();
        }
    });
}

auto http_exchange::connection::watch_peer(std::function<void()> callback) -> void
{
    m_peer_callback = std::make_shared<std::function<void()>>(std::move(callback));
    m_stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        asio::bind_executor(m_stream.get_executor(), [self = shared_from_this(), callback = m_peer_callback](
                                                         const boost::system::error_code& error) {
            if (error || !*callback) {
                return;
            }
            boost::system::error_code peek_error;
            char byte{};
            self->m_stream.socket().non_blocking(true, peek_error);
            const auto received = self->m_stream.socket().receive(asio::buffer(&byte, 1),
                                                                  asio::ip::tcp::socket::message_peek, peek_error);
            if (peek_error != asio::error::would_block && (peek_error || received == 0)) {
                self->m_keep_alive = false;
                const auto call = std::exchange(*callback, nullptr);
                call();
            }
        }));
}

auto http_exchange::connection::stop_watching_peer() -> void
{
    if (m_peer_callback) {
        *m_peer_callback = nullptr;
        m_peer_callback.reset();
        boost::system::error_code ignored;
        m_stream.socket().cancel(ignored);
    }
}

http_exchange::http_exchange(connection& owner, http_request request)
    : m_connection{owner}, m_request{std::move(request)}
{
}

auto http_exchange::peer() const noexcept -> const tcp_endpoint&
{
    return m_connection.m_peer;
}

auto http_exchange::on_peer_closed(std::function<void()> callback) -> void
{
    m_connection.watch_peer(std::move(callback));
}

auto http_exchange::respond(http_response response) -> asio::awaitable<void>
{
    m_response_started = true;
    m_connection.stop_watching_peer();
    response.version(m_request.version());
    response.keep_alive(m_connection.m_keep_alive && !m_connection.m_server->m_keep_alive_ended);
    boost::system::error_code error;
    m_connection.m_stream.expires_after(m_connection.m_server->m_limits.m_write_timeout);
    co_await http::async_write(m_connection.m_stream, response, asio::redirect_error(asio::use_awaitable, error));
    m_connection.m_keep_alive = m_connection.m_keep_alive && !error && response.keep_alive();
}

auto http_exchange::begin_stream(const std::string_view content_type) -> asio::awaitable<bool>
{
    m_response_started = true;
    m_streaming = true;
    m_connection.stop_watching_peer();
    http::response<http::empty_body> header{http::status::ok, 11};
    header.set(http::field::content_type, beast::string_view{content_type.data(), content_type.size()});
    header.chunked(true);
    http::response_serializer<http::empty_body> serializer{header};
    boost::system::error_code error;
    m_connection.m_stream.expires_after(m_connection.m_server->m_limits.m_write_timeout);
    co_await http::async_write_header(m_connection.m_stream, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    m_connection.m_keep_alive = m_connection.m_keep_alive && !error;
    co_return !error;
}

auto http_exchange::write_chunk(const std::string_view data) -> asio::awaitable<bool>
{
    boost::system::error_code error;
    m_connection.m_stream.expires_after(m_connection.m_server->m_limits.m_write_timeout);
    co_await asio::async_write(m_connection.m_stream, http::make_chunk(asio::buffer(data.data(), data.size())),
                               asio::redirect_error(asio::use_awaitable, error));
    m_connection.m_keep_alive = m_connection.m_keep_alive && !error;
    co_return !error;
}

auto http_exchange::drop() -> void
{
    m_response_started = true;
    m_connection.stop_watching_peer();
    m_connection.m_keep_alive = false;
    m_connection.m_stream.close();
}

namespace {

[[nodiscard]] auto serve(std::shared_ptr<http_exchange::connection> connection) -> asio::awaitable<void>
{
    co_await connection->run();
}

/** @brief Registers a connection unless the limit is reached. */
[[nodiscard]] auto register_connection(const std::shared_ptr<http_server::state>& server,
                                       http_exchange::connection& connection) -> bool
{
    const std::lock_guard lock{server->m_mutex};
    if (server->m_connections.size() >= server->m_limits.m_connections) {
        return false;
    }
    server->m_connections.insert(&connection);
    return true;
}

[[nodiscard]] auto accept_all(std::shared_ptr<http_server::state> server) -> asio::awaitable<void>
{
    while (!server->m_draining) {
        boost::system::error_code error;
        auto socket = co_await server->m_acceptor.async_accept(server->make_executor(),
                                                               asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            // For example, out of file descriptors. The delay before the next attempt avoids a busy loop.
            asio::steady_timer timer{server->m_acceptor.get_executor(), accept_retry_interval};
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        const auto executor = socket.get_executor();
        auto connection = std::make_shared<http_exchange::connection>(server, std::move(socket));
        if (register_connection(server, *connection)) {
            asio::co_spawn(executor, serve(std::move(connection)), asio::detached);
        }
    }
}

} // namespace

http_server::http_server(asio::io_context& context, const tcp_endpoint& endpoint, const http_server_limits& limits,
                         http_handler handler, const server_threads threads)
    : m_state{std::make_shared<state>(context, limits, std::move(handler), threads)}
{
    auto& acceptor = m_state->m_acceptor;
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address{true});
    acceptor.bind(endpoint);
    acceptor.listen();
    asio::co_spawn(acceptor.get_executor(), accept_all(m_state), asio::detached);
}

http_server::~http_server()
{
    drain();
}

auto http_server::endpoint() const -> tcp_endpoint
{
    return m_state->m_acceptor.local_endpoint();
}

auto http_server::stop_keep_alive() noexcept -> void
{
    m_state->m_keep_alive_ended = true;
}

auto http_server::drain() -> void
{
    m_state->m_keep_alive_ended = true;
    m_state->m_draining = true;
    asio::dispatch(m_state->m_acceptor.get_executor(), [server = m_state] {
        boost::system::error_code ignored;
        server->m_acceptor.close(ignored);
    });
    const std::lock_guard lock{m_state->m_mutex};
    for (auto* connection : m_state->m_connections) {
        // A connection whose last owner is being destroyed needs no close.
        if (const auto alive = connection->weak_from_this().lock()) {
            alive->close_if_idle();
        }
    }
}

auto http_server::requests_in_flight() const noexcept -> std::size_t
{
    return m_state->m_in_flight;
}

} // namespace cicadalug
