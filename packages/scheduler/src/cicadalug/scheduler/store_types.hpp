#ifndef CICADALUG_SCHEDULER_STORE_TYPES_HPP
#define CICADALUG_SCHEDULER_STORE_TYPES_HPP

#include <cicadalug/base/strong_number.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief Number of a change in the store; increases over all keys. 0 denotes a key that does not exist. */
using store_revision = strong_number<struct store_revision_tag, std::uint64_t>;

/** @brief Lease in the store, at whose end its keys are removed. 0 denotes none. */
using store_lease = strong_number<struct store_lease_tag, std::uint64_t>;

inline constexpr store_lease no_store_lease{};

/** @brief Maximum total number of conditions, puts and removals in one write, as stated by the platform. */
inline constexpr std::size_t store_write_entries{32};

/** @brief Status of a call to the store. */
enum class store_status : std::uint8_t {
    ok,
    /** @brief The key, or the lease, does not exist. */
    missing,
    /** @brief A condition of a write does not hold; nothing was written. */
    conflict,
    /** @brief The history after the given revision has been compacted. */
    compacted,
    /** @brief The call was not carried out, and may be later. */
    not_done,
    /** @brief The call was not carried out, as it is invalid: a value may be too large. */
    rejected,
    /** @brief No response: the call may have been carried out, or may still be. */
    unknown,
};

struct store_item {
    std::string m_key;
    std::string m_value;
    store_revision m_revision;
};

struct store_read {
    store_status m_status{store_status::unknown};
    store_item m_item;
};

/** @brief Details of a failed call, for the log. */
struct store_failure {
    /** @brief HTTP status; 0 without a response. */
    unsigned m_http_status{0};
    std::string m_reason;
    /** @brief Bytes of the response's body that were received. */
    std::size_t m_received_bytes{0};
};

struct store_page {
    store_status m_status{store_status::unknown};
    store_failure m_failure;
    std::vector<store_item> m_items;
    bool m_more{false};
    store_revision m_revision;
};

struct store_change {
    std::string m_key;
    /** @brief The new value; empty if the key was removed. */
    std::optional<std::string> m_value;
    store_revision m_revision;
};

struct store_changes {
    store_status m_status{store_status::unknown};
    std::vector<store_change> m_changes;
    /** @brief Revision from which to continue reading. */
    store_revision m_revision;
};

struct store_condition {
    std::string m_key;
    store_revision m_revision;
};

struct store_put {
    std::string m_key;
    std::string m_value;
    store_lease m_lease{no_store_lease};
};

/** @brief Atomic write of several keys. */
struct store_write {
    std::vector<store_condition> m_conditions;
    std::vector<store_put> m_puts;
    std::vector<std::string> m_removals;
};

struct store_write_result {
    store_status m_status{store_status::unknown};
    store_revision m_revision;
    /** @brief After a conflict: the current items of the conditions. A missing key has revision 0. */
    std::vector<store_item> m_current;
};

/** @brief Checks whether a key exists according to items of the store. A missing key has revision 0 or no item. */
[[nodiscard]] inline auto has_item(const std::vector<store_item>& items, const std::string_view key) -> bool
{
    return std::any_of(items.begin(), items.end(), [key](const store_item& item) {
        return item.m_key == key && item.m_revision != store_revision{0};
    });
}

} // namespace cicadalug

#endif
