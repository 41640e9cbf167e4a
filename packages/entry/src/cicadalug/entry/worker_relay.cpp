#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/async/spawn.hpp>
#include <cicadalug/entry/relay_paths.hpp>
#include <cicadalug/entry/worker_relay.hpp>
#include <cicadalug/scheduler/relays.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <string>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Interval at which a relay without a link looks for a decider. */
constexpr milliseconds search_interval{100};

/** @brief Limits of the delay after a poll that failed, and after one to a decider that is still loading: all relays
 * poll it, and its processor is needed for the load. */
constexpr milliseconds failure_pause{60};
constexpr milliseconds longest_failure_pause{300};

/** @brief Delay after a refused offer, with a spread so that the offers of a zone do not arrive together. */
constexpr milliseconds refused_pause{3'000};
constexpr std::size_t refused_spread_ms{1'000};

/** @brief A poll counts as lost this long after the decider should have answered it. */
constexpr milliseconds poll_slack{350};

/** @brief Results within this time share a message, unless a poll takes them along earlier. */
constexpr milliseconds results_delay{12};

/** @brief Timeout of a message with results, and number of attempts. */
constexpr milliseconds results_timeout{300};
constexpr int results_attempts{2};

/** @brief Maximum number of results in a message. */
constexpr std::size_t results_limit{256};

[[nodiscard]] auto held_time(const http_response& response) -> microseconds
{
    const auto text = response[to_beast(internal::relay_held_header)];
    std::int64_t value{0};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return microseconds{std::max<std::int64_t>(0, value)};
}

[[nodiscard]] auto take_results(std::vector<worker_call_result>& results) -> std::vector<worker_call_result>
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(results.size(), results_limit));
    std::vector<worker_call_result> taken{std::make_move_iterator(results.begin()),
                                          std::make_move_iterator(results.begin() + count)};
    results.erase(results.begin(), results.begin() + count);
    return taken;
}

} // namespace

auto carry_out_relayed(worker_calls& calls, worker_call call, const time_point handed_over,
                       std::function<bool()> is_link_open, std::shared_ptr<scheduler_metrics> metrics)
    -> asio::awaitable<worker_call_result>
{
    send_condition condition{handed_over + call.m_timeout, nullptr};
    if (monotonic_now() >= condition.m_deadline) {
        co_return worker_call_result{call.m_number, command_result::withdrawn, {}};
    }
    const bool is_start = call.m_kind == worker_call_kind::start;
    metrics->call_relayed();
    if (is_start) {
        condition.m_may_send = [metrics, is_link_open = std::move(is_link_open), handed_over] {
            const bool allowed = is_link_open();
            if (allowed) {
                metrics->start_written(monotonic_now() - handed_over);
            }
            return allowed;
        };
    }
    auto result = co_await calls.perform(std::move(call), std::move(condition));
    if (is_start) {
        metrics->start_answered(monotonic_now() - handed_over);
    }
    co_return result;
}

worker_relay::worker_relay(asio::any_io_executor executor, worker_relay_settings settings,
                           const decider_election& election, worker_calls& calls)
    : m_executor{std::move(executor)}, m_settings{std::move(settings)}, m_election{election}, m_calls{calls},
      m_poll_backoff{m_settings.m_self.str(), failure_pause, longest_failure_pause}
{
}

auto worker_relay::start() -> void
{
    spawn(m_executor, run(), "worker_relay");
}

auto worker_relay::is_wanted() const -> bool
{
    const auto& holder = m_election.holder();
    return holder && !m_election.is_decider() && may_be_relay(m_settings.m_cores, holder->m_cores);
}

auto worker_relay::make_request(const link& current, const std::string_view path) const -> http_request
{
    const auto target = std::string{path} + m_settings.m_self.str();
    http_request request{http::verb::post, target, 11};
    request.set(http::field::host, "decider");
    request.set(to_beast(internal::relay_zone_header), m_settings.m_zone.str());
    request.set(to_beast(internal::relay_token_header), std::to_string(current.m_term.value()));
    return request;
}

