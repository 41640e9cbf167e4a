#include <cicadalug/order/journal.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

constexpr int max_tickets_per_call = 100;

[[nodiscard]] auto make_decision(const order_action action, std::string reason = {}) -> order_decision
{
    return {action, std::nullopt, std::move(reason)};
}

/** @brief Finds the batch that contains a ticket number, or null if the batch has been dropped. */
[[nodiscard]] auto find_batch(const journal_state& state, const ticket_number number) -> const ticket_batch*
{
    const auto next =
        std::upper_bound(state.m_batches.begin(), state.m_batches.end(), number,
                         [](const ticket_number value, const ticket_batch& batch) { return value < batch.m_first; });
    return next == state.m_batches.begin() ? nullptr : &*std::prev(next);
}

auto expire_tickets(journal_state& state, const time_point now) -> void
{
    while (state.m_expired_batches < state.m_batches.size()) {
        const auto& batch = state.m_batches[state.m_expired_batches];
        if (now <= batch.m_issued_at + state.m_limits.m_ticket_lifetime) {
            return;
        }
        state.m_valid_tickets -= batch.m_count;
        ++state.m_expired_batches;
    }
}

/** @brief Restarts an order that was not run. */
[[nodiscard]] auto restart_order(journal_state& state, const order_key& key, journal_entry& entry) -> order_decision
{
    const auto [first, last] = state.m_ended.equal_range(entry.m_keep_until);
    const auto ended = std::find_if(first, last, [&key](const auto& item) { return item.second == key; });
    state.m_ended.erase(ended);
    entry.m_running = true;
    return make_decision(order_action::run);
}

[[nodiscard]] auto repeat_order(journal_state& state, const order_key& key, const content_digest content,
                                const waiter_id waiter) -> order_decision
{
    auto& entry = state.m_orders.at(key);
    if (entry.m_content != content) {
        return make_decision(order_action::reject, "was used for a request with other content");
    }
    if (entry.m_running) {
        entry.m_waiters.push_back(waiter);
        return make_decision(order_action::wait);
    }
    if (entry.m_outcome == order_outcome::not_run) {
        return restart_order(state, key, entry);
    }
    if (entry.m_outcome != order_outcome::answered) {
        return make_decision(order_action::unknown, "an earlier attempt ended without an answer");
    }
    if (!entry.m_response) {
        return make_decision(order_action::unknown, "the order has run, its answer is no longer kept");
    }
    return {order_action::answer, entry.m_response, {}};
}

[[nodiscard]] auto start(journal_state& state, const order_key& key, const content_digest content, const bool claimed,
                         const time_point keep_until) -> order_decision
{
    if (state.m_orders.size() >= state.m_limits.m_orders) {
        return make_decision(order_action::not_run, "too many orders are kept");
    }
    journal_entry entry;
    entry.m_content = content;
    entry.m_claimed = claimed;
    entry.m_keep_until = keep_until;
    state.m_orders.emplace(key, std::move(entry));
    return make_decision(order_action::run);
}

auto drop_response(journal_state& state, journal_entry& entry) -> void
{
    if (entry.m_response) {
        state.m_response_bytes -= entry.m_response->m_body.size();
        entry.m_response.reset();
    }
}

/** @brief Removes orders from the front of the response queue that no longer have a stored response. */
auto trim_response_queue(journal_state& state) -> void
{
    while (!state.m_response_queue.empty()) {
        const auto found = state.m_orders.find(state.m_response_queue.front());
        if (found != state.m_orders.end() && found->second.m_response) {
            return;
        }
        state.m_response_queue.pop_front();
    }
}

/** @brief Drops the oldest responses until the others fit into the limit. */
auto evict_oldest_responses(journal_state& state) -> void
{
    trim_response_queue(state);
    while (state.m_response_bytes > state.m_limits.m_response_bytes && !state.m_response_queue.empty()) {
        drop_response(state, state.m_orders.at(state.m_response_queue.front()));
        trim_response_queue(state);
    }
}

} // namespace

auto order_key_of(const ticket& presented) -> order_key
{
    return order_key{to_string(presented)};
}

