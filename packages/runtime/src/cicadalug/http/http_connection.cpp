#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/http/body_buffer.hpp>
#include <cicadalug/http/http_connection.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <optional>

namespace cicadalug {

namespace {

/** @brief Maximum size of an accepted response body, in bytes. */
constexpr std::uint64_t max_response_body{16'777'216};

/** @brief Maximum number of interim responses (1xx) that are skipped before the final response. */
constexpr int max_interim_responses{8};

[[nodiscard]] auto failure(const http_progress progress, const boost::system::error_code& error) -> http_failure
{
    const bool lacks_resources = error == asio::error::no_descriptors || error == asio::error::no_buffer_space ||
                                 error == asio::error::no_memory ||
                                 error == boost::system::errc::too_many_files_open_in_system;
    return {progress, error == beast::error::timeout, error.message(), lacks_resources};
}

} // namespace

auto http_connection::connect(asio::any_io_executor executor, const tcp_endpoint endpoint, const milliseconds timeout)
    -> asio::awaitable<result<std::unique_ptr<http_connection>, http_failure>>
{
    std::unique_ptr<http_connection> connection{new http_connection{std::move(executor)}};
    boost::system::error_code error;
    connection->m_stream.expires_after(timeout);
    co_await connection->m_stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return failure(http_progress::not_sent, error);
    }
    connection->m_stream.socket().set_option(asio::ip::tcp::no_delay{true}, error);
    // Closing discards what has not been delivered; otherwise a request could arrive long after its timeout.
    connection->m_stream.socket().set_option(asio::socket_base::linger{true, 0}, error);
    connection->m_open = true;
    co_return std::move(connection);
}

template<typename Parser>
auto http_connection::read_body(Parser& parser, const std::optional<response_pace> pace, const time_point deadline)
    -> asio::awaitable<boost::system::error_code>
{
    boost::system::error_code error;
    reserve_body(m_buffer, parser.content_length());
    if (!pace) {
        co_await http::async_read(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        co_return error;
    }
    parser.eager(true);
    while (!error && !parser.is_done()) {
        const auto left = std::chrono::ceil<milliseconds>(deadline - monotonic_now());
        m_stream.expires_after(std::clamp(left, milliseconds{0}, pace->m_inactivity));
        co_await http::async_read_some(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    co_return error;
}

auto http_connection::exchange(http_request request, const milliseconds timeout,
                               const std::optional<response_pace> pace)
    -> asio::awaitable<result<http_response, http_failure>>
{
    m_open = false;
    request.prepare_payload();
    boost::system::error_code error;
    const auto deadline = monotonic_now() + timeout;
    m_stream.expires_after(pace ? std::min(timeout, pace->m_first_byte) : timeout);
    const auto sent = co_await http::async_write(m_stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        close();
        co_return failure(sent == 0 ? http_progress::not_sent : http_progress::maybe_sent, error);
    }
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_response_body);
        co_await http::async_read_header(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (!error && http::to_status_class(parser.get().result()) == http::status_class::informational) {
            continue;
        }
        if (!error && parser.need_eof()) {
            // A truncated response cannot be distinguished from a complete one.
            close();
            co_return http_failure{http_progress::maybe_sent, false, "the answer states no length"};
        }
        if (!error && !parser.is_done()) {
            error = co_await read_body(parser, pace, deadline);
        }
        if (error) {
            close();
            auto failed = failure(http_progress::maybe_sent, error);
            failed.m_received_bytes = parser.get().body().size();
            co_return failed;
        }
        m_open = parser.get().keep_alive() && m_buffer.size() == 0;
        co_return parser.release();
    }
    close();
    co_return http_failure{http_progress::maybe_sent, false, "no answer after the interim responses"};
}

auto http_connection::reusable() -> bool
{
    if (!m_open) {
        return false;
    }
    boost::system::error_code error;
    char byte{};
    m_stream.socket().non_blocking(true, error);
    m_stream.socket().receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

auto http_connection::close() -> void
{
    m_open = false;
    m_stream.close();
}

auto http_fetch(asio::any_io_executor executor, const tcp_endpoint endpoint, http_request request,
                const milliseconds timeout) -> asio::awaitable<result<http_response, http_failure>>
{
    auto connected = co_await http_connection::connect(std::move(executor), endpoint, timeout);
    if (!connected) {
        co_return std::move(connected).assume_error();
    }
    auto connection = std::move(connected).assume_value();
    co_return co_await connection->exchange(std::move(request), timeout);
}

auto http_fetch_blocking(const tcp_endpoint& endpoint, http_request request, const milliseconds timeout)
    -> result<http_response, http_failure>
{
    asio::io_context context;
    std::optional<result<http_response, http_failure>> response;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            response.emplace(co_await http_fetch(context.get_executor(), endpoint, std::move(request), timeout));
        },
        asio::detached);
    context.run();
    return std::move(response).value();
}

} // namespace cicadalug
