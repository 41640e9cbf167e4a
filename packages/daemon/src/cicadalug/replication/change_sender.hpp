#ifndef CICADALUG_DAEMON_REPLICATION_CHANGE_SENDER_HPP
#define CICADALUG_DAEMON_REPLICATION_CHANGE_SENDER_HPP

#include <cicadalug/membership/membership_service.hpp>
#include <cicadalug/replication/versioned_map.hpp>

#include <vector>

namespace cicadalug {

/**
 * @brief Makes the datagram that announces a change. A value that does not fit is omitted; the receiver fetches it.
 * @param entry The changed key.
 * @return The message.
 */
[[nodiscard]] auto make_record_change(const versioned_entry& entry) -> record_change;

/**
 * @brief Sends changes to all entry VMs of the zone. A lost datagram is repaired by the comparison of digests.
 * @param members Sends the datagrams.
 * @param changed The changed keys.
 */
auto send_changes_to_zone(membership_service& members, const std::vector<versioned_entry>& changed) -> void;

} // namespace cicadalug

#endif
