#ifndef CICADALUG_DAEMON_REPLICATION_ZONE_WATCHER_HPP
#define CICADALUG_DAEMON_REPLICATION_ZONE_WATCHER_HPP

#include <cicadalug/membership/membership_service.hpp>
#include <cicadalug/platform/platform_client.hpp>
#include <cicadalug/platform/write_id_source.hpp>
#include <cicadalug/replication/replica.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <string>

namespace cicadalug {

/**
 * @brief Watches the keys of a zone and polls the platform's VM list while this entry VM holds control, and forwards
 * changes to the other entry VMs of the zone. The number of platform calls thus grows with the number of zones, not of
 * entry VMs.
 * @note Thread safety: all functions are called on the executor.
 */
class zone_watcher {
public:
    /**
     * @brief Constructs an inactive watcher.
     * @param executor Runs the watches; a strand if the context has several threads.
     * @param platform Client of the platform.
     * @param ids Source of the write ids of this process.
     * @param local_replica Replica that the changes are merged into.
     * @param members Sends the changes to the other entry VMs of the zone.
     * @param zone The zone.
     * @param vm_list_interval Interval between two reads of the VM list.
     */
    zone_watcher(const boost::asio::any_io_executor& executor, platform_client& platform, write_id_source& ids,
                 replica& local_replica, membership_service& members, const availability_zone_id& zone,
                 milliseconds vm_list_interval);

    /** @brief Starts watching. */
    auto begin() -> void;

    /** @brief Stops watching. */
    auto end() -> void;

private:
    [[nodiscard]] auto is_current(std::uint64_t term) const noexcept -> bool { return m_active && term == m_term; }
    [[nodiscard]] auto watch(std::string prefix, std::uint64_t term) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto read_all(std::string prefix) -> boost::asio::awaitable<version>;
    [[nodiscard]] auto watch_changes(std::string prefix, version after, std::uint64_t term)
        -> boost::asio::awaitable<version>;
    [[nodiscard]] auto poll_vm_list(std::uint64_t term) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto publish_vm_list(platform_vm_list list) -> boost::asio::awaitable<bool>;
    [[nodiscard]] auto sleep_for(milliseconds time) -> boost::asio::awaitable<void>;
    auto merge_and_forward(const std::vector<versioned_entry>& entries) -> void;

    boost::asio::any_io_executor m_executor;
    platform_client& m_platform;
    write_id_source& m_ids;
    replica& m_replica;
    membership_service& m_members;
    const availability_zone_id m_zone;
    const milliseconds m_vm_list_interval;
    bool m_active{false};
    /** @brief Number of the current term of control; coroutines of earlier terms end. */
    std::uint64_t m_term{0};
};

} // namespace cicadalug

#endif
