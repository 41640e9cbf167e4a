#ifndef CICADALUG_DAEMON_REPLICATION_INCREMENTAL_FLEET_VIEW_HPP
#define CICADALUG_DAEMON_REPLICATION_INCREMENTAL_FLEET_VIEW_HPP

#include <cicadalug/base/finding.hpp>
#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/replication/versioned_map.hpp>

#include <map>
#include <set>
#include <string>

namespace cicadalug {

/** @brief Summary of the platform's VM list as read by the control holder of a zone: value of the key `list/{zone}`. */
struct platform_vm_list {
    /** @brief VMs that are leaving. */
    std::set<vm_id> m_leaving;
    /** @brief Listed VMs that are entry VMs. */
    std::set<entry_vm_id> m_entry_vms;

    [[nodiscard]] friend auto operator==(const platform_vm_list&, const platform_vm_list&) -> bool = default;
};

/** @brief Serializes a list as the value of its key. */
[[nodiscard]] auto to_json_text(const platform_vm_list& list) -> std::string;

/** @brief Parses the value of the key; a malformed value gives an empty list. */
[[nodiscard]] auto parse_platform_vm_list(const std::string& text) -> platform_vm_list;

/** @brief Key prefix of all resources, which every entry VM replicates. */
inline constexpr std::string_view resource_prefix{"res/"};

/** @brief Returns the key prefix of the VM records of a zone. */
[[nodiscard]] auto fleet_prefix(const availability_zone_id& zone) -> std::string;

/** @brief Returns the key of the platform's VM list as recorded by a zone. */
[[nodiscard]] auto vm_list_key(const availability_zone_id& zone) -> std::string;

/** @brief View with the data needed to update it by single keys. */
struct incremental_fleet_view {
    fleet_view m_view;
    /** @brief VMs of each shard, so that a VM that is removed from its shard is removed from the view. */
    std::map<std::string, std::set<vm_id>> m_shards;
};

/**
 * @brief Applies the change of one key to a view. A value that cannot be parsed leaves the view unchanged except for
 * its version.
 * @param target The view to update.
 * @param entry The key with its new value or tombstone.
 * @return Errors of the value, located by the key.
 */
[[nodiscard]] auto apply_entry(incremental_fleet_view& target, const versioned_entry& entry) -> findings;

} // namespace cicadalug

#endif
