#include <cicadalug/http/line_stream.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/none.hpp>

#include <array>
#include <cstddef>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Maximum length of an accepted line, in bytes: fits a value of 1 MB with all of its characters escaped. */
constexpr std::size_t max_line{8'388'608};

[[nodiscard]] auto failure(const http_progress progress, const boost::system::error_code& error) -> http_failure
{
    return {progress, error == beast::error::timeout, error.message()};
}

} // namespace

class line_stream::state {
public:
    explicit state(asio::any_io_executor executor) : m_stream{std::move(executor)} { m_parser.body_limit(boost::none); }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::response_parser<http::buffer_body> m_parser;
    std::array<char, 16'384> m_chunk{};
    std::string m_unread_text;
    /** @brief Length of the prefix of m_unread_text that is known to contain no line feed. */
    std::size_t m_searched{0};
};

line_stream::line_stream(std::unique_ptr<state> opened) : m_state{std::move(opened)} {}

line_stream::~line_stream() = default;

auto line_stream::open(asio::any_io_executor executor, const tcp_endpoint endpoint, http_request request,
                       const milliseconds timeout)
    -> asio::awaitable<result<std::unique_ptr<line_stream>, http_failure>>
{
    auto opened = std::make_unique<state>(std::move(executor));
    boost::system::error_code error;
    opened->m_stream.expires_after(timeout);
    co_await opened->m_stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return failure(http_progress::not_sent, error);
    }
    request.prepare_payload();
    opened->m_stream.expires_after(timeout);
    co_await http::async_write(opened->m_stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        co_await http::async_read_header(opened->m_stream, opened->m_buffer, opened->m_parser,
                                         asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        co_return failure(http_progress::maybe_sent, error);
    }
    if (opened->m_parser.get().result() != http::status::ok) {
        co_return http_failure{http_progress::maybe_sent, false,
                               "status " + std::to_string(opened->m_parser.get().result_int())};
    }
    co_return std::make_unique<line_stream>(std::move(opened));
}

auto line_stream::next_line(const milliseconds timeout) -> asio::awaitable<result<std::string, http_failure>>
{
    auto& stream = *m_state;
    stream.m_stream.expires_after(timeout);
    while (true) {
        const auto line_feed = stream.m_unread_text.find('\n', stream.m_searched);
        if (line_feed != std::string::npos) {
            auto line = stream.m_unread_text.substr(0, line_feed);
            stream.m_unread_text.erase(0, line_feed + 1);
            stream.m_searched = 0;
            co_return line;
        }
        stream.m_searched = stream.m_unread_text.size();
        if (stream.m_parser.is_done() || stream.m_unread_text.size() > max_line) {
            close();
            co_return http_failure{http_progress::maybe_sent, false, "end of stream"};
        }
        auto& body = stream.m_parser.get().body();
        body.data = stream.m_chunk.data();
        body.size = stream.m_chunk.size();
        boost::system::error_code error;
        co_await http::async_read_some(stream.m_stream, stream.m_buffer, stream.m_parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer) {
            close();
            co_return failure(http_progress::maybe_sent, error);
        }
        stream.m_unread_text.append(stream.m_chunk.data(), stream.m_chunk.size() - body.size);
    }
}

auto line_stream::close() -> void
{
    m_state->m_stream.close();
}

} // namespace cicadalug
