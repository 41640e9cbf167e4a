#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/worker_relay.hpp>
#include <cicadalug/http/http_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cicadalug::test {

namespace {

constexpr milliseconds call_timeout{1'000};

/** @brief A worker that counts and accepts calls, and a relay. */
class worker_relay_test : public ::testing::Test {
protected:
    [[nodiscard]] auto respond(http_exchange& exchange) -> asio::awaitable<void>
    {
        ++m_received;
        while (m_silent) {
            asio::steady_timer timer{m_context, milliseconds{1}};
            co_await timer.async_wait(asio::use_awaitable);
        }
        http_response response{http::status::ok, 11};
        response.body() = R"({"clock_ms":5})";
        response.prepare_payload();
        co_await exchange.respond(std::move(response));
    }

    [[nodiscard]] auto make_start() const -> worker_call
    {
        const auto endpoint = m_server.endpoint();
        worker_call call;
        call.m_number = call_number{7};
        call.m_kind = worker_call_kind::start;
        call.m_worker = worker_id{"a"};
        call.m_address = endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
        call.m_timeout = call_timeout;
        return call;
    }

    /** @brief Begins to carry out a start that is handed over now. */
    auto hand_over(std::optional<command_result>& result) -> void
    {
        const auto run = [](worker_relay_test& test, worker_call call, const time_point handed_over,
                            std::optional<command_result>& ended) -> asio::awaitable<void> {
            const auto is_open = [&test] {
                return test.m_link_open;
            };
            const auto response =
                co_await carry_out_relayed(test.m_calls, std::move(call), handed_over, is_open, test.m_metrics);
            ended = response.m_result;
        };
        asio::co_spawn(m_context, run(*this, make_start(), monotonic_now(), result), asio::detached);
    }

    auto run_until_ended(const std::optional<command_result>& result) -> void
    {
        while (!result) {
            m_context.run_one();
        }
    }

    asio::io_context m_context{1};
    http_server m_server{m_context, {asio::ip::address_v4::loopback(), 0}, {}, [this](http_exchange& exchange) {
                             return respond(exchange);
                         }};
    std::shared_ptr<scheduler_metrics> m_metrics{std::make_shared<scheduler_metrics>()};
    worker_calls m_calls{m_context.get_executor(), 100};
    int m_received{0};
    /** @brief The worker responds to no call until this is false. */
    bool m_silent{false};
    bool m_link_open{true};
};

} // namespace

// Guards against a start that a relay sends after its time, because it was suspended or busy after it had read it.
TEST_F(worker_relay_test, a_start_that_has_waited_in_the_relay_for_longer_than_its_time_is_not_sent)
{
    std::optional<command_result> result;
    hand_over(result);
    std::this_thread::sleep_for(call_timeout * 2);
    run_until_ended(result);
    EXPECT_EQ(*result, command_result::withdrawn);
    EXPECT_EQ(m_received, 0);
}

// Guards against starts of a term that has ended, which wait in the relay until a connection to their worker is free.
TEST_F(worker_relay_test, a_start_that_waits_for_a_connection_is_not_sent_after_the_term)
{
    constexpr std::size_t starts{worker_client::max_connections};
    m_silent = true;
    std::vector<std::optional<command_result>> results(starts);
    for (auto& result : results) {
        hand_over(result);
    }
    while (m_received + 1 < static_cast<int>(starts)) {
        m_context.run_one();
    }
    m_link_open = false;
    m_silent = false;
    for (const auto& result : results) {
        run_until_ended(result);
    }
    EXPECT_EQ(*results.back(), command_result::withdrawn);
    EXPECT_EQ(m_received + 1, static_cast<int>(starts));
}

} // namespace cicadalug::test
