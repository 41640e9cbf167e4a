#ifndef CICADALUG_REPLICATION_VERSIONED_MAP_HPP
#define CICADALUG_REPLICATION_VERSIONED_MAP_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/replication/map_digest.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief State of one key in a copy. */
struct versioned_value {
    version m_version;
    std::string m_value;
    /** @brief True for a tombstone: the key was deleted at m_version. It prevents older values from reappearing. */
    bool m_deleted{false};

    [[nodiscard]] friend auto operator==(const versioned_value&, const versioned_value&) -> bool = default;
};

/** @brief A key with its state in a copy: the unit of replication between entry VMs. */
struct versioned_entry {
    std::string m_key;
    versioned_value m_value;

    [[nodiscard]] friend auto operator==(const versioned_entry&, const versioned_entry&) -> bool = default;
};

/**
 * @brief Copy of keys of the key-value service. For each key it holds the value with the highest version that was ever
 * merged, so the result does not depend on the order, the repetition or the route of deliveries.
 */
struct versioned_map {
    /** @brief Keys with their state, including tombstones. */
    std::map<std::string, versioned_value, std::less<>> m_entries;
    /** @brief Highest version that was merged; keys with lower versions may still be missing. */
    version m_highest_version;
    /** @brief Digest of m_entries, updated by merge(). */
    map_digest m_digest;
    /**
     * @brief For each prefix that was read in full, the revision of the last full read. The copy knows the complete
     * state of the prefix at this revision.
     */
    std::map<std::string, version, std::less<>> m_full_read_revisions;
};

/**
 * @brief Merges an entry. An entry that is older than a full read of its prefix and newer than the copy's state of
 * the key was removed from the store before that read: it becomes a tombstone with the revision of the read, which
 * replaces the entry in other copies too.
 * @param map The map.
 * @param entry The entry; ignored if its version is zero.
 * @return True if the map changed, false if the entry was ignored or the map has the same or a higher version of the
 * key.
 */
auto merge(versioned_map& map, const versioned_entry& entry) -> bool;

/**
 * @brief Merges a full read of the keys below a prefix. A key that is missing in the read, and whose version is at most
 * the revision of the read, was removed from the store; it becomes a tombstone with that revision.
 * @param map The map.
 * @param prefix The prefix.
 * @param revision Store-wide revision of the read.
 * @param entries All keys below the prefix.
 * @return Entries that changed the map, including tombstones.
 */
[[nodiscard]] auto merge_range(versioned_map& map, std::string_view prefix, version revision,
                               const std::vector<versioned_entry>& entries) -> std::vector<versioned_entry>;

/**
 * @brief Returns the entries with a version above a given one, including tombstones.
 * @param map The map.
 * @param above The version.
 * @return The entries, sorted by version.
 */
[[nodiscard]] auto entries_above(const versioned_map& map, version above) -> std::vector<versioned_entry>;

/**
 * @brief Returns the entries that a peer may be missing, including tombstones.
 * @param map The map.
 * @param own Own digest to compare; differs from m_digest if it covers several maps.
 * @param peer Digest of the peer over the same keys.
 * @return All entries of the buckets in which the digests differ.
 */
[[nodiscard]] auto entries_in_differing_buckets(const versioned_map& map, const map_digest& own, const map_digest& peer)
    -> std::vector<versioned_entry>;

} // namespace cicadalug

#endif
