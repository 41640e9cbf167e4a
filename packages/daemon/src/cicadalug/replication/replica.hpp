#ifndef CICADALUG_DAEMON_REPLICATION_REPLICA_HPP
#define CICADALUG_DAEMON_REPLICATION_REPLICA_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/replication/incremental_fleet_view.hpp>
#include <cicadalug/replication/versioned_map.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief Keys that are compared: all zones share the resources, and each zone has its own VM records. */
enum class replica_scope : std::uint8_t { resources, zone };

/** @brief Changes in the order of their arrival. */
struct replica_changes {
    /** @brief Sequence number of the last change; the next read continues after it. */
    std::uint64_t m_sequence{0};
    /** @brief False if some of the requested changes are no longer kept. */
    bool m_complete{true};
    std::vector<versioned_entry> m_entries;
};

/**
 * @brief Replica of the resources and of the VM records of one zone, with the view built from it. Lock order:
 * m_merge_mutex before m_mutex.
 * @note Thread safety: all functions can be called concurrently.
 */
class replica {
public:
    /** @brief Receives each new view, one call at a time. May read the replica; must not merge into it. */
    using subscriber =
        std::function<void(const std::shared_ptr<const fleet_view>&, const std::vector<versioned_entry>&)>;

    /**
     * @brief Constructs an empty replica.
     * @param zone Zone whose VM records are kept; other keys are ignored.
     */
    explicit replica(const availability_zone_id& zone);

    /** @brief Returns the current view. @return Never null; the view is never modified. */
    [[nodiscard]] auto view() const -> std::shared_ptr<const fleet_view>;

    /** @brief Adds a subscriber. @pre No merge has been made. */
    auto subscribe(subscriber function) -> void;

    /** @brief Merges entries of any origin. @return Entries that changed the replica. */
    auto merge(const std::vector<versioned_entry>& entries) -> std::vector<versioned_entry>;

    /** @brief Merges a full read of a prefix, see merge_range(). @return Entries that changed the replica. */
    auto merge_full_read(const std::string& prefix, version revision, const std::vector<versioned_entry>& entries)
        -> std::vector<versioned_entry>;

    /** @brief Returns the value or tombstone of a key; its version is zero if the key is unknown. */
    [[nodiscard]] auto find(const std::string& key) const -> versioned_value;

    /** @brief Returns all entries above a version, tombstones included, in the order of their versions. */
    [[nodiscard]] auto entries_above(version above, replica_scope scope) const -> std::vector<versioned_entry>;

    /** @brief Returns the entries of all buckets in which a peer's digest differs. */
    [[nodiscard]] auto entries_missing_in(const map_digest& peer, replica_scope scope) const
        -> std::vector<versioned_entry>;

    /** @brief Returns the digest of the keys of a scope; the scope zone includes the resources. */
    [[nodiscard]] auto digest(replica_scope scope) const -> map_digest;

    /** @brief Returns the highest version merged. */
    [[nodiscard]] auto highest() const -> version;

    /** @brief Records that a complete configuration was loaded from the platform or from a peer. */
    auto set_loaded() noexcept -> void { m_loaded = true; }

    /** @brief Returns whether a complete configuration was loaded. */
    [[nodiscard]] auto loaded() const noexcept -> bool { return m_loaded; }

    /** @brief Returns the changes after a sequence number. */
    [[nodiscard]] auto changes_after(std::uint64_t sequence) const -> replica_changes;

    /** @brief Waits for a change after a sequence number, at most for the given time. */
    [[nodiscard]] auto wait_for_change(std::uint64_t sequence, milliseconds limit) -> boost::asio::awaitable<void>;

private:
    [[nodiscard]] auto accepts(std::string_view key) const -> bool;
    [[nodiscard]] auto map_of(std::string_view key) -> versioned_map&;
    auto publish(const std::vector<versioned_entry>& changed) -> void;
    auto wake_waiters() -> void;

    const std::string m_fleet_prefix;
    const std::string m_vm_list_key;
    std::vector<subscriber> m_subscribers;
    std::atomic<bool> m_loaded{false};
    /** @brief Held during an entire merge, including the calls of subscribers, so that views are published in order. */
    std::mutex m_merge_mutex;
    incremental_fleet_view m_incremental_view;
    /** @brief Guards all members below. */
    mutable std::mutex m_mutex;
    versioned_map m_resources;
    versioned_map m_zone;
    std::shared_ptr<const fleet_view> m_view;
    std::deque<versioned_entry> m_change_log;
    std::uint64_t m_last_sequence{0};
    std::list<std::shared_ptr<boost::asio::steady_timer>> m_waiters;
};

} // namespace cicadalug

#endif
