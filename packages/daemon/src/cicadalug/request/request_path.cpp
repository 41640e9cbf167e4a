#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/request/request_path.hpp>
#include <cicadalug/request/request_path_state.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace cicadalug {

namespace {

constexpr std::string_view service_prefix{"/v1/services/"};
constexpr std::string_view tickets_target{"/v1/tickets"};
constexpr std::string_view forwarded_prefix{"/internal/orders/"};

/** @brief Interval at which time-dependent routing decisions are made. */
constexpr milliseconds tick_interval{10};

/** @brief Ticks between two checks for expired idle connections. */
constexpr int ticks_per_cleanup{50};

/** @brief Time after its deadline at which a request ends even without a routing decision. */
constexpr milliseconds outcome_margin{500};

constexpr milliseconds drain_poll_interval{10};

[[nodiscard]] auto target_of(const http_request& request) -> std::string_view
{
    const auto target = request.target();
    return {target.data(), target.size()};
}

[[nodiscard]] auto path_of(const std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

[[nodiscard]] auto make_journal(const routing_settings& settings, const journal_limits& limits) -> journal_state
{
    journal_state journal;
    journal.m_availability_zone = settings.m_availability_zone;
    journal.m_self = settings.m_self;
    journal.m_incarnation = settings.m_incarnation;
    journal.m_limits = limits;
    return journal;
}

[[nodiscard]] auto not_configured_outcome() -> request_outcome
{
    request_outcome outcome;
    outcome.m_kind = outcome_kind::not_run;
    outcome.m_reason = outcome_reason::no_upstream;
    outcome.m_detail = "no configuration is in force yet";
    return outcome;
}

} // namespace

request_path::state::state(asio::io_context& context, const request_path_limits& limits, routing_state routing,
                           std::shared_ptr<claim_store> claims, request_telemetry telemetry)
    : m_context{context}, m_limits{limits}, m_id_prefix{routing.m_settings.m_self.str() + '-' +
                                                        std::to_string(routing.m_settings.m_incarnation.value()) + '-'},
      m_telemetry{std::move(telemetry)}, m_routing{std::move(routing)}, m_upstreams{context, limits.m_upstreams},
      m_pauses{limits.m_pause, monotonic_now()}, m_orders{
                                                     make_journal(m_routing.m_settings, limits.m_orders),
                                                     std::move(claims),
                                                     [this](http_exchange& exchange, const presented_order& order) {
                                                         return run(exchange, order, true);
                                                     }}
{
}

auto request_path::state::view() const -> std::shared_ptr<const fleet_view>
{
    const std::lock_guard lock{m_view_mutex};
    return m_view;
}

auto request_path::state::run_timer() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    asio::steady_timer timer{co_await asio::this_coro::executor};
    for (int ticks = 0; !m_stopped; ++ticks) {
        if (m_pauses.is_stale(monotonic_now()) && ticks % ticks_per_cleanup == 0) {
            LOG(WARNING) << "event=stale_view reason=\"the process was paused\"";
        }
        route([](routing_state& routing, const time_point at) { return tick(routing, at); });
        if (ticks % ticks_per_cleanup == 0) {
            m_upstreams.close_expired();
            report_slots();
        }
        timer.expires_after(tick_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

auto request_path::state::report_slots() const -> void
{
    if (!m_telemetry.m_metrics) {
        return;
    }
    std::unique_lock lock{m_routing_mutex};
    const auto usages = pool_usages(m_routing);
    lock.unlock();
    for (const auto& usage : usages) {
        const auto free = std::max(usage.m_slots - usage.m_in_use, 0);
        m_telemetry.m_metrics->set_slots(usage.m_pool, "free", static_cast<std::size_t>(free));
        m_telemetry.m_metrics->set_slots(usage.m_pool, "in_use", static_cast<std::size_t>(usage.m_in_use));
    }
}

auto request_path::state::make_order(const http_exchange& exchange, caller_request request, const fleet_view& current)
    -> presented_order
{
    presented_order order;
    const auto found = current.m_services.find(request.m_service);
    const auto default_deadline =
        found == current.m_services.end() ? service{}.m_default_deadline : found->second.m_default_deadline;
    order.m_deadline = std::chrono::steady_clock::now() + request.m_deadline.value_or(default_deadline);
    order.m_id = request.m_id.empty() ? request_id{m_id_prefix + std::to_string(++m_last_request)} : request.m_id;
    const auto traceparent = exchange.request()["traceparent"];
    order.m_span = begin_span("request", parse_traceparent({traceparent.data(), traceparent.size()}));
    order.m_begin = std::chrono::steady_clock::now();
    order.m_request = std::move(request);
    return order;
}

auto request_path::state::handle_request(http_exchange& exchange) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    findings found;
    auto request = parse_caller_request(exchange.request(), found);
    const auto current = view();
    const auto order = make_order(exchange, std::move(request), current ? *current : fleet_view{});
    if (!order.m_request.m_ticket.empty()) {
        if (const auto parsed = parse_ticket(order.m_request.m_ticket); !parsed) {
            found.append(parsed.assume_error());
        }
    }
    request_outcome outcome;
    if (!found.empty()) {
        outcome.m_kind = outcome_kind::not_run;
        outcome.m_response = not_run_response(http::status::bad_request, found);
    }
    else if (!current) {
        outcome = not_configured_outcome();
    }
    else if (!current->m_services.contains(order.m_request.m_service)) {
        outcome.m_kind = outcome_kind::not_run;
        outcome.m_response = not_run_response(
            http::status::not_found, findings{"target", "there is no service " + order.m_request.m_service.str()});
    }
    else {
        outcome = co_await outcome_of(exchange, order);
    }
    co_await respond(exchange, order, std::move(outcome));
}

auto request_path::state::handle_forwarded_order(http_exchange& exchange) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    findings found;
    http_request rewritten{exchange.request()};
    rewritten.target(std::string{service_prefix} +
                     std::string{path_of(target_of(rewritten)).substr(forwarded_prefix.size())} + "/requests");
    const auto request = parse_caller_request(rewritten, found);
    const auto current = view();
    auto order = make_order(exchange, request, current ? *current : fleet_view{});
    order.m_forwarded = true;
    request_outcome outcome;
    if (!found.empty() || (request.m_ticket.empty() && request.m_idempotency_key.empty())) {
        found.add("target", "is for orders with a ticket or a key that another entry VM forwards");
        outcome.m_kind = outcome_kind::not_run;
        outcome.m_response = not_run_response(http::status::bad_request, found);
    }
    else {
        outcome = co_await m_orders.present(exchange, order);
    }
    co_await respond(exchange, order, std::move(outcome));
}

auto request_path::state::outcome_of(http_exchange& exchange, const presented_order& order)
    -> asio::awaitable<request_outcome>
{
    const auto& request = order.m_request;
    if (!request.m_ticket.empty() || !request.m_idempotency_key.empty()) {
        co_return co_await m_orders.present(exchange, order);
    }
    co_return co_await run(exchange, order, false);
}

auto request_path::state::run(http_exchange& exchange, const presented_order& order, const bool keep_started)
    -> asio::awaitable<request_outcome>
{
    const auto& request = order.m_request;
    // Callers may reuse an id, so the tables use a unique internal one.
    const request_id id{m_id_prefix + 'r' + std::to_string(++m_last_request)};
    const time_point deadline{std::chrono::duration_cast<microseconds>(order.m_deadline.time_since_epoch())};
    const routing_request routing{id,      request.m_service, request.m_team, request.m_urgent, request.m_idempotent,
                                  deadline};
    const auto executor = co_await asio::this_coro::executor;
    const auto pending = std::make_shared<pending_request>(
        executor, routing, make_upstream_request(order.m_id, request.m_service, exchange.request()),
        order.m_span.m_context);
    m_requests.add(pending);
    exchange.on_peer_closed([self = shared_from_this(), id, keep_started] { self->abandon(id, keep_started); });
    route([&](routing_state& current, const time_point at) { return submit(current, pending->m_routing, at); });
    pending->m_outcome_signal.expires_at(order.m_deadline + outcome_margin);
    while (!pending->m_outcome) {
        boost::system::error_code ignored;
        co_await pending->m_outcome_signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!pending->m_outcome) {
            // The routing made no decision in time. The outcome set here, or one that is already posted, ends the loop.
            request_outcome overdue;
            overdue.m_kind = outcome_kind::not_run;
            overdue.m_reason = outcome_reason::deadline;
            if (m_requests.finish(id, std::move(overdue))) {
                LOG(ERROR) << "event=request_overdue request=" << order.m_id;
                route([&](routing_state& current, const time_point at) { return cancel(current, id, at); });
            }
            pending->m_outcome_signal.expires_at(std::chrono::steady_clock::time_point::max());
        }
    }
    if (pending->m_outcome->m_kind == outcome_kind::unknown && !pending->m_outcome->m_caller_disconnected) {
        // The attempt continues, but its connection may have become unresponsive together with the idle ones.
        m_upstreams.retire_connections(m_requests.running_vm(*pending));
    }
    co_return std::move(*pending->m_outcome);
}

