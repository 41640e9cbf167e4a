#ifndef CICADALUG_ROUTING_SLOT_LEDGER_HPP
#define CICADALUG_ROUTING_SLOT_LEDGER_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/routing/slot_message.hpp>
#include <cicadalug/routing/slot_share.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadalug {

/** @brief Time that a lender waits beyond the term, to allow for clock drift and a delayed event loop. */
inline constexpr milliseconds loan_margin{200};

/** @brief Largest number of slots in one message, so that it fits into a datagram of 1,200 bytes. */
inline constexpr std::uint32_t max_slots_per_grant = 16;

/** @brief Index of an upstream in the tables of one process. */
using upstream_index = std::uint32_t;

/** @brief Slot identified by the index of its upstream and its number. */
struct slot_key {
    upstream_index m_upstream{0};
    std::uint8_t m_slot{0};

    [[nodiscard]] friend auto operator<=>(const slot_key&, const slot_key&) noexcept -> std::strong_ordering = default;
};

/** @brief Slots of one upstream as seen by one entry VM. */
struct upstream_slots {
    /** @brief Slots of the own share. */
    slot_mask m_owned{0};
    /** @brief Lent to a peer; the term and the margin have not passed. */
    slot_mask m_lent{0};
    /** @brief Borrowed from a peer; the term has not passed. */
    slot_mask m_borrowed{0};
    /** @brief In use by an attempt of this entry VM, or held after one. */
    slot_mask m_busy{0};
};

/** @brief Slots that this entry VM can use now or when they become free. */
[[nodiscard]] constexpr auto usable_slots(const upstream_slots& slots) noexcept -> slot_mask
{
    return (slots.m_owned & ~slots.m_lent) | slots.m_borrowed;
}

/** @brief Slots that this entry VM can start an attempt on now. */
[[nodiscard]] constexpr auto free_slots(const upstream_slots& slots) noexcept -> slot_mask
{
    return usable_slots(slots) & ~slots.m_busy;
}

/** @brief Slot lent to a peer. */
struct lent_slot {
    entry_vm_id m_borrower;
    incarnation m_incarnation;
    std::uint64_t m_sequence{0};
    /** @brief Time at which the lender can use the slot again, including the margin. */
    time_point m_until;
};

/** @brief Slot borrowed from a peer. */
struct borrowed_slot {
    entry_vm_id m_lender;
    incarnation m_lender_incarnation;
    std::uint64_t m_sequence{0};
    /** @brief Time by which the slot must be out of use. */
    time_point m_until;
};

/** @brief Slot request that has not been granted yet. */
struct pending_loan {
    entry_vm_id m_lender;
    /** @brief End of the term, counted from the sending of the request. */
    time_point m_until;
};

/** @brief Latest slot request received from a peer. */
struct last_slot_request {
    incarnation m_incarnation;
    std::uint64_t m_sequence{0};
};

/** @brief Slot accounting of one entry VM: own share, loans in both directions, and use. */
struct slot_ledger {
    entry_vm_id m_self;
    incarnation m_incarnation;
    std::vector<upstream_slots> m_slots;
    std::vector<vm_id> m_vms;
    std::unordered_map<vm_id, upstream_index> m_indices;
    std::map<slot_key, lent_slot> m_lent;
    std::map<slot_key, borrowed_slot> m_borrowed;
    std::map<std::uint64_t, pending_loan> m_pending_loans;
    std::unordered_map<entry_vm_id, last_slot_request> m_last_requests;
    std::uint64_t m_last_sequence{0};
};

/**
 * @brief Returns the index of an upstream, adding the upstream if it is new.
 * @param ledger The ledger.
 * @param vm VM of the upstream.
 * @return The index, which never changes.
 */
[[nodiscard]] auto intern_upstream(slot_ledger& ledger, const vm_id& vm) -> upstream_index;

/**
 * @brief Acquires a free slot of an upstream; own slots come before borrowed ones.
 * @param ledger The ledger.
 * @param upstream The upstream.
 * @param hold_until Latest time at which the slot will be out of use; a borrowed slot must have a term at least as
 * long.
 * @return Number of the slot, which is now in use, or nothing if no slot qualifies.
 */
[[nodiscard]] auto acquire_slot(slot_ledger& ledger, upstream_index upstream, time_point hold_until)
    -> std::optional<std::uint8_t>;

/**
 * @brief Marks a slot as no longer in use.
 * @param ledger The ledger.
 * @param key The slot.
 */
auto mark_slot_free(slot_ledger& ledger, slot_key key) noexcept -> void;

/**
 * @brief Creates a slot request for a peer and records it as pending.
 * @param ledger The ledger.
 * @param lender The peer.
 * @param pool Pool whose slots are requested.
 * @param count Number of requested slots.
 * @param term Term of the loan.
 * @param now Current time, when the request is sent.
 * @return The request.
 */
[[nodiscard]] auto make_slot_request(slot_ledger& ledger, const entry_vm_id& lender, const pool_id& pool,
                                     std::uint32_t count, milliseconds term, time_point now) -> slot_request;

/**
 * @brief Lends free slots of the own share. A duplicate or outdated request gets nothing.
 * @param ledger The ledger.
 * @param request The request.
 * @param upstreams Upstreams whose slots can be lent.
 * @param limit Maximum number of slots to lend.
 * @param now Current time.
 * @return The grant to send, or nothing if no slot is lent.
 */
[[nodiscard]] auto lend_slots(slot_ledger& ledger, const slot_request& request,
                              const std::vector<upstream_index>& upstreams, std::uint32_t limit, time_point now)
    -> std::optional<slot_grant>;

/**
 * @brief Applies a grant. A duplicate grant and a grant without a pending request are ignored.
 * @param ledger The ledger.
 * @param grant The grant.
 * @param now Current time.
 * @return The slots that became usable.
 */
auto accept_grant(slot_ledger& ledger, const slot_grant& grant, time_point now) -> std::vector<slot_key>;

/**
 * @brief Returns one borrowed slot to its lender. The slot can no longer be used.
 * @param ledger The ledger.
 * @param key The slot.
 * @return The message for the lender.
 * @pre The slot is borrowed and not in use.
 */
[[nodiscard]] auto return_borrowed_slot(slot_ledger& ledger, slot_key key) -> slot_return;

/**
 * @brief Reclaims slots returned by a borrower. A return that belongs to another loan than the current one is ignored.
 * @param ledger The ledger.
 * @param message The message.
 * @return The slots that are usable again.
 */
auto reclaim_slots(slot_ledger& ledger, const slot_return& message) -> std::vector<slot_key>;

/**
 * @brief Ends the loans whose term has passed; for lent slots, the term and the margin.
 * @param ledger The ledger.
 * @param now Current time.
 * @return The slots that changed.
 */
auto expire_loans(slot_ledger& ledger, time_point now) -> std::vector<slot_key>;

/**
 * @brief Drops borrowed slots whose lender is no longer known, because another entry VM may own them now.
 * @param ledger The ledger.
 * @param live Live entry VMs with their incarnations.
 * @return The slots that changed.
 */
auto drop_orphaned_loans(slot_ledger& ledger, const std::unordered_map<entry_vm_id, incarnation>& live)
    -> std::vector<slot_key>;

} // namespace cicadalug

#endif
