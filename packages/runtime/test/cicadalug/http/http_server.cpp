#include <cicadalug/http/http_connection.hpp>
#include <cicadalug/http/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cicadalug;

constexpr milliseconds timeout{2'000};

class http_server_test : public ::testing::Test {
protected:
    ~http_server_test() override
    {
        m_context.stop();
        m_thread.join();
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    std::thread m_thread{[this] {
        m_context.run();
    }};
};

[[nodiscard]] auto local_endpoint() -> tcp_endpoint
{
    return {asio::ip::address_v4::loopback(), 0};
}

[[nodiscard]] auto echo(http_exchange& exchange) -> asio::awaitable<void>
{
    http_response response{http::status::ok, 11};
    response.body() = exchange.request().body();
    response.prepare_payload();
    co_await exchange.respond(std::move(response));
}

[[nodiscard]] auto echo_after_delay(http_exchange& exchange) -> asio::awaitable<void>
{
    asio::steady_timer timer{co_await asio::this_coro::executor, milliseconds{100}};
    co_await timer.async_wait(asio::use_awaitable);
    co_await echo(exchange);
}

// Guards against truncating a body of 100 kB in the request or in the response.
TEST_F(http_server_test, responds_with_the_whole_body)
{
    const http_server server{m_context, local_endpoint(), {}, echo};
    http_request request{http::verb::post, "/", 11};
    request.body() = std::string(100'000, 'x');
    const auto response = http_fetch_blocking(server.endpoint(), request, timeout);
    ASSERT_TRUE(response);
    EXPECT_EQ(response.assume_value().body(), request.body());
}

// Guards against unbounded memory use by one request.
TEST_F(http_server_test, rejects_a_body_over_the_limit)
{
    http_server_limits limits;
    limits.m_body_bytes = 1'000;
    const http_server server{m_context, local_endpoint(), limits, echo};
    http_request request{http::verb::post, "/", 11};
    request.body() = std::string(1'001, 'x');
    const auto response = http_fetch_blocking(server.endpoint(), request, timeout);
    ASSERT_TRUE(response);
    EXPECT_EQ(response.assume_value().result(), http::status::payload_too_large);
}

// Guards against a caller that occupies a connection with an incomplete request, and against handling that request.
TEST_F(http_server_test, rejects_an_incomplete_request)
{
    http_server_limits limits;
    limits.m_read_timeout = milliseconds{100};
    std::atomic<int> handled{0};
    const http_server server{m_context, local_endpoint(), limits, [&](http_exchange& exchange) {
                                 ++handled;
                                 return echo(exchange);
                             }};
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    socket.connect(server.endpoint());
    asio::write(socket, asio::buffer(std::string{"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf"}));
    beast::flat_buffer buffer;
    http_response response;
    http::read(socket, buffer, response);
    EXPECT_EQ(response.result(), http::status::bad_request);
    EXPECT_EQ(response["X-Outcome"], "not-run");
    EXPECT_EQ(handled, 0);
}

// Guards against losing a part of a request that arrives in several segments, or mixing it up with the next request.
TEST_F(http_server_test, reads_requests_in_segments_and_in_succession)
{
    const http_server server{m_context, local_endpoint(), {}, echo};
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    socket.connect(server.endpoint());
    socket.set_option(asio::ip::tcp::no_delay{true});
    const std::string segments[]{"POST / HTTP/1.1\r\nContent-Le", "ngth: 6\r\n\r\nfir", "st.",
                                 "POST / HTTP/1.1\r\nContent-Length: 6\r\n\r\nsecondPOST / HTTP/1.1\r\n"
                                 "Content-Length: 5\r\n\r\nthird"};
    for (const auto& segment : segments) {
        asio::write(socket, asio::buffer(segment));
        std::this_thread::sleep_for(milliseconds{30});
    }
    beast::flat_buffer buffer;
    for (const auto* body : {"first.", "second", "third"}) {
        http_response response;
        http::read(socket, buffer, response);
        EXPECT_EQ(response.result(), http::status::ok);
        EXPECT_EQ(response.body(), body);
    }
}

// Guards against a body of 100 kB that is read wrongly into the buffer that an earlier one has enlarged.
TEST_F(http_server_test, reads_large_requests_in_succession)
{
    const http_server server{m_context, local_endpoint(), {}, echo};
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    socket.connect(server.endpoint());
    beast::flat_buffer buffer;
    for (const std::size_t size : {100'000U, 10U, 99'999U, 0U, 70'000U}) {
        http_request request{http::verb::post, "/", 11};
        request.body() = std::string(size, static_cast<char>('a' + size % 26));
        request.prepare_payload();
        http::write(socket, request);
        http_response response;
        http::read(socket, buffer, response);
        EXPECT_EQ(response.body(), request.body());
    }
}

// Guards against a shutdown that aborts a request in flight.
TEST_F(http_server_test, drain_completes_requests_in_flight)
{
    http_server server{m_context, local_endpoint(), {}, echo_after_delay};
    http_request request{http::verb::post, "/", 11};
    request.body() = "in flight";
    auto pending_response =
        std::async(std::launch::async, [&] { return http_fetch_blocking(server.endpoint(), request, timeout); });
    while (server.requests_in_flight() == 0) {
        std::this_thread::yield();
    }
    server.drain();
    const auto response = pending_response.get();
    ASSERT_TRUE(response);
    EXPECT_EQ(response.assume_value().body(), "in flight");
}

// Guards against connections of a single-threaded server that wait for each other or run on another thread.
TEST_F(http_server_test, single_thread_handles_connections_concurrently)
{
    constexpr int connections{4};
    std::atomic<int> arrived{0};
    std::atomic<int> on_other_threads{0};
    const auto echo_together = [&](http_exchange& exchange) -> asio::awaitable<void> {
        on_other_threads += std::this_thread::get_id() == m_thread.get_id() ? 0 : 1;
        ++arrived;
        asio::steady_timer timer{co_await asio::this_coro::executor};
        while (arrived < connections) {
            timer.expires_after(milliseconds{5});
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await echo(exchange);
    };
    http_server server{m_context, local_endpoint(), {}, echo_together, server_threads::single};
    std::vector<std::future<std::string>> responses;
    responses.reserve(connections);
    for (int number = 0; number < connections; ++number) {
        responses.push_back(std::async(std::launch::async, [&server, number] {
            http_request request{http::verb::post, "/", 11};
            request.body() = std::to_string(number);
            const auto response = http_fetch_blocking(server.endpoint(), request, milliseconds{10'000});
            return response ? response.assume_value().body() : std::string{"no response"};
        }));
    }
    for (int number = 0; number < connections; ++number) {
        EXPECT_EQ(responses[static_cast<std::size_t>(number)].get(), std::to_string(number));
    }
    EXPECT_EQ(on_other_threads, 0);
    server.drain();
}

// Guards against reporting a refused connection as a request that may have been sent.
TEST_F(http_server_test, refused_connection_reports_not_sent)
{
    asio::ip::tcp::acceptor closed{m_context, local_endpoint()};
    const auto endpoint = closed.local_endpoint();
    closed.close();
    const auto failed = http_fetch_blocking(endpoint, http_request{http::verb::get, "/", 11}, timeout);
    ASSERT_FALSE(failed);
    EXPECT_EQ(failed.assume_error().m_progress, http_progress::not_sent);
}

} // namespace
