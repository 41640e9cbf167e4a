#ifndef CICADALUG_ORDER_JOURNAL_HPP
#define CICADALUG_ORDER_JOURNAL_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/result.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/order/ticket.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Identifies an order inside one journal: a ticket or a claimed idempotency key, as text. */
using order_key = strong_id<struct order_key_tag>;

/** @brief Digest of the content of a request; a repeated request must have the same content. */
using content_digest = strong_number<struct content_digest_tag, std::uint64_t>;

/** @brief Identifies a connection of a caller that waits for the outcome of a running order. */
using waiter_id = strong_number<struct waiter_tag, std::uint64_t>;

/** @brief Outcome of an order that ended. */
enum class order_outcome : std::uint8_t { answered, not_run, unknown };

/** @brief Complete response of an upstream, stored for repeated requests. */
struct stored_response {
    unsigned m_status{0};
    std::string m_content_type;
    std::string m_body;

    [[nodiscard]] friend auto operator==(const stored_response&, const stored_response&) -> bool = default;
};

/** @brief Limits of a journal. */
struct journal_limits {
    /** @brief Time after the issue of a ticket within which its order can start. */
    milliseconds m_ticket_lifetime{600'000};
    /** @brief Time for which an ended order is kept after the ticket lifetime, or after its end for a claimed key. */
    milliseconds m_retention{600'000};
    /** @brief Maximum number of valid tickets. */
    std::uint64_t m_valid_tickets{100'000};
    /** @brief Maximum number of orders that are running or kept; further orders are not run. */
    std::size_t m_orders{20'000};
    /** @brief Maximum size of all stored responses, in bytes. Beyond it, only the outcome of the oldest is kept. */
    std::size_t m_response_bytes{16'777'216};
};

/** @brief Action to take for a presented order. */
enum class order_action : std::uint8_t {
    /** @brief Run the order now and call finish() with the outcome. */
    run,
    /** @brief The order is running; finish() returns the waiter, which then gets the outcome. */
    wait,
    /** @brief The order has run; reply with the stored response. */
    answer,
    /** @brief The order has not run and is not run for this presentation. */
    not_run,
    /** @brief Whether the order ran, or what its response was, is no longer known. */
    unknown,
    /** @brief The ticket was not issued here, or the content differs from before. Nothing was changed. */
    reject,
};

/** @brief Decision on a presented order. */
struct order_decision {
    order_action m_action{order_action::reject};
    /** @brief Set for action answer. */
    std::optional<stored_response> m_response;
    /** @brief Reason for the caller; empty for run, wait and answer. */
    std::string m_reason;
};

/** @brief One order in the journal. */
struct journal_entry {
    content_digest m_content;
    /** @brief True for a claimed key. Its entry is kept after not_run, as its claim stays in the key-value service. */
    bool m_claimed{false};
    bool m_running{true};
    order_outcome m_outcome{order_outcome::unknown};
    std::optional<stored_response> m_response;
    std::vector<waiter_id> m_waiters;
    /** @brief Time after which the entry can be dropped once the order has ended. */
    time_point m_keep_until;
};

/** @brief Tickets issued by one call, numbered consecutively. */
struct ticket_batch {
    ticket_number m_first;
    std::uint64_t m_count{0};
    time_point m_issued_at;
};

/**
 * @brief Orders that one incarnation of an entry VM has run or is running. No other process is allowed to run them.
 *
 * An entry outlives its ticket: as long as a ticket can start an order, the journal holds the order if it was started.
 * Until the retention has passed, the order of a ticket without an entry has therefore not run; from then on, whether
 * it ran is unknown.
 */
struct journal_state {
    availability_zone_id m_availability_zone;
    entry_vm_id m_self;
    incarnation m_incarnation;
    journal_limits m_limits;
    ticket_number m_next{1};
    /** @brief Batches whose tickets are valid or whose orders may still be kept, oldest first. */
    std::deque<ticket_batch> m_batches;
    /** @brief Number of batches at the front of m_batches whose tickets have expired. */
    std::size_t m_expired_batches{0};
    /** @brief Number of valid tickets. */
    std::uint64_t m_valid_tickets{0};
    std::map<order_key, journal_entry> m_orders;
    /** @brief Ended orders, by the time until which they are kept. */
    std::multimap<time_point, order_key> m_ended;
    /** @brief Orders with a stored response, earliest end first; can contain orders that have been dropped since. */
    std::deque<order_key> m_response_queue;
    std::size_t m_response_bytes{0};
};

/**
 * @brief Issues tickets.
 * @param state The journal.
 * @param count Number of tickets, from 1 to 100.
 * @param now Current time.
 * @return The tickets, or a finding if the count is out of range or too many tickets are valid.
 */
[[nodiscard]] auto issue(journal_state& state, int count, time_point now) -> result<std::vector<ticket>>;

/**
 * @brief Decides how to handle an order that was presented with a ticket of this entry VM.
 * @pre The ticket was issued by this entry VM; tickets of other entry VMs are forwarded to their issuer.
 * @param state The journal.
 * @param presented The ticket.
 * @param content Digest of the request.
 * @param waiter Connection that presents the order.
 * @param now Current time.
 * @return The decision.
 */
[[nodiscard]] auto present_ticket(journal_state& state, const ticket& presented, content_digest content,
                                  waiter_id waiter, time_point now) -> order_decision;

/**
 * @brief Decides how to handle an order whose idempotency key this incarnation has claimed.
 * @pre The claim names this incarnation.
 * @param state The journal.
 * @param key The claimed key.
 * @param newly_claimed True if the claim was just created, false if it already existed.
 * @param content Digest of the request.
 * @param waiter Connection that presents the order.
 * @param now Current time.
 * @return The decision.
 */
[[nodiscard]] auto present_claimed_key(journal_state& state, const order_key& key, bool newly_claimed,
                                       content_digest content, waiter_id waiter, time_point now) -> order_decision;

/**
 * @brief Records the outcome of an order that was started.
 * @pre present_ticket() or present_claimed_key() returned action run for the order, and finish() has not been called
 * since.
 * @param state The journal.
 * @param key The order.
 * @param outcome The outcome. An order that was not run can be presented and run again.
 * @param response Complete response for outcome answered, empty otherwise.
 * @param now Current time.
 * @return Connections that wait for the outcome.
 */
[[nodiscard]] auto finish(journal_state& state, const order_key& key, order_outcome outcome,
                          std::optional<stored_response> response, time_point now) -> std::vector<waiter_id>;

/**
 * @brief Removes a connection that no longer waits because its caller disconnected.
 * @param state The journal.
 * @param key The order.
 * @param waiter The connection.
 */
auto stop_waiting(journal_state& state, const order_key& key, waiter_id waiter) -> void;

/**
 * @brief Drops tickets and orders whose lifetime and retention have passed. The functions that present orders or issue
 * tickets call it as well.
 * @param state The journal.
 * @param now Current time.
 */
auto expire(journal_state& state, time_point now) -> void;

/**
 * @brief Returns the journal key of the order of a ticket.
 * @param presented The ticket.
 * @return The key.
 */
[[nodiscard]] auto order_key_of(const ticket& presented) -> order_key;

} // namespace cicadalug

#endif
