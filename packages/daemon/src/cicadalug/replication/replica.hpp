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

/** @brief Which keys are compared: zones have the resources in common, and the VM records each for itself. */
enum class replica_scope : std::uint8_t { resources, zone };

/** @brief Changes in the order in which they arrived. */
struct replica_changes {
    /** @brief Number of the last change; the next read goes on from it. */
    std::uint64_t m_sequence{0};
    /** @brief False if changes in between are no longer kept. */
    bool m_complete{true};
    std::vector<versioned_entry> m_entries;
};

/**
 * @brief Copy of the resources and of the VM records of one zone, with the view made from it. Lock order: m_merge_mutex
 * before m_mutex.
 * @note Thread safety: all functions can be called concurrently.
 */
class replica {
public:
    /** @brief Gets each new view, one after the other. May read the replica, must not merge into it. */
    using subscriber =
        std::function<void(const std::shared_ptr<const fleet_view>&, const std::vector<versioned_entry>&)>;

    /**
     * @brief Constructs an empty copy.
     * @param zone Zone whose VM records are kept; other keys are ignored.
     */
    explicit replica(const availability_zone_id& zone);

    /** @brief Returns the current view. @return Never null; the view is never modified. */
    [[nodiscard]] auto view() const -> std::shared_ptr<const fleet_view>;

    /** @brief Adds a subscriber. @pre No merge has been made. */
    auto subscribe(subscriber function) -> void;

    /** @brief Merges entries of any origin. @return Those that changed the copy. */
    auto merge(const std::vector<versioned_entry>& entries) -> std::vector<versioned_entry>;

    /** @brief Merges a whole read of a prefix, see merge_range(). @return Entries that changed the copy. */
    auto merge_full_read(const std::string& prefix, version revision, const std::vector<versioned_entry>& entries)
        -> std::vector<versioned_entry>;

    /** @brief Returns what is known of a key. @return The value; its version is zero if nothing is known. */
    [[nodiscard]] auto find(const std::string& key) const -> versioned_value;

    /** @brief Returns all entries above a version, tombstones included, in the order of their versions. */
    [[nodiscard]] auto entries_above(version above, replica_scope scope) const -> std::vector<versioned_entry>;

    /** @brief Returns the entries of all buckets in which a peer's digest differs. */
    [[nodiscard]] auto entries_missing_in(const map_digest& peer, replica_scope scope) const
        -> std::vector<versioned_entry>;

    /** @brief Returns the digest of the keys of a scope; the zone has the resources too. */
    [[nodiscard]] auto digest(replica_scope scope) const -> map_digest;

    /** @brief Returns the highest version merged. */
    [[nodiscard]] auto highest() const -> version;

    /** @brief Says that a whole configuration was learned from the platform or from a peer. */
    auto set_loaded() noexcept -> void { m_loaded = true; }

    /** @brief Tells whether a whole configuration was learned. */
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
    /** @brief Held for a whole merge, calls of subscribers included, so that views are published in order. */
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
