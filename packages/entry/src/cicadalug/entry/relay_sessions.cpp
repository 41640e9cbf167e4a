#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/async/spawn.hpp>
#include <cicadalug/entry/relay_paths.hpp>
#include <cicadalug/entry/relay_sessions.hpp>
#include <cicadalug/entry/signal_event.hpp>
#include <cicadalug/telemetry/log_line.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <string>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Calls within this time share the answer of a poll. */
constexpr milliseconds flush_delay{12};

/** @brief A result may arrive this long after the time of its call: results are sent in batches, too. */
constexpr milliseconds result_slack{150};

/** @brief Interval at which calls without a result are ended. */
constexpr milliseconds expiry_interval{50};

/** @brief Value of the Retry-After header of a refused offer, in seconds. */
constexpr const char* refused_offer_retry_s{"3"};

[[nodiscard]] auto header_of(const http_request& request, const std::string_view name) -> std::string
{
    return std::string{to_view(request[to_beast(name)])};
}

[[nodiscard]] auto make_answer(const http::status status, std::string body = {}) -> http_response
{
    http_response response{status, 11};
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

/** @brief Answers an offer that is not needed. */
[[nodiscard]] auto refuse(http_exchange& exchange) -> asio::awaitable<void>
{
    auto response = make_answer(http::status::too_many_requests);
    response.set(http::field::retry_after, refused_offer_retry_s);
    co_await exchange.respond(std::move(response));
}

} // namespace

relay_sessions::relay_sessions(asio::any_io_executor executor, const fencing_token token)
    : m_executor{std::move(executor)}, m_token{token}
{
}

auto relay_sessions::start() -> void
{
    spawn(m_executor, expire_calls(shared_from_this()), "expire_calls");
}

auto relay_sessions::stop() -> void
{
    m_active = false;
    for (auto& relay : m_sessions) {
        relay.m_queue.clear();
        if (relay.m_poll != nullptr) {
            relay.m_poll->cancel();
        }
    }
    for (auto& [number, pending] : std::exchange(m_pending, {})) {
        resume_later(std::move(pending.m_handler), {call_number{number}, command_result::unknown, {}});
    }
}

auto relay_sessions::is_available() const -> bool
{
    const auto now = monotonic_now();
    return m_active && m_admission == relay_admission::open &&
           std::any_of(m_relays.begin(), m_relays.end(),
                       [now](const relay_state& relay) { return is_live(relay, now); });
}

auto relay_sessions::live_relays() const -> std::size_t
{
    const auto now = monotonic_now();
    return static_cast<std::size_t>(std::count_if(m_relays.begin(), m_relays.end(),
                                                  [now](const relay_state& relay) { return is_live(relay, now); }));
}

auto relay_sessions::enqueue(worker_call call, const availability_zone_id& zone, call_handler handler) -> void
{
    const auto now = monotonic_now();
    const auto relay = choose_relay(m_relays, zone, now);
    call.m_number = call_number{++m_last_number};
    if (!relay || !m_active) {
        resume_later(std::move(handler), {call.m_number, command_result::withdrawn, {}});
        return;
    }
    const auto deadline = now + call.m_timeout;
    ++m_relays[*relay].m_in_flight;
    m_pending.emplace(m_last_number, pending_call{std::move(handler), *relay, deadline + result_slack});
    m_sessions[*relay].m_queue.push_back({std::move(call), deadline});
    schedule_flush();
}

auto relay_sessions::perform(worker_call call, availability_zone_id zone) -> asio::awaitable<worker_call_result>
{
    const auto initiate = [self = shared_from_this()](call_handler handler, worker_call initiated,
                                                      const availability_zone_id& worker_zone) {
        self->enqueue(std::move(initiated), worker_zone, std::move(handler));
    };
    // Not a coroutine: its frame would be one more allocation for each call.
    return asio::async_initiate<const asio::use_awaitable_t<>, void(worker_call_result)>(
        initiate, asio::use_awaitable, std::move(call), std::move(zone));
}

auto relay_sessions::resume_later(call_handler handler, worker_call_result result) -> void
{
    m_ended.push_back({std::move(handler), std::move(result)});
    if (m_ended.size() == 1) {
        // Posted, because a resumed caller continues with decisions that may end the term and with it the sessions.
        asio::post(m_executor, [self = shared_from_this()] { self->resume_callers(); });
    }
}

auto relay_sessions::resume_callers() -> void
{
    for (auto& ended : std::exchange(m_ended, {})) {
        ended.m_handler(std::move(ended.m_result));
    }
}

auto relay_sessions::complete(const call_number number, worker_call_result result) -> void
{
    const auto found = m_pending.find(number.value());
    if (found == m_pending.end()) {
        return;
    }
    auto pending = std::move(found->second);
    m_pending.erase(found);
    --m_relays[pending.m_relay].m_in_flight;
    resume_later(std::move(pending.m_handler), std::move(result));
}

auto relay_sessions::schedule_flush() -> void
{
    if (!m_flush_scheduled) {
        m_flush_scheduled = true;
        spawn(m_executor, flush_later(shared_from_this()), "flush_later");
    }
}

auto relay_sessions::flush_later(const std::shared_ptr<relay_sessions> self) -> asio::awaitable<void>
{
    co_await sleep_for(m_executor, flush_delay);
    self->m_flush_scheduled = false;
    for (auto& relay : m_sessions) {
        if (!relay.m_queue.empty() && relay.m_poll != nullptr) {
            relay.m_poll->cancel();
        }
    }
}

