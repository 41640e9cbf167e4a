#ifndef CICADALUG_FLEET_VM_SHARD_HPP
#define CICADALUG_FLEET_VM_SHARD_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/result.hpp>
#include <cicadalug/fleet/vm_record.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief A record takes about 400 bytes of JSON, so a full shard stays below 1 MB, the size limit of a value. */
inline constexpr std::size_t max_vms_per_shard = 256;

/** @brief Value of one key `fleet/{zone}/{shard}`: a part of the VM records of an availability zone. */
struct vm_shard {
    /** @brief Epoch of the control holder that wrote the shard. */
    epoch m_epoch;
    /** @brief The write that produced this value. */
    write_id m_write_id;
    std::map<vm_id, vm_record> m_vms;

    [[nodiscard]] friend auto operator==(const vm_shard&, const vm_shard&) -> bool = default;
};

/**
 * @brief Returns the key of a shard.
 * @param zone Availability zone of the VMs.
 * @param shard Number of the shard in the zone, from 0.
 */
[[nodiscard]] auto vm_shard_key(const availability_zone_id& zone, std::size_t shard) -> std::string;

/** @brief Serializes a shard to JSON. */
[[nodiscard]] auto vm_shard_to_json(const vm_shard& shard) -> nlohmann::json;

/**
 * @brief Parses a shard from JSON.
 * @param json Value of a key `fleet/{zone}/{shard}`.
 * @return The shard, or all errors with their locations.
 */
[[nodiscard]] auto parse_vm_shard(const nlohmann::json& json) -> result<vm_shard>;

/**
 * @brief Assigns shards to VMs that have no record yet. A VM never changes its shard, because a change of two keys
 * would not be atomic.
 * @param sizes Number of VMs in each shard, by shard number.
 * @param count Number of new VMs.
 * @return Shard number of each new VM; a number that is not in use denotes a new shard.
 */
[[nodiscard]] auto assign_shards(std::vector<std::size_t> sizes, std::size_t count) -> std::vector<std::size_t>;

} // namespace cicadalug

#endif
