#ifndef CICADALUG_DAEMON_REPLICATION_SNAPSHOT_HPP
#define CICADALUG_DAEMON_REPLICATION_SNAPSHOT_HPP

#include <cicadalug/http/message.hpp>
#include <cicadalug/http/target.hpp>
#include <cicadalug/replication/replica.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Target of the transfer of entries between entry VMs. */
inline constexpr std::string_view snapshot_path{"/internal/snapshot"};

/**
 * @brief Answers a request for entries: `above={version}`, `digest={hex}` or `key={key}`, with the zone of the asking
 * entry VM in `zone`, which gets the VM records only of its own zone.
 * @param copy The copy.
 * @param zone Zone of the copy.
 * @param target The request.
 * @return The entries as JSON, or 503 as long as the copy has not learned a whole configuration.
 */
[[nodiscard]] auto snapshot_response(const replica& local_replica, const availability_zone_id& zone,
                                     const http_target& target) -> http_response;

/** @brief Reads an answer of snapshot_response(). @return The entries, or nothing if the text is none. */
[[nodiscard]] auto parse_snapshot(const std::string& text) -> std::optional<std::vector<versioned_entry>>;

} // namespace cicadalug

#endif
