#ifndef CICADALUG_ROUTING_SLOT_MESSAGE_HPP
#define CICADALUG_ROUTING_SLOT_MESSAGE_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace cicadalug {

/** @brief One slot of an upstream. */
struct slot_id {
    vm_id m_vm;
    /** @brief Number of the slot, from 0. */
    std::uint8_t m_slot{0};

    [[nodiscard]] friend auto operator<=>(const slot_id&, const slot_id&) noexcept -> std::strong_ordering = default;

    /** @brief Reads or writes the identifier with a cereal archive. */
    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_vm, m_slot);
    }
};

/** @brief Asks a peer to lend slots. A request is granted at most once: the lender records its sequence number. */
struct slot_request {
    entry_vm_id m_from;
    /** @brief Incarnation of the borrower. */
    incarnation m_incarnation;
    /** @brief Sequence number of the request, increasing within one incarnation. */
    std::uint64_t m_sequence{0};
    pool_id m_pool;
    /** @brief Number of requested slots. */
    std::uint32_t m_count{0};
    /** @brief Term in milliseconds; the borrower measures it from the time of sending this request. */
    std::uint32_t m_term_ms{0};
    /** @brief True if slots of the spare pool are requested for requests of other pools. */
    bool m_overflow{false};

    /** @brief Reads or writes the message with a cereal archive. */
    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_from, m_incarnation, m_sequence, m_pool, m_count, m_term_ms, m_overflow);
    }
};

/** @brief Lends slots for the term of the request; the lender measures it from the receipt of the request. */
struct slot_grant {
    /** @brief The lender. */
    entry_vm_id m_from;
    /** @brief Incarnation of the lender. */
    incarnation m_lender_incarnation;
    /** @brief Incarnation of the borrower, from the request. */
    incarnation m_incarnation;
    /** @brief Sequence number of the request. */
    std::uint64_t m_sequence{0};
    std::vector<slot_id> m_slots;

    /** @brief Reads or writes the message; needs cereal/types/vector.hpp. */
    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_from, m_lender_incarnation, m_incarnation, m_sequence, m_slots);
    }
};

/** @brief Returns slots of one grant before the term ends. */
struct slot_return {
    /** @brief The borrower. */
    entry_vm_id m_from;
    /** @brief Incarnation of the borrower. */
    incarnation m_incarnation;
    /** @brief Sequence number of the request for which the slots were lent. */
    std::uint64_t m_sequence{0};
    std::vector<slot_id> m_slots;

    /** @brief Reads or writes the message; needs cereal/types/vector.hpp. */
    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_from, m_incarnation, m_sequence, m_slots);
    }
};

/** @brief Message between entry VMs of one availability zone; can be lost, duplicated, reordered or delayed. */
using slot_message = std::variant<slot_request, slot_grant, slot_return>;

} // namespace cicadalug

#endif
