#ifndef CICADALUG_DAEMON_REPLICATION_INCREMENTAL_FLEET_VIEW_HPP
#define CICADALUG_DAEMON_REPLICATION_INCREMENTAL_FLEET_VIEW_HPP

#include <cicadalug/base/finding.hpp>
#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/replication/versioned_map.hpp>

#include <map>
#include <set>
#include <string>

namespace cicadalug {

/** @brief What the platform's list said to the control holder of a zone: value of the key `list/{zone}`. */
struct platform_vm_list {
    /** @brief VMs that are leaving. */
    std::set<vm_id> m_leaving;
    /** @brief Listed VMs that are entry VMs. */
    std::set<entry_vm_id> m_entry_vms;

    [[nodiscard]] friend auto operator==(const platform_vm_list&, const platform_vm_list&) -> bool = default;
};

/** @brief Writes a list as the value of its key. */
[[nodiscard]] auto to_json_text(const platform_vm_list& list) -> std::string;

/** @brief Reads the value of the key; a wrong value gives an empty list. */
[[nodiscard]] auto parse_platform_vm_list(const std::string& text) -> platform_vm_list;

/** @brief Prefix of all resources; every entry VM has them. */
inline constexpr std::string_view resource_prefix{"res/"};

/** @brief Returns the prefix of the VM records of a zone. */
[[nodiscard]] auto fleet_prefix(const availability_zone_id& zone) -> std::string;

/** @brief Returns the key of the platform's list as a zone knows it. */
[[nodiscard]] auto vm_list_key(const availability_zone_id& zone) -> std::string;

/** @brief View with what is needed to change it by one key. */
struct incremental_fleet_view {
    fleet_view m_view;
    /** @brief VMs of each shard, so that a VM that left its shard leaves the view. */
    std::map<std::string, std::set<vm_id>> m_shards;
};

/**
 * @brief Changes a view by one key. A value that cannot be read leaves the view as it is, but for its version.
 * @param parts The view.
 * @param entry The key with its new value or tombstone.
 * @return Faults of the value with the key as their place.
 */
[[nodiscard]] auto apply_entry(incremental_fleet_view& target, const versioned_entry& entry) -> findings;

} // namespace cicadalug

#endif
