#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/request/request_path_state.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Interval at which an attempt checks whether the view is current again after a pause. */
constexpr milliseconds stale_poll_interval{10};

[[nodiscard]] auto time_left(const time_point until, const time_point now) -> milliseconds
{
    return std::max(std::chrono::ceil<milliseconds>(until - now), milliseconds{0});
}

/** @brief Returns the outcome of a probe. An upstream that rejects work for lack of a slot counts as healthy. */
[[nodiscard]] auto probe_outcome(const attempt_outcome outcome) -> attempt_outcome
{
    return outcome == attempt_outcome::no_slot ? attempt_outcome::answered : outcome;
}

[[nodiscard]] auto to_request_outcome(const final_outcome& decided) -> request_outcome
{
    request_outcome outcome;
    outcome.m_kind = decided.m_kind;
    outcome.m_reason = decided.m_reason;
    outcome.m_retry_after = decided.m_retry_after;
    return outcome;
}

} // namespace

auto request_path::state::apply_effects(const routing_effects& effects, completed_attempt* completed) -> void
{
    for (const auto& decided : effects.m_outcomes) {
        auto outcome = to_request_outcome(decided);
        if (completed != nullptr && completed->m_request == decided.m_request) {
            if (decided.m_kind == outcome_kind::answered) {
                outcome.m_response = std::move(completed->m_result.m_response);
            }
            else {
                outcome.m_detail = completed->m_result.m_detail;
            }
        }
        if (outcome.m_kind == outcome_kind::answered && !outcome.m_response) {
            LOG(ERROR) << "event=answer_missing request=" << decided.m_request;
            outcome.m_kind = outcome_kind::unknown;
        }
        m_requests.finish(decided.m_request, std::move(outcome));
    }
    // Starts are posted, because a sequence of attempts that fail immediately would otherwise recurse.
    for (const auto& attempt : effects.m_starts) {
        ++m_attempts;
        asio::post(m_context, [self = shared_from_this(), attempt] { self->start(attempt); });
    }
    for (const auto& probe : effects.m_probes) {
        asio::post(m_context, [self = shared_from_this(), probe] { self->start(probe); });
    }
    for (const auto& message : effects.m_messages) {
        if (m_send) {
            m_send(message.m_to, message.m_message);
        }
    }
}

auto request_path::state::complete_attempt(const attempt_id attempt, const attempt_outcome outcome,
                                           completed_attempt* completed) -> void
{
    std::unique_lock lock{m_routing_mutex};
    const auto effects = complete(m_routing, attempt, outcome, monotonic_now());
    lock.unlock();
    apply_effects(effects, completed);
}

auto request_path::state::start(const start_attempt& start) -> void
{
    auto pending = m_requests.begin_attempt(start.m_request, start.m_vm);
    if (!pending) {
        // The caller disconnected, or received an outcome, after the routing decision. Nothing was sent, so the slot
        // is free at once; with the outcome `cancelled` it would be held until the run-time bound.
        complete_attempt(start.m_attempt, attempt_outcome::no_slot, nullptr);
        --m_attempts;
        return;
    }
    auto leased = m_upstreams.acquire(start.m_vm);
    if (!leased) {
        end_attempt(start, *pending, {attempt_outcome::no_slot, std::nullopt, "no free connection"});
        return;
    }
    const auto executor = leased->executor();
    asio::co_spawn(executor, run_attempt(start, std::move(pending), std::move(*leased)), asio::detached);
}

auto request_path::state::run_attempt(const start_attempt start, std::shared_ptr<pending_request> pending,
                                      upstream_pool::lease leased) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    co_await wait_until_current(start.m_timeout_at);
    // An attempt may outlive its request, but must not begin after the caller received the outcome.
    const auto is_pending = m_requests.contains(start.m_request);
    const auto remaining = is_pending ? time_left(start.m_timeout_at, monotonic_now()) : milliseconds{0};
    auto request = pending->m_upstream_request;
    auto attempt_span = begin_span("attempt", pending->m_trace);
    request.set("traceparent", to_traceparent(attempt_span.m_context));
    auto response = co_await m_upstreams.exchange(std::move(leased), std::move(request), remaining);
    auto attempted = to_attempt_result(std::move(response));
    if (remaining == milliseconds{0}) {
        // Nothing was sent, so no failure is recorded for the upstream.
        attempted.m_outcome = attempt_outcome::no_slot;
    }
    report_attempt(start, *pending, attempted.m_outcome, std::move(attempt_span));
    end_attempt(start, *pending, std::move(attempted));
}

auto request_path::state::report_attempt(const start_attempt& start, const pending_request& pending,
                                         const attempt_outcome outcome, span attempt_span) const -> void
{
    const std::string name{to_string(outcome)};
    const auto current = view();
    const auto record = current->m_vms.find(start.m_vm);
    const auto pool = record == current->m_vms.end() ? pool_id{} : record->second.m_pool;
    attempt_span.m_attributes = {{"request", std::string{pending.m_upstream_request["X-Request-Id"]}},
                                 {"vm", start.m_vm.str()},
                                 {"pool", pool.str()},
                                 {"outcome", name}};
    attempt_span.m_failed = outcome != attempt_outcome::answered;
    end_span(m_telemetry, std::move(attempt_span));
    if (m_telemetry.m_metrics) {
        m_telemetry.m_metrics->attempt_finished(pool, name);
    }
}

auto request_path::state::end_attempt(const start_attempt& start, pending_request& pending, attempt_result result)
    -> void
{
    const auto outcome = result.m_outcome;
    if (!is_not_run(outcome) && !result.m_response) {
        LOG(INFO) << "event=attempt_without_answer request=" << start.m_request << " vm=" << start.m_vm << " reason=\""
                  << result.m_detail << '"';
    }
    m_requests.end_attempt(pending, outcome);
    completed_attempt completed{start.m_request, std::move(result)};
    complete_attempt(start.m_attempt, outcome, &completed);
    --m_attempts;
}

auto request_path::state::start(const start_probe& start) -> void
{
    // A probe has to open a new connection: an open one may be unresponsive while new ones work.
    m_upstreams.retire_connections(start.m_vm);
    auto leased = m_upstreams.acquire(start.m_vm);
    if (!leased) {
        complete_attempt(start.m_attempt, attempt_outcome::connect_failed, nullptr);
        return;
    }
    const auto executor = leased->executor();
    asio::co_spawn(executor, run_probe(start, std::move(*leased)), asio::detached);
}

auto request_path::state::run_probe(const start_probe start, upstream_pool::lease leased) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    http_request request{http::verb::get, "/healthz", 11};
    request.set(http::field::host, "upstream");
    const auto remaining = time_left(start.m_timeout_at, monotonic_now());
    auto response = co_await m_upstreams.exchange(std::move(leased), std::move(request), remaining);
    const auto probed = to_attempt_result(std::move(response));
    complete_attempt(start.m_attempt, probe_outcome(probed.m_outcome), nullptr);
}

auto request_path::state::wait_until_current(const time_point give_up_at) -> asio::awaitable<void>
{
    while (m_pauses.is_stale(monotonic_now()) && monotonic_now() < give_up_at) {
        asio::steady_timer timer{co_await asio::this_coro::executor, stale_poll_interval};
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace cicadalug
