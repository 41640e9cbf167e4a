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

/** @brief Digest of the content of a request; a repeat must carry the same content. */
using content_digest = strong_number<struct content_digest_tag, std::uint64_t>;

/** @brief Identifies a caller's connection that waits for the outcome of a running order. */
using waiter_id = strong_number<struct waiter_tag, std::uint64_t>;

/** @brief What is known of an order that ended. */
enum class order_outcome : std::uint8_t { answered, not_run, unknown };

/** @brief Whole answer of an upstream, kept for repeats. */
struct stored_response {
    unsigned m_status{0};
    std::string m_content_type;
    std::string m_body;

    [[nodiscard]] friend auto operator==(const stored_response&, const stored_response&) -> bool = default;
};

/** @brief Bounds of a journal. */
struct journal_limits {
    /** @brief Time from the issue of a ticket within which its order may start. */
    milliseconds m_ticket_lifetime{600'000};
    /** @brief Time that an ended order is kept beyond the ticket lifetime, or beyond its end for a claimed key. */
    milliseconds m_retention{600'000};
    /** @brief Tickets that are valid at a time. */
    std::uint64_t m_valid_tickets{100'000};
    /** @brief Orders that are running or kept at a time; a further one is not run. */
    std::size_t m_orders{20'000};
    /** @brief Bytes of all kept answers; beyond it the oldest answers are dropped and only their outcome stays. */
    std::size_t m_answer_bytes{16'777'216};
};

/** @brief What to do with a presented order. */
enum class order_action : std::uint8_t {
    /** @brief Run it now and call finish() with the outcome. */
    run,
    /** @brief It is running; the waiter gets the outcome from finish(). */
    wait,
    /** @brief It ran; answer with the kept answer. */
    answer,
    /** @brief It has not run and will not run under this ticket now. */
    not_run,
    /** @brief Whether it ran, or what was answered, is not known any more. */
    unknown,
    /** @brief The ticket was not issued here, or carries other content than before. Nothing was changed. */
    reject,
};

/** @brief Decision on a presented order. */
struct order_decision {
    order_action m_action{order_action::reject};
    /** @brief Set for action answer. */
    std::optional<stored_response> m_response;
    /** @brief Reason, for the caller; empty for run, wait and answer. */
    std::string m_reason;
};

/** @brief One order in the journal. */
struct journal_entry {
    content_digest m_content;
    /** @brief True for a claimed key. Its entry stays after not_run, since its claim stays in the key-value service. */
    bool m_claimed{false};
    bool m_running{true};
    order_outcome m_outcome{order_outcome::unknown};
    std::optional<stored_response> m_response;
    std::vector<waiter_id> m_waiters;
    /** @brief Time from which the entry may be dropped once it has ended. */
    time_point m_keep_until;
};

/** @brief Tickets issued by one call, numbered without a gap. */
struct ticket_batch {
    ticket_number m_first;
    std::uint64_t m_count{0};
    time_point m_issued_at;
};

/**
 * @brief Orders that one incarnation of an entry VM has run or is running. It is the only place that may run them.
 *
 * An entry outlives its ticket: while a ticket may start an order, the journal still holds the order if it was started.
 * A ticket without an entry has therefore not run, until the retention has passed; from then on its fate is unknown.
 */
struct journal_state {
    availability_zone_id m_availability_zone;
    entry_vm_id m_self;
    incarnation m_incarnation;
    journal_limits m_limits;
    ticket_number m_next{1};
    /** @brief Batches whose tickets are valid or whose orders may still be kept, the oldest first. */
    std::deque<ticket_batch> m_batches;
    /** @brief Number of batches at the front of m_batches whose tickets have expired. */
    std::size_t m_expired_batches{0};
    /** @brief Number of tickets that are valid. */
    std::uint64_t m_valid_tickets{0};
    std::map<order_key, journal_entry> m_orders;
    /** @brief Ended orders by the time until which they are kept. */
    std::multimap<time_point, order_key> m_ended;
    /** @brief Orders with a kept answer, the earliest end first; may name orders that were dropped meanwhile. */
    std::deque<order_key> m_answered;
    std::size_t m_answer_bytes{0};
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
 * @brief Decides on an order that arrived with a ticket of this incarnation.
 * @pre The ticket names this entry VM; other ones are forwarded to their issuer.
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
 * @brief Decides on an order whose idempotency key this incarnation has claimed.
 * @pre The claim names this incarnation.
 * @param state The journal.
 * @param key The claimed key.
 * @param newly_claimed True if the claim was granted just now, false if it was found.
 * @param content Digest of the request.
 * @param waiter Connection that presents the order.
 * @param now Current time.
 * @return The decision.
 */
[[nodiscard]] auto present_claimed_key(journal_state& state, const order_key& key, bool newly_claimed,
                                       content_digest content, waiter_id waiter, time_point now) -> order_decision;

/**
 * @brief Records how an order that was to run has ended.
 * @pre A presentation of the order returned action run, and finish() was not called for it since.
 * @param state The journal.
 * @param key The order.
 * @param outcome What is known. An order that was not run may be presented and run again.
 * @param answer Whole answer for outcome answered, empty otherwise.
 * @param now Current time.
 * @return Connections that wait for the outcome.
 */
[[nodiscard]] auto finish(journal_state& state, const order_key& key, order_outcome outcome,
                          std::optional<stored_response> answer, time_point now) -> std::vector<waiter_id>;

/**
 * @brief Removes a connection that no longer waits, because its caller went away.
 * @param state The journal.
 * @param key The order.
 * @param waiter The connection.
 */
auto stop_waiting(journal_state& state, const order_key& key, waiter_id waiter) -> void;

/**
 * @brief Drops what has been kept long enough. Called by the functions above as well.
 * @param state The journal.
 * @param now Current time.
 */
auto expire(journal_state& state, time_point now) -> void;

/**
 * @brief Returns the key of the order of a ticket.
 * @param presented The ticket.
 * @return The key.
 */
[[nodiscard]] auto order_key_of(const ticket& presented) -> order_key;

} // namespace cicadalug

#endif
