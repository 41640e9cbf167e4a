#ifndef CICADALUG_PLATFORM_TYPES_HPP
#define CICADALUG_PLATFORM_TYPES_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/result.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Maximum size of a value in the key-value service, in bytes. */
inline constexpr std::size_t max_kv_value{1'048'576};

/** @brief Key with its value, or without one. */
struct kv_entry {
    std::string m_key;
    std::string m_value;
    /** @brief Revision of the last write; zero if the key has no value. */
    version m_version;
    write_id m_write_id;
    lease_id m_lease;
    /** @brief True if the last change deleted the value. */
    bool m_deleted{false};

    [[nodiscard]] friend auto operator==(const kv_entry&, const kv_entry&) -> bool = default;
};

/** @brief All keys below a prefix at one revision. */
struct kv_range {
    version m_revision;
    std::vector<kv_entry> m_entries;
};

/** @brief A compare-and-swap of one key. */
struct kv_write {
    std::string m_key;
    std::string m_value;
    /** @brief Version that the key must have; zero if it must have no value. */
    version m_expected;
    /** @brief Unique across all writers, so that a write whose response was lost can be recognized. */
    write_id m_write_id;
    /** @brief Lease that the key is bound to; empty if none. */
    lease_id m_lease;
};

/** @brief A change that a watch delivers, or the progress of the watch. */
struct kv_watch_event {
    /** @brief The changed key; nothing if the event only reports progress. */
    std::optional<kv_entry> m_change;
    /** @brief For a progress event: all changes up to this revision were delivered. */
    version m_progress;
};

/** @brief One entry of the platform's list of VMs, which may be out of date. An entry VM has no slots. */
struct platform_vm {
    vm_id m_vm;
    availability_zone_id m_availability_zone;
    rack_id m_rack;
    room_id m_room;
    std::string m_address;
    int m_slots{0};
    int m_connections{0};
    /** @brief Pool of a VM that has no assignment yet. */
    pool_id m_pool;
    bool m_leaving{false};
    /** @brief Number of times that the VM booted. */
    std::uint64_t m_boot{0};
};

/** @brief Reason why a call to the platform has no result. */
enum class platform_error_kind : std::uint8_t {
    /** @brief The call certainly had no effect: the platform was not reached. */
    unavailable,
    /** @brief The response was lost: the call may have taken effect. */
    unknown,
    /** @brief The key had another version than expected. Nothing was changed. */
    conflict,
    /** @brief The lease or the VM does not exist. Nothing was changed. */
    not_found,
    /** @brief The platform rejected the call, or its response could not be parsed. */
    rejected,
};

/** @brief Failed call to the platform. */
struct platform_error {
    platform_error_kind m_kind{platform_error_kind::unavailable};
    std::string m_message;
    /** @brief For a conflict: the current entry of the key. */
    kv_entry m_current;
};

/** @brief Result of a call to the platform. */
template<typename Type>
using platform_result = result<Type, platform_error>;

} // namespace cicadalug

#endif
