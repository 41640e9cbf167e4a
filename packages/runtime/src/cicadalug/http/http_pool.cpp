#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/http/http_pool.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Divisor of the timeout that gives the share for opening a connection; the rest is for the exchange. */
constexpr int connect_timeout_divisor{2};

} // namespace

auto http_pool::take_idle() -> std::unique_ptr<http_connection>
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->reusable()) {
            return connection;
        }
    }
    return nullptr;
}

auto http_pool::drop_connections() -> void
{
    m_idle.clear();
    ++m_generation;
}

auto http_pool::wait_for_turn(const time_point deadline) -> asio::awaitable<bool>
{
    if (m_exchanges < m_max_exchanges) {
        ++m_exchanges;
        co_return true;
    }
    const auto waiting = std::make_shared<waiter>(m_executor);
    m_waiters.push_back(waiting);
    boost::system::error_code ignored;
    waiting->m_timer.expires_after(std::max(microseconds{0}, deadline - monotonic_now()));
    co_await waiting->m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!waiting->m_has_turn) {
        std::erase(m_waiters, waiting);
    }
    co_return waiting->m_has_turn;
}

auto http_pool::end_turn() -> void
{
    if (m_waiters.empty()) {
        --m_exchanges;
        return;
    }
    const auto next = std::move(m_waiters.front());
    m_waiters.pop_front();
    next->m_has_turn = true;
    next->m_timer.cancel();
}

auto http_pool::exchange(http_request request, const milliseconds timeout, const std::optional<response_pace> pace)
    -> asio::awaitable<result<http_response, http_failure>>
{
    send_condition condition{monotonic_now() + timeout, nullptr, pace};
    co_return co_await exchange(std::move(request), std::move(condition));
}

auto http_pool::exchange(http_request request, const send_condition condition)
    -> asio::awaitable<result<http_response, http_failure>>
{
    const bool has_turn = co_await wait_for_turn(condition.m_deadline);
    if (!has_turn) {
        co_return http_failure{http_progress::not_sent, true, "no connection became free in time"};
    }
    auto response = co_await exchange_now(std::move(request), condition);
    end_turn();
    co_return response;
}

auto http_pool::exchange_now(http_request request, const send_condition& condition)
    -> asio::awaitable<result<http_response, http_failure>>
{
    for (int attempt = 0;; ++attempt) {
        auto connection = attempt == 0 ? take_idle() : nullptr;
        const bool is_new = connection == nullptr;
        if (is_new) {
            auto left = std::chrono::duration_cast<milliseconds>(condition.m_deadline - monotonic_now());
            if (condition.m_pace) {
                left = std::min(left, condition.m_pace->m_first_byte);
            }
            auto connected = co_await http_connection::connect(
                m_executor, m_endpoint, std::max(left, milliseconds{1}) / connect_timeout_divisor);
            if (!connected) {
                co_return std::move(connected).assume_error();
            }
            connection = std::move(connected).assume_value();
        }
        const auto generation = m_generation;
        const auto now = monotonic_now();
        if (now >= condition.m_deadline) {
            co_return http_failure{http_progress::not_sent, true, "the deadline passed before the request was sent"};
        }
        if (condition.m_may_send && !condition.m_may_send()) {
            if (generation == m_generation && m_idle.size() < m_max_idle) {
                m_idle.push_back(std::move(connection));
            }
            co_return http_failure{http_progress::not_sent, false, "the request was withdrawn", false, true};
        }
        const auto remaining = std::chrono::duration_cast<milliseconds>(condition.m_deadline - now);
        auto response = co_await connection->exchange(request, std::max(remaining, milliseconds{1}), condition.m_pace);
        if (!response) {
            const auto& failure = response.assume_error();
            if (failure.m_timed_out && generation == m_generation) {
                // A connection can fail without a reset; connections of the same generation may have failed as well.
                drop_connections();
            }
            if (!is_new && failure.m_progress == http_progress::not_sent && !failure.m_timed_out) {
                continue;
            }
        }
        else if (generation == m_generation && m_idle.size() < m_max_idle) {
            m_idle.push_back(std::move(connection));
        }
        co_return response;
    }
}

} // namespace cicadalug
