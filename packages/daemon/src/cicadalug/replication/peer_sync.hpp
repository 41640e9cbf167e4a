#ifndef CICADALUG_DAEMON_REPLICATION_PEER_SYNC_HPP
#define CICADALUG_DAEMON_REPLICATION_PEER_SYNC_HPP

#include <cicadalug/membership/membership_service.hpp>
#include <cicadalug/platform/platform_client.hpp>
#include <cicadalug/replication/replica.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace cicadalug {

/**
 * @brief Keeps the replicas of the entry VMs consistent without the platform: loads the configuration at startup from a
 * peer or else from the platform, merges changes received from peers, and compares digests with each heartbeat.
 * @note Thread safety: all functions are called on the executor.
 */
class peer_sync {
public:
    /**
     * @brief Constructs the service.
     * @param executor Runs the transfers; a strand if the context has several threads.
     * @param platform Client of the platform.
     * @param local_replica The replica of this entry VM.
     * @param members Table of the peers.
     * @param zone Zone of the replica.
     */
    peer_sync(const boost::asio::any_io_executor& executor, platform_client& platform, replica& local_replica,
              membership_service& members, const availability_zone_id& zone);

    /** @brief Loads the configuration; retries without a time limit. */
    [[nodiscard]] auto load() -> boost::asio::awaitable<void>;

    /** @brief Handles a datagram of a peer. */
    auto receive(const datagram& message) -> void;

    /** @brief Sets the version and digest of a heartbeat. */
    auto fill_heartbeat(const availability_zone_id& receiver_zone, heartbeat& filled) const -> void;

private:
    struct peer_comparison {
        /** @brief Own folded digest at the last heartbeat, that of the peer, and the score of their differences. */
        std::uint64_t m_own_digest{0};
        std::uint64_t m_peer_digest{0};
        int m_difference_score{0};
        bool m_is_transferring{false};
    };

    [[nodiscard]] auto load_from_peers(bool own_zone) -> boost::asio::awaitable<bool>;
    [[nodiscard]] auto load_from_platform() -> boost::asio::awaitable<bool>;
    [[nodiscard]] auto fetch(entry_vm_id peer, std::string query, milliseconds timeout) -> boost::asio::awaitable<bool>;
    [[nodiscard]] auto reconcile(entry_vm_id peer) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto fetch_value(entry_vm_id peer, std::string key) -> boost::asio::awaitable<void>;
    [[nodiscard]] auto scope_for(const availability_zone_id& zone) const -> replica_scope;
    auto compare_digests(const heartbeat& received) -> void;

    boost::asio::any_io_executor m_executor;
    platform_client& m_platform;
    replica& m_replica;
    membership_service& m_members;
    const availability_zone_id m_zone;
    std::map<entry_vm_id, peer_comparison> m_comparisons;
};

} // namespace cicadalug

#endif