auto request_path::state::abandon(const request_id& id, const bool keep_started) -> void
{
    if (m_requests.abandon(id, keep_started)) {
        route([&](routing_state& routing, const time_point at) { return cancel(routing, id, at); });
    }
}

auto request_path::state::count(const request_outcome& outcome) -> void
{
    if (outcome.m_caller_disconnected) {
        ++m_caller_disconnected;
        return;
    }
    switch (outcome.m_kind) {
    case outcome_kind::answered:
        ++m_answered;
        break;
    case outcome_kind::not_run:
        ++m_not_run;
        break;
    case outcome_kind::unknown:
        ++m_unknown;
        break;
    }
}

auto request_path::state::report(const presented_order& order, const request_outcome& outcome) const -> void
{
    auto ended = order.m_span;
    ended.m_attributes = {{"request", order.m_id.str()},
                          {"service", order.m_request.m_service.str()},
                          {"outcome", std::string{to_string(outcome.m_kind)}}};
    ended.m_failed = outcome.m_kind != outcome_kind::answered;
    end_span(m_telemetry, std::move(ended));
    const auto current = view();
    // The name of an unknown service comes from the caller, so it must not become a metric label.
    if (m_telemetry.m_metrics && current && current->m_services.contains(order.m_request.m_service)) {
        const auto elapsed = std::chrono::steady_clock::now() - order.m_begin;
        m_telemetry.m_metrics->request_finished(order.m_request.m_service, to_string(outcome.m_kind),
                                                std::chrono::duration_cast<microseconds>(elapsed));
    }
}

