#ifndef CICADALUG_SCHEDULER_STORE_TYPES_HPP
#define CICADALUG_SCHEDULER_STORE_TYPES_HPP

#include <cicadalug/base/strong_number.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Number of a change in the store; rises over all keys. 0 stands for a key that does not exist. */
using store_revision = strong_number<struct store_revision_tag, std::uint64_t>;

/** @brief Lease in the store; its keys are removed when it ends. 0 stands for none. */
using store_lease = strong_number<struct store_lease_tag, std::uint64_t>;

inline constexpr store_lease no_store_lease{};

/** @brief Greatest number of conditions, puts and removals together in one write; stated by the platform. */
inline constexpr std::size_t store_write_entries{32};

/** @brief How a call to the store ended. */
enum class store_status : std::uint8_t {
    ok,
    /** @brief The key, or the lease, does not exist. */
    missing,
    /** @brief A condition of a write does not hold; nothing was done. */
    conflict,
    /** @brief The history after the given revision is no longer there. */
    compacted,
    /** @brief Nothing was done. */
    not_done,
    /** @brief No answer: the call may have been carried out, or may be later. */
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

struct store_page {
    store_status m_status{store_status::unknown};
    std::vector<store_item> m_items;
    bool m_more{false};
    store_revision m_revision;
};

struct store_change {
    std::string m_key;
    /** @brief The new value; nothing if the key was removed. */
    std::optional<std::string> m_value;
    store_revision m_revision;
};

struct store_changes {
    store_status m_status{store_status::unknown};
    std::vector<store_change> m_changes;
    /** @brief Where to go on. */
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

/** @brief Writes of several keys, all or nothing. */
struct store_write {
    std::vector<store_condition> m_conditions;
    std::vector<store_put> m_puts;
    std::vector<std::string> m_removals;
};

struct store_write_result {
    store_status m_status{store_status::unknown};
    store_revision m_revision;
    /** @brief After a conflict: the items of the conditions as they are. A missing key has revision 0. */
    std::vector<store_item> m_current;
};

} // namespace cicadalug

#endif
