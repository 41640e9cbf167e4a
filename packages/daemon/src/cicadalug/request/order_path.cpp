#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/request/order_path.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Time after the deadline in which the owner of a forwarded order can still respond with outcome unknown. */
constexpr milliseconds forward_timeout_margin{200};

constexpr milliseconds max_claim_timeout{2'000};

using steady = std::chrono::steady_clock;

[[nodiscard]] auto digest_of_content(const service_id& target, const std::string& body) -> content_digest
{
    const auto text = target.str() + '\n' + body;
    return content_digest{XXH3_64bits(text.data(), text.size())};
}

[[nodiscard]] auto make_outcome(const outcome_kind kind, std::string detail) -> request_outcome
{
    request_outcome outcome;
    outcome.m_kind = kind;
    outcome.m_detail = std::move(detail);
    return outcome;
}

[[nodiscard]] auto rejected_outcome(const std::string& place, const std::string& reason) -> request_outcome
{
    auto outcome = make_outcome(outcome_kind::not_run, reason);
    outcome.m_response = not_run_response(http::status::bad_request, findings{place, reason});
    return outcome;
}

[[nodiscard]] auto to_outcome(const stored_response& stored) -> request_outcome
{
    request_outcome outcome;
    outcome.m_kind = outcome_kind::answered;
    outcome.m_response.emplace(http::int_to_status(stored.m_status), 11U);
    if (!stored.m_content_type.empty()) {
        outcome.m_response->set(http::field::content_type, stored.m_content_type);
    }
    outcome.m_response->body() = stored.m_body;
    return outcome;
}

[[nodiscard]] auto to_stored_response(const http_response& response) -> stored_response
{
    return {response.result_int(), std::string{response[http::field::content_type]}, response.body()};
}

/** @brief Reads the outcome reported by another entry VM; without a report the outcome is unknown. */
[[nodiscard]] auto to_outcome(result<http_response, http_failure> exchange_result) -> request_outcome
{
    if (!exchange_result) {
        return make_outcome(outcome_kind::unknown, "the entry VM that may run the order cannot be reached");
    }
    auto response = std::move(exchange_result).assume_value();
    const auto reported = response["X-Outcome"];
    auto outcome = make_outcome(reported == "answered"  ? outcome_kind::answered
                                : reported == "not-run" ? outcome_kind::not_run
                                                        : outcome_kind::unknown,
                                {});
    if (!reported.empty()) {
        outcome.m_response = std::move(response);
    }
    return outcome;
}

/** @brief Parses the number of tickets that a request asks for. */
[[nodiscard]] auto requested_ticket_count(const http_request& request, findings& found) -> int
{
    if (request.method() != http::verb::post) {
        found.add("method", "is not POST");
    }
    if (request.body().empty()) {
        return 1;
    }
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    const auto valid = body.is_object() && body.contains("count") && body["count"].is_number_integer();
    const auto count = valid ? body["count"].get<std::int64_t>() : 0;
    if (count < 1 || count > 100) {
        found.add("body", R"(is not {"count": 1 to 100})");
        return 0;
    }
    return static_cast<int>(count);
}

} // namespace

/** @brief Caller waiting for the outcome of an order that runs on behalf of another connection. */
struct order_path::waiter {
    waiter(const asio::any_io_executor& executor, const waiter_id id) : m_id{id}, m_outcome_signal{executor} {}

    const waiter_id m_id;
    /** @brief Cancelled when the outcome is set. The timer and the outcome are accessed on its executor only. */
    asio::steady_timer m_outcome_signal;
    std::optional<request_outcome> m_outcome;
};

order_path::order_path(journal_state journal, std::shared_ptr<claim_store> claims, runner run)
    : m_self{journal.m_self}, m_incarnation{journal.m_incarnation}, m_claims{std::move(claims)}, m_run{std::move(run)},
      m_journal{std::move(journal)}
{
}

auto order_path::apply_peers(const std::vector<peer_entry_vm>& peers) -> void
{
    const std::lock_guard lock{m_peers_mutex};
    m_peers.clear();
    for (const auto& peer : peers) {
        m_peers.insert_or_assign(peer.m_id, peer);
    }
}

auto order_path::find_peer(const entry_vm_id& id) const -> std::optional<peer_entry_vm>
{
    const std::lock_guard lock{m_peers_mutex};
    const auto found = m_peers.find(id);
    return found == m_peers.end() ? std::nullopt : std::optional{found->second};
}

