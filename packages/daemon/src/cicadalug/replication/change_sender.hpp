#ifndef CICADALUG_DAEMON_REPLICATION_CHANGE_SENDER_HPP
#define CICADALUG_DAEMON_REPLICATION_CHANGE_SENDER_HPP

#include <cicadalug/membership/membership_service.hpp>
#include <cicadalug/replication/versioned_map.hpp>

#include <vector>

namespace cicadalug {

/**
 * @brief Makes the datagram that tells a change. A value that does not fit is left out; the receiver fetches it.
 * @param entry The changed key.
 * @return The message.
 */
[[nodiscard]] auto make_record_change(const versioned_entry& entry) -> record_change;

/**
 * @brief Tells all entry VMs of the zone about changes; a lost datagram is made up for by the comparison of digests.
 * @param members Carries the datagrams.
 * @param changed The changed keys.
 */
auto send_changes_to_zone(membership_service& members, const std::vector<versioned_entry>& changed) -> void;

} // namespace cicadalug

#endif
