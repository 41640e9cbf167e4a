#ifndef CICADALUG_DATAGRAM_DATAGRAM_HPP
#define CICADALUG_DATAGRAM_DATAGRAM_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/membership/heartbeat.hpp>
#include <cicadalug/replication/versioned_map.hpp>
#include <cicadalug/routing/slot_message.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cicadalug {

/** @brief Largest datagram, in bytes: it fits into one packet of every usual network. */
inline constexpr std::size_t max_datagram{1'200};

/** @brief Tells that a key changed. */
struct record_change {
    versioned_entry m_entry;
    /** @brief False if the value was too large to be sent along; the receiver fetches it. */
    bool m_has_value{true};

    [[nodiscard]] friend auto operator==(const record_change&, const record_change&) -> bool = default;
};

/** @brief A VM that takes no new work from the sender and has none in flight from it. */
struct drained_vm {
    vm_id m_vm;
    /** @brief Version of the VM record that asked for it. */
    version m_version;

    [[nodiscard]] friend auto operator==(const drained_vm&, const drained_vm&) -> bool = default;
};

/** @brief Confirms drains to the control holder. */
struct drain_report {
    std::vector<drained_vm> m_vms;

    [[nodiscard]] friend auto operator==(const drain_report&, const drain_report&) -> bool = default;
};

/** @brief All that entry VMs tell each other by datagram; the order of the types is part of the encoding. */
using datagram_body = std::variant<heartbeat, slot_request, slot_grant, slot_return, record_change, drain_report>;

/** @brief Message of one entry VM to another. May be lost, repeated, reordered or late. */
struct datagram {
    entry_vm_id m_sender;
    incarnation m_incarnation;
    datagram_body m_body;
};

/**
 * @brief Encodes a datagram as cereal portable binary.
 * @param message The datagram.
 * @return The bytes, or nothing if they would be more than max_datagram.
 */
[[nodiscard]] auto encode(const datagram& message) -> std::optional<std::string>;

/**
 * @brief Decodes a datagram. No input makes it allocate more than some multiple of the size of the input.
 * @param bytes What was received.
 * @return The datagram, or nothing if the bytes are not exactly one datagram.
 */
[[nodiscard]] auto decode(std::string_view bytes) -> std::optional<datagram>;

} // namespace cicadalug

#endif
