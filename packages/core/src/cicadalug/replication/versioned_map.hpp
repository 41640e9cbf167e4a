#ifndef CICADALUG_REPLICATION_VERSIONED_MAP_HPP
#define CICADALUG_REPLICATION_VERSIONED_MAP_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/replication/map_digest.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief What a copy knows of one key. */
struct versioned_value {
    version m_version;
    std::string m_value;
    /** @brief True for a tombstone: the key was deleted at the version. It keeps older values from coming back. */
    bool m_deleted{false};

    [[nodiscard]] friend auto operator==(const versioned_value&, const versioned_value&) -> bool = default;
};

/** @brief A key with what a copy knows of it: the unit that entry VMs pass on. */
struct versioned_entry {
    std::string m_key;
    versioned_value m_value;

    [[nodiscard]] friend auto operator==(const versioned_entry&, const versioned_entry&) -> bool = default;
};

/**
 * @brief Copy of keys of the key-value service. For each key it holds the value with the highest version that was ever
 * merged, so the order, repetition and path of deliveries do not matter.
 */
struct versioned_map {
    /** @brief Keys, tombstones included. */
    std::map<std::string, versioned_value, std::less<>> m_entries;
    /** @brief Highest version merged; keys with lower versions may still be missing. */
    version m_highest_version;
    /** @brief Digest of m_entries, kept up to date by merge(). */
    map_digest m_digest;
    /** @brief For each prefix that was read whole, the revision of the last read. All that was true up to it is known.
     */
    std::map<std::string, version, std::less<>> m_reads;
};

/**
 * @brief Merges an entry. One that a whole read of its prefix did not have, although it is older than the read, was
 * removed from the store: it becomes a tombstone with the revision of the read, so that its other copies die out.
 * @param map The map.
 * @param entry The entry; one without a version is ignored.
 * @return True if the map changed, false if it knew the version or a higher one of the key.
 */
auto merge(versioned_map& map, const versioned_entry& entry) -> bool;

/**
 * @brief Merges a read of all keys below a prefix. A key that the read does not have and whose version is at most the
 * revision of the read was removed; it becomes a tombstone with the revision.
 * @param map The map.
 * @param prefix The prefix.
 * @param revision Store-wide revision of the read.
 * @param entries All keys below the prefix.
 * @return Entries that changed the map, tombstones included.
 */
[[nodiscard]] auto merge_range(versioned_map& map, std::string_view prefix, version revision,
                               const std::vector<versioned_entry>& entries) -> std::vector<versioned_entry>;

/**
 * @brief Returns the entries above a version, tombstones included.
 * @param map The map.
 * @param above The version.
 * @return The entries in the order of their versions.
 */
[[nodiscard]] auto entries_above(const versioned_map& map, version above) -> std::vector<versioned_entry>;

/**
 * @brief Returns the entries that a peer may lack, tombstones included.
 * @param map The map.
 * @param own Digest to compare; other than m_digest if it covers several maps.
 * @param peer Digest of the peer over the same keys.
 * @return All entries of the buckets in which the digests differ.
 */
[[nodiscard]] auto entries_in_differing_buckets(const versioned_map& map, const map_digest& own, const map_digest& peer)
    -> std::vector<versioned_entry>;

} // namespace cicadalug

#endif
