#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/http/http_connection.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace cicadalug;

/** @brief Receive buffer of the server, in bytes; much smaller than the request. */
constexpr int receive_buffer{4'096};

constexpr std::size_t request_size{262'144};

/** @brief Server that sends the body of each response in pieces with pauses, and stops before its end if it has
 * fewer pieces than its header states. */
class slow_server {
public:
    slow_server(const std::size_t pieces, const std::size_t stated, const milliseconds pause)
    {
        m_thread = std::thread{[this, pieces, stated, pause] {
            auto socket = m_acceptor.accept();
            boost::system::error_code error;
            std::string request;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
            const auto header = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(stated) + "\r\n\r\n";
            asio::write(socket, asio::buffer(header), error);
            for (std::size_t piece = 0; piece < pieces && !error; ++piece) {
                std::this_thread::sleep_for(pause);
                asio::write(socket, asio::buffer("x", 1), error);
            }
            char byte{};
            asio::read(socket, asio::buffer(&byte, 1), error);
        }};
    }

    slow_server(const slow_server&) = delete;
    slow_server(slow_server&&) = delete;
    auto operator=(const slow_server&) -> slow_server& = delete;
    auto operator=(slow_server&&) -> slow_server& = delete;

    ~slow_server() { m_thread.join(); }

    /** @brief Performs one exchange with the server. */
    [[nodiscard]] auto fetch(const milliseconds timeout, const response_pace pace)
        -> result<http_response, http_failure>
    {
        asio::io_context context{1};
        std::optional<result<http_response, http_failure>> response;
        const auto run = [&]() -> asio::awaitable<void> {
            auto connected =
                co_await http_connection::connect(context.get_executor(), m_acceptor.local_endpoint(), timeout);
            http_request request{http::verb::get, "/", 11};
            response = co_await connected.assume_value()->exchange(std::move(request), timeout, pace);
        };
        asio::co_spawn(context, run(), asio::detached);
        context.run();
        return std::move(response).value();
    }

private:
    asio::io_context m_context{1};
    asio::ip::tcp::acceptor m_acceptor{m_context, {asio::ip::address_v4::loopback(), 0}};
    std::thread m_thread;
};

constexpr std::size_t pieces{6};
constexpr milliseconds piece_pause{100};
constexpr response_pace pace{milliseconds{400}, milliseconds{400}};
constexpr milliseconds long_timeout{20'000};

} // namespace

// Guards against a request that the operating system delivers after the exchange has timed out.
TEST(http_connection, a_request_is_not_delivered_after_its_timeout)
{
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor{context};
    acceptor.open(asio::ip::tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size{receive_buffer});
    acceptor.bind({asio::ip::address_v4::loopback(), 0});
    acceptor.listen();
    http_request request{http::verb::post, "/", 11};
    request.body() = std::string(request_size, 'x');
    const auto response = http_fetch_blocking(acceptor.local_endpoint(), request, milliseconds{50});
    ASSERT_FALSE(response);
    EXPECT_EQ(response.assume_error().m_progress, http_progress::maybe_sent);
    auto server = acceptor.accept();
    std::string received(request_size, '\0');
    boost::system::error_code error;
    const auto size = asio::read(server, asio::buffer(received), error);
    EXPECT_LT(size, request_size);
    EXPECT_EQ(error, asio::error::connection_reset);
}

// Guards against a lack of descriptors of this process that is taken for an unhealthy server.
TEST(http_connection, a_lack_of_descriptors_is_told_from_a_failure_of_the_server)
{
    constexpr rlim_t few_descriptors{64};
    asio::io_context context{1};
    const asio::ip::tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    rlimit limit{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &limit), 0);
    const rlimit lowered{few_descriptors, limit.rlim_max};
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &lowered), 0);
    std::vector<asio::ip::tcp::socket> sockets;
    boost::system::error_code error;
    while (!error) {
        sockets.emplace_back(context);
        sockets.back().open(asio::ip::tcp::v4(), error);
    }
    std::optional<result<std::unique_ptr<http_connection>, http_failure>> connected;
    const auto connect = [&]() -> asio::awaitable<void> {
        connected =
            co_await http_connection::connect(context.get_executor(), acceptor.local_endpoint(), milliseconds{1'000});
    };
    asio::co_spawn(context, connect(), asio::detached);
    context.run();
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &limit), 0);
    ASSERT_TRUE(connected && !*connected);
    EXPECT_EQ(connected->assume_error().m_progress, http_progress::not_sent);
    EXPECT_TRUE(connected->assume_error().m_lacks_resources);
}

// Guards against a large response on a slow link that is given up although it makes progress.
TEST(http_connection, a_slow_response_that_makes_progress_is_read_completely)
{
    slow_server server{pieces, pieces, piece_pause};
    const auto response = server.fetch(long_timeout, pace);
    ASSERT_TRUE(response);
    EXPECT_EQ(response.assume_value().body(), std::string(pieces, 'x'));
}

// Guards against a response that stops in the middle and is waited for until the timeout of the whole exchange.
TEST(http_connection, a_response_without_progress_fails_after_the_limit_for_that)
{
    slow_server server{2, pieces, milliseconds{1}};
    const auto begin = monotonic_now();
    const auto response = server.fetch(long_timeout, pace);
    ASSERT_FALSE(response);
    EXPECT_TRUE(response.assume_error().m_timed_out);
    EXPECT_EQ(response.assume_error().m_received_bytes, 2U);
    EXPECT_LT(monotonic_now() - begin, long_timeout / 2);
}

// Guards against a response that trickles without an end.
TEST(http_connection, a_slow_response_fails_after_the_timeout_of_the_exchange)
{
    slow_server server{pieces * 100, pieces * 100, piece_pause};
    const auto response = server.fetch(pace.m_inactivity, pace);
    ASSERT_FALSE(response);
    EXPECT_TRUE(response.assume_error().m_timed_out);
}
