#ifndef CICADALUG_DAEMON_REPLICATION_SNAPSHOT_HPP
#define CICADALUG_DAEMON_REPLICATION_SNAPSHOT_HPP

#include <cicadalug/http/message.hpp>
#include <cicadalug/http/target.hpp>
#include <cicadalug/replication/replica.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Request path for the transfer of entries between entry VMs. */
inline constexpr std::string_view snapshot_path{"/internal/snapshot"};

/**
 * @brief Makes the response to a request for entries: `above={version}`, `digest={hex}` or `key={key}`, with the zone
 * of the requesting entry VM in `zone`. VM records are returned only to entry VMs of the same zone.
 * @param local_replica The replica.
 * @param zone Zone of the replica.
 * @param target The request.
 * @return The entries as JSON, or 503 until the replica has loaded a complete configuration.
 */
[[nodiscard]] auto snapshot_response(const replica& local_replica, const availability_zone_id& zone,
                                     const http_target& target) -> http_response;

/** @brief Parses the body of a snapshot_response(). @return The entries, or nullopt if the text is malformed. */
[[nodiscard]] auto parse_snapshot(const std::string& text) -> std::optional<std::vector<versioned_entry>>;

} // namespace cicadalug

#endif
