#ifndef CICADALUG_ORDER_TICKET_HPP
#define CICADALUG_ORDER_TICKET_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Number of a ticket, assigned by its issuer from 1. */
using ticket_number = strong_number<struct ticket_number_tag, std::uint64_t>;

/**
 * @brief Permission to run one order once. It names the only entry VM that is allowed to run the order, so that a
 * repeated request that reaches another entry VM cannot run it a second time.
 */
struct ticket {
    availability_zone_id m_availability_zone;
    entry_vm_id m_issuer;
    /** @brief Incarnation of the issuer; its journal is lost when the incarnation ends. */
    incarnation m_incarnation;
    ticket_number m_number;

    [[nodiscard]] friend auto operator==(const ticket&, const ticket&) -> bool = default;
};

/**
 * @brief Formats a ticket for the X-Ticket header.
 * @param value The ticket.
 * @return Text without spaces or control characters.
 */
[[nodiscard]] auto to_string(const ticket& value) -> std::string;

/**
 * @brief Parses the value of an X-Ticket header.
 * @param text The value.
 * @return The ticket, or findings with location "X-Ticket".
 */
[[nodiscard]] auto parse_ticket(std::string_view text) -> result<ticket>;

} // namespace cicadalug

#endif
