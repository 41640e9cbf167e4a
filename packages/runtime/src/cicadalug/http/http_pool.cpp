#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/http/http_pool.hpp>

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

auto http_pool::exchange(http_request request, const milliseconds timeout)
    -> asio::awaitable<result<http_response, http_failure>>
{
    const auto deadline = monotonic_now() + timeout;
    for (int attempt = 0;; ++attempt) {
        auto connection = attempt == 0 ? take_idle() : nullptr;
        const bool is_new = connection == nullptr;
        if (is_new) {
            auto connected =
                co_await http_connection::connect(m_executor, m_endpoint, timeout / connect_timeout_divisor);
            if (!connected) {
                co_return std::move(connected).assume_error();
            }
            connection = std::move(connected).assume_value();
        }
        const auto generation = m_generation;
        const auto now = monotonic_now();
        if (now >= deadline) {
            co_return http_failure{http_progress::not_sent, true, "the deadline passed before the request was sent"};
        }
        const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - now);
        auto response = co_await connection->exchange(request, std::max(remaining, milliseconds{1}));
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
