#include <cicadalug/http/http_connection.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace cicadalug;

/** @brief Receive buffer of the server, in bytes; much smaller than the request. */
constexpr int receive_buffer{4'096};

constexpr std::size_t request_size{262'144};

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