auto order_path::issue_tickets(http_exchange& exchange) -> asio::awaitable<void>
{
    findings found;
    const auto count = requested_ticket_count(exchange.request(), found);
    if (!found.empty()) {
        co_await exchange.respond(findings_response(http::status::bad_request, found));
        co_return;
    }
    auto list = nlohmann::json::array();
    {
        const std::lock_guard lock{m_journal_mutex};
        const auto issued = issue(m_journal, count, monotonic_now());
        if (issued) {
            for (const auto& ticket : issued.assume_value()) {
                list.push_back(to_string(ticket));
            }
        }
        else {
            found = issued.assume_error();
        }
    }
    if (!found.empty()) {
        auto response = findings_response(http::status::service_unavailable, found);
        response.set(http::field::retry_after, "1");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const nlohmann::json body{{"tickets", list}};
    co_await exchange.respond(json_response(http::status::ok, body));
}

auto order_path::present(http_exchange& exchange, const presented_order& order) -> asio::awaitable<request_outcome>
{
    if (!order.m_request.m_ticket.empty()) {
        co_return co_await present_with_ticket(exchange, order);
    }
    co_return co_await present_with_key(exchange, order);
}

auto order_path::present_with_ticket(http_exchange& exchange, const presented_order& order)
    -> asio::awaitable<request_outcome>
{
    const auto parsed = parse_ticket(order.m_request.m_ticket);
    if (!parsed) {
        co_return rejected_outcome("X-Ticket", parsed.assume_error().to_string());
    }
    const auto& presented = parsed.assume_value();
    if (presented.m_issuer != m_self) {
        co_return co_await forward(exchange, order, presented.m_issuer, presented.m_incarnation);
    }
    const auto content = digest_of_content(order.m_request.m_service, exchange.request().body());
    const auto executor = co_await asio::this_coro::executor;
    const auto waiting = add_waiter(executor);
    order_decision decision;
    {
        const std::lock_guard lock{m_journal_mutex};
        decision = present_ticket(m_journal, presented, content, waiting->m_id, monotonic_now());
    }
    co_return co_await apply_decision(exchange, order, order_key_of(presented), std::move(decision), waiting);
}

auto order_path::present_with_key(http_exchange& exchange, const presented_order& order)
    -> asio::awaitable<request_outcome>
{
    const auto& request = order.m_request;
    if (!m_claims) {
        co_return make_outcome(outcome_kind::not_run, "claims of idempotency keys are not available");
    }
    const auto remaining =
        std::max(std::chrono::duration_cast<milliseconds>(order.m_deadline - steady::now()), milliseconds{0});
    const auto claimed = co_await m_claims->acquire(digest_of(request.m_service, request.m_idempotency_key),
                                                    std::min(remaining, max_claim_timeout));
    if (!claimed) {
        co_return make_outcome(outcome_kind::not_run, "the key-value service cannot be reached");
    }
    const auto& grant = claimed.assume_value();
    if (grant.m_in_force.m_owner != m_self || grant.m_in_force.m_incarnation != m_incarnation) {
        co_return co_await forward(exchange, order, grant.m_in_force.m_owner, grant.m_in_force.m_incarnation);
    }
    const order_key key{"key:" + request.m_service.str() + ':' + request.m_idempotency_key};
    const auto content = digest_of_content(request.m_service, exchange.request().body());
    const auto executor = co_await asio::this_coro::executor;
    const auto waiting = add_waiter(executor);
    order_decision decision;
    {
        const std::lock_guard lock{m_journal_mutex};
        decision = present_claimed_key(m_journal, key, grant.m_newly_claimed, content, waiting->m_id, monotonic_now());
    }
    co_return co_await apply_decision(exchange, order, key, std::move(decision), waiting);
}

auto order_path::apply_decision(http_exchange& exchange, const presented_order& order, const order_key& key,
                                order_decision decision, std::shared_ptr<waiter> waiting)
    -> asio::awaitable<request_outcome>
{
    if (decision.m_action == order_action::wait) {
        co_return co_await wait_for(order, key, std::move(waiting));
    }
    remove_waiter(key, *waiting);
    switch (decision.m_action) {
    case order_action::run:
        co_return co_await run_and_record(exchange, order, key);
    case order_action::answer:
        co_return to_outcome(decision.m_response.value_or(stored_response{}));
    case order_action::not_run:
        co_return make_outcome(outcome_kind::not_run, std::move(decision.m_reason));
    case order_action::reject:
        co_return rejected_outcome(order.m_request.m_ticket.empty() ? "Idempotency-Key" : "X-Ticket",
                                   decision.m_reason);
    case order_action::unknown:
    case order_action::wait:
        break;
    }
    co_return make_outcome(outcome_kind::unknown, std::move(decision.m_reason));
}

auto order_path::run_and_record(http_exchange& exchange, const presented_order& order, const order_key& key)
    -> asio::awaitable<request_outcome>
{
    auto outcome = make_outcome(outcome_kind::unknown, "the order was interrupted");
    try {
        outcome = co_await m_run(exchange, order);
    }
    catch (...) {
        record(key, outcome);
        throw;
    }
    record(key, outcome);
    co_return std::move(outcome);
}

auto order_path::record(const order_key& key, const request_outcome& outcome) -> void
{
    const auto answered = outcome.m_kind == outcome_kind::answered && outcome.m_response;
    const auto ended = answered                                  ? order_outcome::answered
                       : outcome.m_kind == outcome_kind::not_run ? order_outcome::not_run
                                                                 : order_outcome::unknown;
    std::vector<std::shared_ptr<waiter>> waiting;
    {
        const std::lock_guard lock{m_journal_mutex};
        const auto ids =
            finish(m_journal, key, ended,
                   answered ? std::optional{to_stored_response(*outcome.m_response)} : std::nullopt, monotonic_now());
        for (const auto& id : ids) {
            if (auto node = m_waiters.extract(id)) {
                waiting.push_back(std::move(node.mapped()));
            }
        }
    }
    auto delivered = outcome;
    // The waiting callers are still connected, even if the caller whose request ran has disconnected.
    delivered.m_caller_disconnected = false;
    for (auto& entry : waiting) {
        const auto executor = entry->m_outcome_signal.get_executor();
        asio::post(executor, [entry, copy = delivered]() mutable {
            entry->m_outcome = std::move(copy);
            entry->m_outcome_signal.cancel();
        });
    }
}

auto order_path::wait_for(const presented_order& order, const order_key& key, std::shared_ptr<waiter> waiting)
    -> asio::awaitable<request_outcome>
{
    waiting->m_outcome_signal.expires_at(order.m_deadline);
    boost::system::error_code ignored;
    if (!waiting->m_outcome) {
        co_await waiting->m_outcome_signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (waiting->m_outcome) {
        co_return std::move(*waiting->m_outcome);
    }
    remove_waiter(key, *waiting);
    co_return make_outcome(outcome_kind::unknown, "the order is still running");
}

auto order_path::forward(http_exchange& exchange, const presented_order& order, const entry_vm_id& owner,
                         const incarnation owner_incarnation) -> asio::awaitable<request_outcome>
{
    if (order.m_forwarded || owner == m_self) {
        co_return make_outcome(outcome_kind::unknown, "the entry VM that may run the order is gone");
    }
    const auto peer = find_peer(owner);
    if (!peer) {
        co_return make_outcome(outcome_kind::unknown, "the entry VM that may run the order is not known");
    }
    if (peer->m_incarnation > owner_incarnation) {
        co_return make_outcome(outcome_kind::unknown, "the entry VM that may run the order was restarted");
    }
    http_request request{exchange.request()};
    request.target("/internal/orders/" + order.m_request.m_service.str());
    request.set("X-Request-Id", order.m_id.str());
    request.set("traceparent", to_traceparent(order.m_span.m_context));
    const auto remaining = std::chrono::ceil<milliseconds>(order.m_deadline - steady::now());
    request.set("X-Deadline-Ms", std::to_string(std::max(remaining, milliseconds{1}).count()));
    request.keep_alive(false);
    const auto timeout = std::max(remaining, milliseconds{1}) + forward_timeout_margin;
    auto executor = co_await asio::this_coro::executor;
    auto response = co_await http_fetch(std::move(executor), peer->m_endpoint, std::move(request), timeout);
    co_return to_outcome(std::move(response));
}

auto order_path::add_waiter(const asio::any_io_executor& executor) -> std::shared_ptr<waiter>
{
    const std::lock_guard lock{m_journal_mutex};
    m_last_waiter = m_last_waiter + waiter_id{1};
    return m_waiters.emplace(m_last_waiter, std::make_shared<waiter>(executor, m_last_waiter)).first->second;
}

auto order_path::remove_waiter(const order_key& key, const waiter& waiting) -> void
{
    const std::lock_guard lock{m_journal_mutex};
    m_waiters.erase(waiting.m_id);
    stop_waiting(m_journal, key, waiting.m_id);
}

} // namespace cicadalug
