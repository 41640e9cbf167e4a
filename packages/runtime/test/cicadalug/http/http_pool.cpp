#include <cicadalug/http/http_pool.hpp>
#include <cicadalug/http/http_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <future>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cicadalug;

constexpr milliseconds timeout{2'000};

/** @brief Runs a server that records the peers that have connected to it. */
class http_pool_test : public ::testing::Test {
protected:
    ~http_pool_test() override
    {
        m_context.stop();
        m_thread.join();
    }

    [[nodiscard]] auto respond(http_exchange& exchange) -> asio::awaitable<void>
    {
        {
            std::ostringstream peer;
            peer << exchange.peer();
            const std::lock_guard lock{m_mutex};
            m_peers.insert(peer.str());
        }
        http_response response{http::status::ok, 11};
        response.prepare_payload();
        co_await exchange.respond(std::move(response));
    }

    [[nodiscard]] static auto succeeds(http_pool& pool) -> asio::awaitable<bool>
    {
        http_request request{http::verb::get, "/", 11};
        const auto response = co_await pool.exchange(std::move(request), timeout);
        co_return response.has_value();
    }

    [[nodiscard]] auto exchange(http_pool& pool) -> bool
    {
        return asio::co_spawn(m_context, succeeds(pool), asio::use_future).get();
    }

    [[nodiscard]] auto connections() -> std::size_t
    {
        const std::lock_guard lock{m_mutex};
        return m_peers.size();
    }

    std::mutex m_mutex;
    std::set<std::string> m_peers;
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    http_server m_server{m_context, {asio::ip::address_v4::loopback(), 0}, {}, [this](http_exchange& exchange) {
                             return respond(exchange);
                         }};
    std::thread m_thread{[this] {
        m_context.run();
    }};
};

} // namespace

// Guards against opening a new connection for each exchange, for which the server charges.
TEST_F(http_pool_test, idle_connection_is_reused)
{
    http_pool pool{m_context.get_executor(), m_server.endpoint()};
    EXPECT_TRUE(exchange(pool));
    EXPECT_TRUE(exchange(pool));
    EXPECT_EQ(connections(), 1U);
}

// Guards against an unbounded number of idle connections.
TEST_F(http_pool_test, no_more_idle_connections_are_kept_than_allowed)
{
    http_pool pool{m_context.get_executor(), m_server.endpoint(), 0};
    EXPECT_TRUE(exchange(pool));
    EXPECT_TRUE(exchange(pool));
    EXPECT_EQ(connections(), 2U);
}

// Guards against an exchange that fails because an idle connection was closed in the meantime.
TEST_F(http_pool_test, dropped_connections_are_not_used)
{
    http_pool pool{m_context.get_executor(), m_server.endpoint()};
    EXPECT_TRUE(exchange(pool));
    pool.drop_connections();
    EXPECT_TRUE(exchange(pool));
    EXPECT_EQ(connections(), 2U);
}

// Guards against a connection for each of many requests at the same time, which would use up the descriptors.
TEST_F(http_pool_test, no_more_exchanges_run_at_once_than_allowed)
{
    constexpr std::size_t exchanges{5};
    http_pool pool{m_context.get_executor(), m_server.endpoint(), 1, 1};
    std::vector<std::future<bool>> answered;
    for (std::size_t number = 0; number < exchanges; ++number) {
        answered.push_back(asio::co_spawn(m_context, succeeds(pool), asio::use_future));
    }
    for (auto& response : answered) {
        EXPECT_TRUE(response.get());
    }
    EXPECT_EQ(connections(), 1U);
}

// Guards against an exchange that waits longer for its turn than its timeout, or is taken for one that was sent.
TEST(http_pool, an_exchange_whose_turn_does_not_come_in_time_is_not_sent)
{
    constexpr milliseconds timeout{50};
    asio::io_context context{1};
    asio::ip::tcp::acceptor silent_server{context, {asio::ip::address_v4::loopback(), 0}};
    http_pool pool{context.get_executor(), silent_server.local_endpoint(), 1, 1};
    std::vector<http_progress> progress;
    const auto exchange = [&](const milliseconds limit) -> asio::awaitable<void> {
        http_request request{http::verb::get, "/", 11};
        const auto response = co_await pool.exchange(std::move(request), limit);
        progress.push_back(response ? http_progress::maybe_sent : response.assume_error().m_progress);
    };
    asio::co_spawn(context, exchange(timeout * 4), asio::detached);
    asio::co_spawn(context, exchange(timeout), asio::detached);
    context.run();
    EXPECT_EQ(progress, (std::vector{http_progress::not_sent, http_progress::maybe_sent}));
}

// Guards against a request that is sent after its deadline because the event loop was delayed while it connected.
TEST(http_pool, a_request_is_not_sent_after_its_deadline)
{
    constexpr milliseconds short_timeout{20};
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    http_pool pool{context.get_executor(), acceptor.local_endpoint()};
    std::optional<http_progress> progress;
    const auto exchange = [&]() -> asio::awaitable<void> {
        http_request request{http::verb::get, "/", 11};
        const auto response = co_await pool.exchange(std::move(request), short_timeout);
        progress = response ? http_progress::maybe_sent : response.assume_error().m_progress;
    };
    asio::co_spawn(context, exchange(), asio::detached);
    while (context.run_one() > 0) {
        std::this_thread::sleep_for(short_timeout * 2);
    }
    EXPECT_EQ(progress, http_progress::not_sent);
    auto server = acceptor.accept();
    char byte{};
    boost::system::error_code error;
    EXPECT_EQ(server.read_some(asio::buffer(&byte, 1), error), 0U);
}
