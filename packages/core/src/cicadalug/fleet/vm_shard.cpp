#include <cicadalug/fleet/json_fields.hpp>
#include <cicadalug/fleet/vm_record_json.hpp>
#include <cicadalug/fleet/vm_shard.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

auto vm_shard_key(const availability_zone_id& zone, const std::size_t shard) -> std::string
{
    return "fleet/" + zone.str() + '/' + std::to_string(shard);
}

auto vm_shard_to_json(const vm_shard& shard) -> nlohmann::json
{
    auto vms = nlohmann::json::array();
    for (const auto& [id, record] : shard.m_vms) {
        vms.push_back(vm_record_to_json(record));
    }
    return {{"epoch", shard.m_epoch.value()}, {"write_id", shard.m_write_id.str()}, {"vms", std::move(vms)}};
}

auto parse_vm_shard(const nlohmann::json& json) -> result<vm_shard>
{
    vm_shard shard;
    findings found;
    internal::json_fields fields{json, {}, found};
    fields.require("epoch", shard.m_epoch);
    fields.require("write_id", shard.m_write_id);
    std::size_t index = 0;
    for (const auto& item : fields.array("vms")) {
        const auto place = fields.place_of("vms", index++);
        auto record = vm_record_from_json(item, place, found);
        const auto id = record.m_vm;
        if (!shard.m_vms.emplace(id, std::move(record)).second) {
            found.add(place + ".vm", "VM '" + id.str() + "' occurs twice");
        }
    }
    if (shard.m_vms.size() > max_vms_per_shard) {
        found.add("vms", "has more than " + std::to_string(max_vms_per_shard) + " VMs");
    }
    if (!found.empty()) {
        return found;
    }
    return shard;
}

auto assign_shards(std::vector<std::size_t> sizes, const std::size_t count) -> std::vector<std::size_t>
{
    std::vector<std::size_t> chosen;
    chosen.reserve(count);
    std::size_t shard = 0;
    while (chosen.size() < count) {
        if (shard == sizes.size()) {
            sizes.push_back(0);
        }
        if (sizes[shard] < max_vms_per_shard) {
            ++sizes[shard];
            chosen.push_back(shard);
        }
        else {
            ++shard;
        }
    }
    return chosen;
}

} // namespace cicadalug