auto request_path::state::respond(http_exchange& exchange, const presented_order& order, request_outcome outcome)
    -> asio::awaitable<void>
{
    count(outcome);
    report(order, outcome);
    if (outcome.m_kind == outcome_kind::unknown || outcome.m_caller_disconnected) {
        LOG(INFO) << "event=request_ended request=" << order.m_id << " service=" << order.m_request.m_service
                  << " outcome=" << to_string(outcome.m_kind) << " caller_gone=" << outcome.m_caller_disconnected
                  << " reason=\"" << outcome.m_detail << '"';
    }
    auto response = to_response(std::move(outcome));
    response.set("X-Request-Id", order.m_id.str());
    response.set("traceparent", to_traceparent(order.m_span.m_context));
    co_await exchange.respond(std::move(response));
}

request_path::request_path(asio::io_context& context, const request_path_limits& limits, routing_state routing,
                           std::shared_ptr<claim_store> claims, request_telemetry telemetry)
    : m_state{std::make_shared<state>(context, limits, std::move(routing), std::move(claims), std::move(telemetry))}
{
    asio::co_spawn(asio::make_strand(context), m_state->run_timer(), asio::detached);
}

request_path::~request_path()
{
    m_state->m_stopped = true;
}

auto request_path::handle(http_exchange& exchange) -> asio::awaitable<void>
{
    const auto path = path_of(target_of(exchange.request()));
    if (path == tickets_target) {
        return m_state->m_orders.issue_tickets(exchange);
    }
    return m_state->handle_request(exchange);
}

auto request_path::handle_forwarded(http_exchange& exchange) -> asio::awaitable<void>
{
    return m_state->handle_forwarded_order(exchange);
}

auto request_path::is_forwarded(const std::string_view target) -> bool
{
    return target.starts_with(forwarded_prefix);
}

auto request_path::is_configured() const -> bool
{
    return m_state->view() != nullptr;
}

auto request_path::apply_view(std::shared_ptr<const fleet_view> view) -> void
{
    m_state->m_upstreams.apply_view(*view);
    {
        const std::lock_guard lock{m_state->m_view_mutex};
        m_state->m_view = view;
    }
    m_state->route(
        [&](routing_state& routing, const time_point at) { return cicadalug::apply_view(routing, *view, at); });
}

auto request_path::apply_peers(const std::vector<peer_entry_vm>& peers) -> void
{
    m_state->m_orders.apply_peers(peers);
    m_state->route([&](routing_state& routing, const time_point at) {
        std::vector<routing_peer> live;
        for (const auto& peer : peers) {
            if (peer.m_live && peer.m_availability_zone == routing.m_settings.m_availability_zone) {
                live.push_back({peer.m_id, peer.m_incarnation});
            }
        }
        return cicadalug::apply_peers(routing, live, at);
    });
}

auto request_path::receive(const slot_message& message) -> void
{
    m_state->route(
        [&](routing_state& routing, const time_point at) { return cicadalug::receive(routing, message, at); });
}

auto request_path::on_slot_message(message_sender sender) -> void
{
    m_state->m_send = std::move(sender);
}

auto request_path::record_contact() -> void
{
    m_state->m_pauses.record_contact(monotonic_now());
}

auto request_path::in_flight(const vm_id& vm) const -> int
{
    const std::lock_guard lock{m_state->m_routing_mutex};
    return cicadalug::in_flight(m_state->m_routing, vm);
}

auto request_path::ejected() const -> std::vector<vm_id>
{
    const std::lock_guard lock{m_state->m_routing_mutex};
    return ejected_vms(m_state->m_routing);
}

auto request_path::usages() const -> std::vector<pool_usage>
{
    const std::lock_guard lock{m_state->m_routing_mutex};
    return pool_usages(m_state->m_routing);
}

auto request_path::counts() const -> request_counts
{
    return {m_state->m_answered, m_state->m_not_run, m_state->m_unknown, m_state->m_caller_disconnected};
}

auto request_path::pauses() const -> int
{
    return m_state->m_pauses.pauses();
}

auto request_path::drain() -> asio::awaitable<void>
{
    const auto current = m_state;
    const auto return_borrowed_slots = [](routing_state& routing, const time_point at) {
        return return_slots(routing, at);
    };
    current->route(return_borrowed_slots);
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while (current->m_requests.size() > 0 || current->m_attempts > 0) {
        timer.expires_after(drain_poll_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    current->route(return_borrowed_slots);
}

} // namespace cicadalug
