#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/http/http_pool.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Part of the time limit that a new connection may take; the rest is for the exchange. */
constexpr int connect_share{2};

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
        const bool fresh = connection == nullptr;
        if (fresh) {
            auto connected = co_await http_connection::connect(m_executor, m_endpoint, timeout / connect_share);
            if (!connected) {
                co_return std::move(connected).assume_error();
            }
            connection = std::move(connected).assume_value();
        }
        const auto generation = m_generation;
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - monotonic_now());
        auto answer = co_await connection->exchange(request, std::max(left, milliseconds{1}));
        if (!answer) {
            const auto& failed = answer.assume_error();
            if (failed.m_timed_out && generation == m_generation) {
                // A connection can go silent without a reset; others of the same age may have, too.
                drop_connections();
            }
            if (!fresh && failed.m_progress == http_progress::not_sent && !failed.m_timed_out) {
                continue;
            }
        }
        else if (generation == m_generation && m_idle.size() < m_most_idle) {
            m_idle.push_back(std::move(connection));
        }
        co_return answer;
    }
}

} // namespace cicadalug
