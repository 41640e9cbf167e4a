#include <cicadalug/http/http_connection.hpp>
#include <cicadalug/telemetry/otlp_exporter.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <mutex>
#include <utility>
#include <vector>

namespace cicadalug {

class otlp_exporter::state {
public:
    state(asio::io_context& context, otlp_settings settings)
        : m_settings{std::move(settings)}, m_timer{asio::make_strand(context)}
    {
    }

    auto add(span item) -> void
    {
        const std::lock_guard lock{m_mutex};
        if (m_queue.size() >= m_settings.m_queue_limit) {
            ++m_dropped;
            return;
        }
        m_queue.push_back(std::move(item));
    }

    [[nodiscard]] auto take_batch() -> std::vector<span>
    {
        const std::lock_guard lock{m_mutex};
        const auto size = std::min(m_queue.size(), m_settings.m_batch_limit);
        const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(size);
        std::vector<span> batch{std::make_move_iterator(m_queue.begin()), std::make_move_iterator(end)};
        m_queue.erase(m_queue.begin(), end);
        return batch;
    }

    [[nodiscard]] auto send(const std::vector<span>& batch) -> asio::awaitable<void>
    {
        http_request request{http::verb::post, "/v1/traces", 11};
        request.set(http::field::content_type, "application/json");
        // Attribute values may contain bytes from a caller that are not valid UTF-8.
        request.body() =
            otlp_request(batch, m_settings.m_entry_vm).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        const auto response = co_await http_fetch(m_timer.get_executor(), m_settings.m_collector, std::move(request),
                                                  m_settings.m_timeout);
        const auto accepted = response && response.assume_value().result_int() / 100 == 2;
        (accepted ? m_exported : m_dropped) += batch.size();
    }

    const otlp_settings m_settings;
    asio::steady_timer m_timer;
    std::atomic<bool> m_stopped{false};
    std::atomic<std::uint64_t> m_exported{0};
    std::atomic<std::uint64_t> m_dropped{0};

private:
    /** @brief Guards m_queue only; no other lock is acquired while it is held. */
    std::mutex m_mutex;
    std::vector<span> m_queue;
};

namespace {

[[nodiscard]] auto export_all(std::shared_ptr<otlp_exporter::state> state) -> asio::awaitable<void>
{
    while (!state->m_stopped) {
        boost::system::error_code ignored;
        state->m_timer.expires_after(state->m_settings.m_interval);
        co_await state->m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        auto batch = state->take_batch();
        while (!batch.empty() && !state->m_stopped) {
            co_await state->send(batch);
            batch = state->take_batch();
        }
    }
}

} // namespace

otlp_exporter::otlp_exporter(asio::io_context& context, otlp_settings settings)
    : m_state{std::make_shared<state>(context, std::move(settings))}
{
    asio::co_spawn(m_state->m_timer.get_executor(), export_all(m_state), asio::detached);
}

otlp_exporter::~otlp_exporter()
{
    m_state->m_stopped = true;
    asio::dispatch(m_state->m_timer.get_executor(), [state = m_state] { state->m_timer.cancel(); });
}

auto otlp_exporter::add(span item) -> void
{
    m_state->add(std::move(item));
}

auto otlp_exporter::exported() const noexcept -> std::uint64_t
{
    return m_state->m_exported;
}

auto otlp_exporter::dropped() const noexcept -> std::uint64_t
{
    return m_state->m_dropped;
}

} // namespace cicadalug
