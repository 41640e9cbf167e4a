#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/relay_paths.hpp>
#include <cicadalug/entry/relay_sessions.hpp>
#include <cicadalug/http/http_connection.hpp>
#include <cicadalug/http/http_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cicadalug::test {

namespace {

constexpr milliseconds patience{10'000};
constexpr std::uint64_t term{5};

/** @brief Sessions of a decider behind a server, and a relay that sends single requests. */
class relay_sessions_test : public ::testing::Test {
protected:
    relay_sessions_test()
    {
        m_sessions->start();
        m_sessions->set_admission(relay_admission::open);
    }

    [[nodiscard]] auto respond(http_exchange& exchange) -> asio::awaitable<void>
    {
        const bool handled = co_await m_sessions->handle(exchange);
        EXPECT_TRUE(handled);
    }

    /** @brief Sends a request of a relay; its response is stored when it arrives. */
    auto send(const std::string_view path, std::string body, std::optional<http_response>& response,
              const std::uint64_t token = term) -> void
    {
        http_request request{http::verb::post, std::string{path} + "front-1", 11};
        request.set(std::string{internal::relay_zone_header}, "north");
        request.set(std::string{internal::relay_token_header}, std::to_string(token));
        request.body() = std::move(body);
        const auto run = [](relay_sessions_test& test, http_request message,
                            std::optional<http_response>& received) -> asio::awaitable<void> {
            auto fetched = co_await http_fetch(test.m_context.get_executor(), test.m_server.endpoint(),
                                               std::move(message), patience);
            EXPECT_TRUE(fetched);
            received = std::move(fetched).assume_value();
        };
        asio::co_spawn(m_context, run(*this, std::move(request), response), asio::detached);
    }

    /** @brief Hands a call to the relay; its result is stored when the call ends. */
    auto perform(const milliseconds timeout, std::optional<command_result>& result) -> void
    {
        const auto run = [](relay_sessions& sessions, const milliseconds limit,
                            std::optional<command_result>& ended) -> asio::awaitable<void> {
            worker_call call;
            call.m_kind = worker_call_kind::stop;
            call.m_timeout = limit;
            const auto response = co_await sessions.perform(std::move(call), availability_zone_id{"north"});
            ended = response.m_result;
        };
        asio::co_spawn(m_context, run(*m_sessions, timeout, result), asio::detached);
    }

    auto run_until(const std::function<bool()>& condition) -> void
    {
        const auto end = monotonic_now() + patience;
        while (!condition() && monotonic_now() < end) {
            m_context.run_one_for(milliseconds{10});
        }
        EXPECT_TRUE(condition());
    }

    asio::io_context m_context{1};
    std::shared_ptr<relay_sessions> m_sessions{
        std::make_shared<relay_sessions>(m_context.get_executor(), fencing_token{term})};
    http_server m_server{m_context, {asio::ip::address_v4::loopback(), 0}, {}, [this](http_exchange& exchange) {
                             return respond(exchange);
                         }};
};

} // namespace

// Guards against a call that does not reach the relay, and a result that does not reach the caller.
TEST_F(relay_sessions_test, a_call_is_fetched_and_its_result_returned)
{
    std::optional<http_response> poll;
    send(internal::relay_poll_path, {}, poll);
    run_until([this] { return m_sessions->is_available(); });
    std::optional<command_result> result;
    perform(milliseconds{5'000}, result);
    run_until([&] { return poll.has_value(); });
    const auto calls = decode_worker_calls(poll->body());
    ASSERT_TRUE(calls);
    ASSERT_EQ(calls.assume_value().size(), 1U);
    EXPECT_LE(calls.assume_value().front().m_timeout, milliseconds{5'000});
    const std::vector<worker_call_result> results{
        {calls.assume_value().front().m_number, command_result::accepted, {}}};
    std::optional<http_response> first;
    std::optional<http_response> repeated;
    send(internal::relay_results_path, encode(results), first);
    run_until([&] { return result.has_value() && first.has_value(); });
    EXPECT_EQ(*result, command_result::accepted);
    send(internal::relay_results_path, encode(results), repeated);
    run_until([&] { return repeated.has_value(); });
    EXPECT_EQ(repeated->result(), http::status::ok) << "a result that arrives twice is ignored";
}

// Guards against a start that counts as sent, and holds capacity, although its relay never fetched it.
TEST_F(relay_sessions_test, a_call_that_a_silent_relay_has_not_fetched_was_not_sent)
{
    std::optional<http_response> poll;
    send(internal::relay_poll_path, {}, poll);
    run_until([&] { return poll.has_value(); });
    ASSERT_TRUE(m_sessions->is_available()) << "the relay may poll again";
    std::optional<command_result> result;
    perform(milliseconds{5'000}, result);
    run_until([&] { return result.has_value(); });
    EXPECT_EQ(*result, command_result::withdrawn);
    EXPECT_FALSE(m_sessions->is_available());
}

// Guards against a start that counts as not sent, and is repeated elsewhere, although its relay may carry it out.
TEST_F(relay_sessions_test, a_call_without_a_result_may_have_been_carried_out)
{
    std::optional<http_response> poll;
    send(internal::relay_poll_path, {}, poll);
    run_until([this] { return m_sessions->is_available(); });
    std::optional<command_result> result;
    perform(milliseconds{5'000}, result);
    run_until([&] { return result.has_value(); });
    ASSERT_TRUE(poll && !poll->body().empty());
    EXPECT_EQ(*result, command_result::unknown);
}

// Guards against a result that is lost, or read after its end, when the caller before it in the same message ends the
// term.
TEST_F(relay_sessions_test, callers_get_their_results_although_one_of_them_ends_the_term)
{
    std::optional<http_response> poll;
    send(internal::relay_poll_path, {}, poll);
    run_until([this] { return m_sessions->is_available(); });
    std::vector<command_result> ended;
    const auto call = [](const std::shared_ptr<relay_sessions> sessions,
                         std::vector<command_result>& results) -> asio::awaitable<void> {
        worker_call stop;
        stop.m_kind = worker_call_kind::stop;
        stop.m_timeout = milliseconds{5'000};
        const auto response = co_await sessions->perform(std::move(stop), availability_zone_id{"north"});
        sessions->stop();
        results.push_back(response.m_result);
    };
    constexpr std::size_t calls{3};
    for (std::size_t number = 0; number < calls; ++number) {
        asio::co_spawn(m_context, call(m_sessions, ended), asio::detached);
    }
    run_until([&] { return poll.has_value(); });
    const auto fetched = decode_worker_calls(poll->body());
    ASSERT_TRUE(fetched);
    ASSERT_EQ(fetched.assume_value().size(), calls);
    // The third call has no result when the term ends.
    const std::vector<worker_call_result> results{{fetched.assume_value()[0].m_number, command_result::accepted, {}},
                                                  {fetched.assume_value()[1].m_number, command_result::fenced, {}}};
    std::optional<http_response> response;
    send(internal::relay_results_path, encode(results), response);
    run_until([&] { return ended.size() == calls && response.has_value(); });
    const std::vector expected{command_result::accepted, command_result::fenced, command_result::unknown};
    EXPECT_EQ(ended, expected);
}

// Guards against results of an earlier term, whose numbers belong to other calls.
TEST_F(relay_sessions_test, a_relay_of_another_term_is_refused)
{
    std::optional<http_response> poll;
    send(internal::relay_poll_path, {}, poll, term - 1);
    run_until([&] { return poll.has_value(); });
    EXPECT_EQ(poll->result(), http::status::service_unavailable);
    EXPECT_FALSE(m_sessions->is_available());
}

// Guards against polls that a small deployment has to answer all the time.
TEST_F(relay_sessions_test, an_offer_that_is_not_needed_is_refused_for_some_time)
{
    m_sessions->set_admission(relay_admission::not_needed);
    std::optional<http_response> poll;
    send(internal::relay_poll_path, {}, poll);
    run_until([&] { return poll.has_value(); });
    EXPECT_EQ(poll->result(), http::status::too_many_requests);
    EXPECT_FALSE((*poll)[http::field::retry_after].empty());
}

} // namespace cicadalug::test
