#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/worker_calls.hpp>
#include <cicadalug/http/http_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

namespace cicadalug::test {

namespace {

/** @brief A worker that accepts each call, and the caller. */
class worker_calls_test : public ::testing::Test {
protected:
    [[nodiscard]] static auto respond(http_exchange& exchange) -> asio::awaitable<void>
    {
        http_response response{http::status::ok, 11};
        response.body() = R"({"clock_ms":5})";
        response.prepare_payload();
        co_await exchange.respond(std::move(response));
    }

    [[nodiscard]] auto perform(worker_calls& calls, const std::string& worker) -> worker_call_result
    {
        const auto endpoint = m_server.endpoint();
        worker_call call;
        call.m_number = call_number{7};
        call.m_kind = worker_call_kind::stop;
        call.m_worker = worker_id{worker};
        call.m_address = endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
        call.m_timeout = milliseconds{5'000};
        return perform(calls, std::move(call));
    }

    [[nodiscard]] auto perform(worker_calls& calls, worker_call call) -> worker_call_result
    {
        std::optional<worker_call_result> result;
        const auto run = [&]() -> asio::awaitable<void> {
            send_condition condition{monotonic_now() + call.m_timeout, nullptr};
            result = co_await calls.perform(std::move(call), std::move(condition));
        };
        asio::co_spawn(m_context, run(), asio::detached);
        while (!result) {
            m_context.run_one();
        }
        return *result;
    }

    asio::io_context m_context{1};
    http_server m_server{m_context, {asio::ip::address_v4::loopback(), 0}, {}, respond};
};

} // namespace

// Guards against connections to so many workers that no descriptor is left, and every further call fails.
TEST_F(worker_calls_test, connections_of_the_least_recently_called_worker_are_closed)
{
    worker_calls calls{m_context.get_executor(), 2 * worker_client::max_connections};
    for (const auto* worker : {"a", "b", "c", "a"}) {
        EXPECT_EQ(perform(calls, worker).m_result, command_result::accepted);
        EXPECT_LE(calls.worker_count(), 2U);
    }
}

// Guards against an unreadable address of a worker that ends the relay, or that is taken for a missing response.
TEST_F(worker_calls_test, a_call_without_an_address_is_invalid)
{
    worker_calls calls{m_context.get_executor(), 100};
    worker_call call;
    call.m_number = call_number{7};
    call.m_worker = worker_id{"a"};
    call.m_timeout = milliseconds{1'000};
    const auto result = perform(calls, std::move(call));
    EXPECT_EQ(result.m_result, command_result::invalid);
    EXPECT_EQ(result.m_number, call_number{7});
}

} // namespace cicadalug::test
