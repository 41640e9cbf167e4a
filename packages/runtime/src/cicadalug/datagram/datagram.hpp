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

/** @brief Maximum size of a datagram, in bytes. It fits into one packet on any common network. */
inline constexpr std::size_t max_datagram{1'200};

/** @brief Announces that a key changed. */
struct record_change {
    versioned_entry m_entry;
    /** @brief False if the value was too large to be included; the receiver fetches it. */
    bool m_has_value{true};

    [[nodiscard]] friend auto operator==(const record_change&, const record_change&) -> bool = default;
};

/** @brief A VM that receives no new work from the sender and has none of the sender's work in flight. */
struct drained_vm {
    vm_id m_vm;
    /** @brief Version of the VM record that requested the drain. */
    version m_version;

    [[nodiscard]] friend auto operator==(const drained_vm&, const drained_vm&) -> bool = default;
};

/** @brief Confirms to the holder of the control lease that VMs are drained. */
struct drain_report {
    std::vector<drained_vm> m_vms;

    [[nodiscard]] friend auto operator==(const drain_report&, const drain_report&) -> bool = default;
};

/** @brief All messages that entry VMs exchange by datagram. The order of the types is part of the encoding. */
using datagram_body = std::variant<heartbeat, slot_request, slot_grant, slot_return, record_change, drain_report>;

/** @brief Message from one entry VM to another. It may be lost, duplicated, reordered or delayed. */
struct datagram {
    entry_vm_id m_sender;
    incarnation m_incarnation;
    datagram_body m_body;
};

/**
 * @brief Encodes a datagram as cereal portable binary.
 * @param message Datagram to encode.
 * @return Encoded bytes, or nothing if they exceed max_datagram.
 */
[[nodiscard]] auto encode(const datagram& message) -> std::optional<std::string>;

/**
 * @brief Decodes a datagram. Memory use is bounded by a multiple of the input size for any input.
 * @param bytes Received bytes.
 * @return Decoded datagram, or nothing if the bytes are not exactly one datagram.
 */
[[nodiscard]] auto decode(std::string_view bytes) -> std::optional<datagram>;

} // namespace cicadalug

#endif