auto worker_relay::run() -> asio::awaitable<void>
{
    std::shared_ptr<link> current;
    while (!m_stopping) {
        m_calls.drop_idle_workers();
        const auto holder = m_election.holder();
        if (current != nullptr && (!is_wanted() || holder->m_revision != current->m_term)) {
            current->m_closed = true;
            current->m_results_event.notify();
            current.reset();
        }
        if (!is_wanted()) {
            co_await sleep_for(m_executor, search_interval);
            continue;
        }
        if (current == nullptr) {
            current = std::make_shared<link>(m_executor, holder->m_peers, holder->m_revision);
            spawn(m_executor, return_results(current), "return_results");
        }
        co_await poll(current);
    }
    if (current != nullptr) {
        current->m_closed = true;
        current->m_results_event.notify();
    }
}

auto worker_relay::poll(const std::shared_ptr<link> current) -> asio::awaitable<void>
{
    auto request = make_request(*current, internal::relay_poll_path);
    const auto results = take_results(current->m_results);
    if (!results.empty()) {
        request.body() = encode(results);
    }
    const auto sent = monotonic_now();
    const auto response =
        co_await current->m_polls.exchange(std::move(request), internal::relay_poll_wait + poll_slack);
    const auto round_trip = monotonic_now() - sent;
    const auto status = response ? response.assume_value().result() : http::status::unknown;
    if (status != http::status::ok && !results.empty()) {
        // Results that arrive twice are ignored.
        std::copy(results.begin(), results.end(), std::back_inserter(current->m_results));
        current->m_results_event.notify();
    }
    // A decider of an earlier version knows no relays and answers 404.
    if (status == http::status::too_many_requests || status == http::status::not_found) {
        const milliseconds spread{std::hash<std::string>{}(m_settings.m_self.str()) % refused_spread_ms};
        const auto until = monotonic_now() + refused_pause + spread;
        // A new decider needs relays at once.
        while (monotonic_now() < until && m_election.holder() && m_election.holder()->m_revision == current->m_term) {
            co_await sleep_for(m_executor, search_interval);
        }
        co_return;
    }
    if (status != http::status::ok) {
        co_await sleep_for(m_executor, m_poll_backoff.next_pause());
        co_return;
    }
    m_poll_backoff.reset();
    const auto& body = response.assume_value().body();
    if (body.empty()) {
        co_return;
    }
    auto calls = decode_worker_calls(body);
    if (!calls) {
        LOG(ERROR) << log_line{"relay_calls_unreadable"}.with("findings", calls.assume_error().to_string());
        co_return;
    }
    const auto held = held_time(response.assume_value());
    const auto handed_over = earliest_handover(sent, round_trip, held);
    for (auto& call : std::move(calls).assume_value()) {
        // The decider ends a call without a result as unknown.
        spawn(m_executor, carry_out(current, std::move(call), handed_over), "carry_out", [] {});
    }
}

auto worker_relay::carry_out(const std::shared_ptr<link> current, worker_call call, const time_point handed_over)
    -> asio::awaitable<void>
{
    const auto is_open = [this, current] {
        const auto& holder = m_election.holder();
        return !current->m_closed && holder && holder->m_revision == current->m_term;
    };
    auto result = co_await carry_out_relayed(m_calls, std::move(call), handed_over, is_open, m_settings.m_metrics);
    current->m_results.push_back(std::move(result));
    current->m_results_event.notify();
}

auto worker_relay::return_results(const std::shared_ptr<link> current) -> asio::awaitable<void>
{
    while (!current->m_closed || !current->m_results.empty()) {
        co_await current->m_results_event.wait(search_interval);
        if (current->m_results.empty()) {
            continue;
        }
        co_await sleep_for(m_executor, results_delay);
        const auto results = take_results(current->m_results);
        if (results.empty()) {
            continue;
        }
        bool returned{false};
        for (int attempt = 0; !returned && attempt < results_attempts; ++attempt) {
            auto request = make_request(*current, internal::relay_results_path);
            request.body() = encode(results);
            const auto response = co_await current->m_answers.exchange(std::move(request), results_timeout);
            returned = response && response.assume_value().result() == http::status::ok;
        }
        if (!returned) {
            // The decider ends these calls as unknown.
            LOG(WARNING) << log_line{"relay_results_not_returned"}.with("results", results.size());
        }
    }
}

} // namespace cicadalug