auto issue(journal_state& state, const int count, const time_point now) -> result<std::vector<ticket>>
{
    expire(state, now);
    if (count < 1 || count > max_tickets_per_call) {
        return findings{"count", "is not from 1 to " + std::to_string(max_tickets_per_call)};
    }
    const auto ticket_count = static_cast<std::uint64_t>(count);
    if (state.m_valid_tickets + ticket_count > state.m_limits.m_valid_tickets) {
        return findings{"count", "too many tickets are valid, ask again later"};
    }
    state.m_batches.push_back({state.m_next, ticket_count, now});
    state.m_valid_tickets += ticket_count;
    std::vector<ticket> tickets;
    tickets.reserve(ticket_count);
    for (std::uint64_t i = 0; i < ticket_count; ++i) {
        tickets.push_back({state.m_availability_zone, state.m_self, state.m_incarnation, state.m_next});
        state.m_next = state.m_next + ticket_number{1};
    }
    return tickets;
}

auto present_ticket(journal_state& state, const ticket& presented, const content_digest content, const waiter_id waiter,
                    const time_point now) -> order_decision
{
    expire(state, now);
    if (presented.m_incarnation < state.m_incarnation) {
        return make_decision(order_action::unknown, "the entry VM that issued the ticket was restarted");
    }
    if (presented.m_incarnation != state.m_incarnation || presented.m_number >= state.m_next) {
        return make_decision(order_action::reject, "was not issued by this entry VM");
    }
    const auto key = order_key_of(presented);
    if (state.m_orders.contains(key)) {
        return repeat_order(state, key, content, waiter);
    }
    const auto* batch = find_batch(state, presented.m_number);
    if (batch == nullptr) {
        return make_decision(order_action::unknown, "the ticket expired and its order is no longer kept");
    }
    const auto valid_until = batch->m_issued_at + state.m_limits.m_ticket_lifetime;
    if (now > valid_until) {
        return make_decision(order_action::not_run, "the ticket expired before it was used");
    }
    return start(state, key, content, false, valid_until + state.m_limits.m_retention);
}

auto present_claimed_key(journal_state& state, const order_key& key, const bool newly_claimed,
                         const content_digest content, const waiter_id waiter, const time_point now) -> order_decision
{
    expire(state, now);
    if (state.m_orders.contains(key)) {
        return repeat_order(state, key, content, waiter);
    }
    if (!newly_claimed) {
        return make_decision(order_action::unknown, "the key was claimed before and its order is no longer kept");
    }
    return start(state, key, content, true, now + state.m_limits.m_retention);
}

auto finish(journal_state& state, const order_key& key, const order_outcome outcome,
            std::optional<stored_response> response, const time_point now) -> std::vector<waiter_id>
{
    const auto found = state.m_orders.find(key);
    if (found == state.m_orders.end() || !found->second.m_running) {
        return {};
    }
    auto& entry = found->second;
    auto waiters = std::exchange(entry.m_waiters, {});
    if (outcome == order_outcome::not_run && !entry.m_claimed) {
        state.m_orders.erase(found);
        return waiters;
    }
    entry.m_running = false;
    entry.m_outcome = outcome;
    entry.m_keep_until = std::max(entry.m_keep_until, now + state.m_limits.m_retention);
    state.m_ended.emplace(entry.m_keep_until, key);
    if (response) {
        state.m_response_bytes += response->m_body.size();
        entry.m_response = std::move(response);
        state.m_response_queue.push_back(key);
        evict_oldest_responses(state);
    }
    return waiters;
}

auto stop_waiting(journal_state& state, const order_key& key, const waiter_id waiter) -> void
{
    const auto found = state.m_orders.find(key);
    if (found != state.m_orders.end()) {
        std::erase(found->second.m_waiters, waiter);
    }
}

auto expire(journal_state& state, const time_point now) -> void
{
    while (!state.m_ended.empty() && state.m_ended.begin()->first < now) {
        const auto found = state.m_orders.find(state.m_ended.begin()->second);
        drop_response(state, found->second);
        state.m_orders.erase(found);
        state.m_ended.erase(state.m_ended.begin());
    }
    trim_response_queue(state);
    expire_tickets(state, now);
    const auto lifetime = state.m_limits.m_ticket_lifetime + state.m_limits.m_retention;
    while (!state.m_batches.empty() && state.m_batches.front().m_issued_at + lifetime < now) {
        state.m_batches.pop_front();
        --state.m_expired_batches;
    }
}

} // namespace cicadalug