auto relay_sessions::expire_calls(const std::shared_ptr<relay_sessions> self) -> asio::awaitable<void>
{
    while (self->m_active) {
        co_await sleep_for(m_executor, expiry_interval);
        const auto now = monotonic_now();
        end_queues_of_silent_relays(now);
        std::vector<call_number> expired;
        for (const auto& [number, pending] : m_pending) {
            if (pending.m_deadline < now || !is_live(m_relays[pending.m_relay], now)) {
                expired.push_back(call_number{number});
            }
        }
        for (const auto number : expired) {
            complete(number, {number, command_result::unknown, {}});
        }
    }
}

auto relay_sessions::end_queues_of_silent_relays(const time_point now) -> void
{
    for (std::size_t relay = 0; relay < m_relays.size(); ++relay) {
        if (m_sessions[relay].m_queue.empty() || is_live(m_relays[relay], now)) {
            continue;
        }
        LOG(WARNING) << log_line{"relay_silent"}
                            .with("relay", m_relays[relay].m_entry_vm)
                            .with("in_flight", m_relays[relay].m_in_flight)
                            .with("queued", m_sessions[relay].m_queue.size());
        for (const auto& queued : std::exchange(m_sessions[relay].m_queue, {})) {
            complete(queued.m_call.m_number, {queued.m_call.m_number, command_result::withdrawn, {}});
        }
    }
}

auto relay_sessions::find_relay(const entry_vm_id& relay) const -> std::size_t
{
    const auto found = std::find_if(m_relays.begin(), m_relays.end(),
                                    [&relay](const relay_state& known) { return known.m_entry_vm == relay; });
    return static_cast<std::size_t>(found - m_relays.begin());
}

auto relay_sessions::take_batch(const std::size_t relay) -> std::vector<worker_call>
{
    const auto now = monotonic_now();
    auto queue = std::exchange(m_sessions[relay].m_queue, {});
    std::vector<worker_call> batch;
    batch.reserve(queue.size());
    for (auto& queued : queue) {
        const auto left = std::chrono::duration_cast<milliseconds>(queued.m_deadline - now);
        if (left <= milliseconds{0}) {
            // The call has not left this process.
            complete(queued.m_call.m_number, {queued.m_call.m_number, command_result::withdrawn, {}});
            continue;
        }
        queued.m_call.m_timeout = left;
        batch.push_back(std::move(queued.m_call));
    }
    return batch;
}

auto relay_sessions::handle_poll(http_exchange& exchange, const entry_vm_id& relay) -> asio::awaitable<void>
{
    const auto began = monotonic_now();
    const availability_zone_id zone{header_of(exchange.request(), internal::relay_zone_header)};
    if (!admits_relay(m_relays, relay, zone, began)) {
        co_await refuse(exchange);
        co_return;
    }
    const auto index = find_relay(relay);
    if (index == m_relays.size()) {
        relay_state added;
        added.m_entry_vm = relay;
        added.m_zone = zone;
        m_relays.push_back(std::move(added));
        m_sessions.emplace_back();
        LOG(INFO) << log_line{"relay_added"}.with("relay", relay).with("zone", zone).with("token", m_token);
    }
    const auto number = ++m_sessions[index].m_poll_number;
    if (m_sessions[index].m_poll != nullptr) {
        m_sessions[index].m_poll->cancel();
    }
    m_relays[index].m_last_contact = began;
    apply_results(exchange.request().body());
    if (m_sessions[index].m_queue.empty() && m_active) {
        m_relays[index].m_polling = true;
        auto timer = std::make_unique<asio::steady_timer>(m_executor, internal::relay_poll_wait);
        auto& waiting = *timer;
        m_sessions[index].m_poll = std::move(timer);
        boost::system::error_code ignored;
        co_await waiting.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    const auto now = monotonic_now();
    std::vector<worker_call> batch;
    if (m_sessions[index].m_poll_number == number) {
        m_sessions[index].m_poll.reset();
        m_relays[index].m_polling = false;
        m_relays[index].m_last_contact = now;
        batch = take_batch(index);
    }
    auto response = make_answer(m_active ? http::status::ok : http::status::service_unavailable,
                                batch.empty() ? std::string{} : encode(batch));
    response.set(to_beast(internal::relay_held_header), std::to_string((now - began).count()));
    co_await exchange.respond(std::move(response));
}

auto relay_sessions::apply_results(const std::string_view body) -> void
{
    if (body.empty()) {
        return;
    }
    auto results = decode_worker_call_results(body);
    if (!results) {
        LOG(ERROR) << log_line{"relay_results_unreadable"}.with("findings", results.assume_error().to_string());
        return;
    }
    for (auto& result : std::move(results).assume_value()) {
        const auto number = result.m_number;
        complete(number, std::move(result));
    }
}

auto relay_sessions::handle(http_exchange& exchange) -> asio::awaitable<bool>
{
    const auto self = shared_from_this();
    const auto target = to_view(exchange.request().target());
    const bool is_poll = target.starts_with(internal::relay_poll_path);
    if (!is_poll && !target.starts_with(internal::relay_results_path)) {
        co_return false;
    }
    // Numbers of calls are unique within a term only.
    const bool same_term =
        header_of(exchange.request(), internal::relay_token_header) == std::to_string(m_token.value());
    if (!m_active || m_admission == relay_admission::not_ready || !same_term) {
        co_await exchange.respond(make_answer(http::status::service_unavailable));
        co_return true;
    }
    if (is_poll && m_admission == relay_admission::not_needed) {
        co_await refuse(exchange);
        co_return true;
    }
    if (is_poll) {
        co_await handle_poll(exchange, entry_vm_id{std::string{target.substr(internal::relay_poll_path.size())}});
        co_return true;
    }
    apply_results(exchange.request().body());
    co_await exchange.respond(make_answer(http::status::ok));
    co_return true;
}

} // namespace cicadalug
