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

/** @brief Time that a lender waits beyond the term, for clocks that run at different rates and a late event loop. */
inline constexpr milliseconds loan_margin{200};

/** @brief Largest number of slots in one message, so that it fits into a datagram of 1,200 bytes. */
inline constexpr std::uint32_t max_slots_per_grant = 16;

/** @brief Number of an upstream in the tables of one process. */
using upstream_index = std::uint32_t;

/** @brief One slot by number. */
struct slot_key {
    upstream_index m_upstream{0};
    std::uint8_t m_slot{0};

    [[nodiscard]] friend auto operator<=>(const slot_key&, const slot_key&) noexcept -> std::strong_ordering = default;
};

/** @brief Slots of one upstream as seen by one entry VM. */
struct upstream_slots {
    /** @brief Own share. */
    slot_mask m_owned{0};
    /** @brief Lent to a peer; the term and the margin have not passed. */
    slot_mask m_lent{0};
    /** @brief Borrowed from a peer; the term has not passed. */
    slot_mask m_borrowed{0};
    /** @brief In use by an attempt of this entry VM, or held back after one. */
    slot_mask m_busy{0};
};

/** @brief Slots that this entry VM may use now or when they become free. */
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
    /** @brief When the slot may be used again; the margin is included. */
    time_point m_until;
};

/** @brief Slot borrowed from a peer. */
struct borrowed_slot {
    entry_vm_id m_lender;
    incarnation m_lender_incarnation;
    std::uint64_t m_sequence{0};
    /** @brief When the slot must be out of use. */
    time_point m_until;
};

/** @brief Slot request that was not granted yet. */
struct asked_loan {
    entry_vm_id m_lender;
    /** @brief End of the term, counted from the sending of the request. */
    time_point m_until;
};

/** @brief Latest slot request heard of a peer. */
struct heard_request {
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
    std::map<std::uint64_t, asked_loan> m_asked;
    std::unordered_map<entry_vm_id, heard_request> m_heard;
    std::uint64_t m_last_sequence{0};
};

/**
 * @brief Returns the number of an upstream, adding it if it is new.
 * @param ledger The ledger.
 * @param vm VM of the upstream.
 * @return The number, which stays the same.
 */
[[nodiscard]] auto intern_upstream(slot_ledger& ledger, const vm_id& vm) -> upstream_index;

/**
 * @brief Takes a free slot of an upstream, own ones first.
 * @param ledger The ledger.
 * @param upstream The upstream.
 * @param hold_until When the slot will be out of use at the latest; a loan has to last so long.
 * @return The slot, which is now in use, or nothing.
 */
[[nodiscard]] auto take_slot(slot_ledger& ledger, upstream_index upstream, time_point hold_until)
    -> std::optional<std::uint8_t>;

/**
 * @brief Puts a slot out of use.
 * @param ledger The ledger.
 * @param key The slot.
 */
auto free_slot(slot_ledger& ledger, slot_key key) noexcept -> void;

/**
 * @brief Makes a slot request for a peer.
 * @param ledger The ledger.
 * @param lender The peer.
 * @param pool Pool whose slots are wanted.
 * @param count Number of slots wanted.
 * @param term Term of the loan.
 * @param now Current time, when the request is sent.
 * @return The request.
 */
[[nodiscard]] auto ask_for_slots(slot_ledger& ledger, const entry_vm_id& lender, const pool_id& pool,
                                 std::uint32_t count, milliseconds term, time_point now) -> slot_request;

/**
 * @brief Lends free slots of the own share. A repeated or an overtaken request gets nothing.
 * @param ledger The ledger.
 * @param request The request.
 * @param upstreams Upstreams whose slots may be lent.
 * @param limit Largest number of slots to lend.
 * @param now Current time.
 * @return The grant to send, or nothing.
 */
[[nodiscard]] auto lend_slots(slot_ledger& ledger, const slot_request& request,
                              const std::vector<upstream_index>& upstreams, std::uint32_t limit, time_point now)
    -> std::optional<slot_grant>;

/**
 * @brief Takes the slots of a grant. A repeated grant and one that answers no open request is ignored.
 * @param ledger The ledger.
 * @param grant The grant.
 * @param now Current time.
 * @return The slots that can be used now.
 */
auto accept_grant(slot_ledger& ledger, const slot_grant& grant, time_point now) -> std::vector<slot_key>;

/**
 * @brief Makes the return of one borrowed slot, which must not be used any more.
 * @param ledger The ledger.
 * @param key The slot.
 * @return The message for the lender.
 * @pre The slot is borrowed and not in use.
 */
[[nodiscard]] auto give_back(slot_ledger& ledger, slot_key key) -> slot_return;

/**
 * @brief Takes returned slots. A return that belongs to another loan than the present one is ignored.
 * @param ledger The ledger.
 * @param message The message.
 * @return The slots that can be used again.
 */
auto take_back(slot_ledger& ledger, const slot_return& message) -> std::vector<slot_key>;

/**
 * @brief Ends the loans whose time has come.
 * @param ledger The ledger.
 * @param now Current time.
 * @return The slots that changed.
 */
auto expire_loans(slot_ledger& ledger, time_point now) -> std::vector<slot_key>;

/**
 * @brief Ends the use of slots whose lender is not known any more, since another entry VM may own them now.
 * @param ledger The ledger.
 * @param live Known entry VMs with their incarnations.
 * @return The slots that changed.
 */
auto drop_orphaned_loans(slot_ledger& ledger, const std::unordered_map<entry_vm_id, incarnation>& live)
    -> std::vector<slot_key>;

} // namespace cicadalug

#endif
