#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/entry/worker_calls.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Workers are called at least every second; one without calls for this long has gone or has another caller. */
constexpr milliseconds idle_limit{10'000};

} // namespace

worker_calls::worker_calls(asio::any_io_executor executor, const std::size_t max_connections)
    : m_executor{std::move(executor)}, m_max_workers{
                                           std::max<std::size_t>(1, max_connections / worker_client::max_connections)}
{
}

auto worker_calls::drop_least_recent() -> void
{
    // A client with a call under way is kept alive by that call.
    const auto oldest = std::min_element(m_workers.begin(), m_workers.end(), [](const auto& left, const auto& right) {
        return left.second.m_last_call < right.second.m_last_call;
    });
    LOG_EVERY_N(WARNING, 100) << log_line{"worker_connections_limited"}.with("workers", m_workers.size());
    m_workers.erase(oldest);
}

auto worker_calls::client_of(const worker_call& call) -> std::shared_ptr<worker_client>
{
    if (m_workers.size() >= m_max_workers && !m_workers.contains(call.m_worker)) {
        drop_least_recent();
    }
    auto& known = m_workers[call.m_worker];
    known.m_last_call = monotonic_now();
    if (known.m_client == nullptr || known.m_address != call.m_address) {
        findings found;
        const auto endpoint = parse_endpoint(call.m_address, call.m_worker.str(), found);
        if (!found.empty()) {
            LOG(ERROR) << log_line{"worker_address_unreadable"}.with("findings", found.to_string());
            m_workers.erase(call.m_worker);
            return nullptr;
        }
        known.m_client = std::make_shared<worker_client>(m_executor, call.m_worker, endpoint);
        known.m_address = call.m_address;
    }
    return known.m_client;
}

auto worker_calls::perform(worker_call call, send_condition condition) -> asio::awaitable<worker_call_result>
{
    worker_call_result result;
    result.m_number = call.m_number;
    const auto client = client_of(call);
    if (client == nullptr) {
        result.m_result = command_result::invalid;
        co_return result;
    }
    switch (call.m_kind) {
    case worker_call_kind::renew: {
        lease_renewal renewal{call.m_token, call.m_acknowledged_end, std::nullopt, call.m_wait};
        if (call.m_lease_until_ms >= 0) {
            renewal.m_until_ms = call.m_lease_until_ms;
        }
        auto response = co_await client->renew(renewal, std::move(condition));
        result.m_result = response.m_result;
        result.m_report = std::move(response.m_report);
        break;
    }
    case worker_call_kind::start: {
        run_start start{call.m_task,   call.m_run,  std::move(call.m_text), call.m_lease_until_ms, call.m_checkpoint,
                        call.m_permit, call.m_token};
        const auto response = co_await client->start(std::move(start), std::move(condition));
        result.m_result = response.m_result;
        result.m_report.m_clock_ms = response.m_clock_ms.value_or(0);
        break;
    }
    case worker_call_kind::stop:
        result.m_result = co_await client->stop(call.m_task, call.m_run, call.m_token, std::move(condition));
        break;
    case worker_call_kind::set_speed:
        result.m_result = co_await client->set_speed(call.m_task, call.m_run, call.m_speed_percent, call.m_token,
                                                     std::move(condition));
        break;
    }
    co_return result;
}

auto worker_calls::drop_idle_workers() -> void
{
    const auto now = monotonic_now();
    std::erase_if(m_workers, [now](const auto& known) { return now - known.second.m_last_call > idle_limit; });
}

} // namespace cicadalug
