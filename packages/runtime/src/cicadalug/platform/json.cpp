#include <cicadalug/platform/json.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

using nlohmann::json;

[[nodiscard]] auto bool_member(const json& object, const char* name) -> bool
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

[[nodiscard]] auto count_member(const json& object, const char* name) -> int
{
    constexpr std::uint64_t limit{1'000'000};
    return static_cast<int>(std::min(unsigned_member(object, name), limit));
}

[[nodiscard]] auto platform_vm_from_json(const json& object) -> platform_vm
{
    platform_vm vm;
    vm.m_vm = vm_id{string_member(object, "vm")};
    vm.m_availability_zone = availability_zone_id{string_member(object, "availability_zone")};
    vm.m_rack = rack_id{string_member(object, "rack")};
    vm.m_room = room_id{string_member(object, "room")};
    vm.m_address = string_member(object, "address");
    vm.m_slots = count_member(object, "slots");
    vm.m_connections = count_member(object, "connections");
    vm.m_pool = pool_id{string_member(object, "pool")};
    vm.m_leaving = bool_member(object, "leaving");
    vm.m_boot = unsigned_member(object, "boot");
    return vm;
}

} // namespace

auto string_member(const json& object, const char* name) -> std::string
{
    if (!object.is_object()) {
        return {};
    }
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

auto unsigned_member(const json& object, const char* name) -> std::uint64_t
{
    if (!object.is_object()) {
        return 0;
    }
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

auto kv_entry_from_json(const json& object) -> kv_entry
{
    return {string_member(object, "key"),
            string_member(object, "value"),
            version{unsigned_member(object, "version")},
            write_id{string_member(object, "write_id")},
            lease_id{string_member(object, "lease")},
            object.is_object() && bool_member(object, "deleted")};
}

auto kv_range_from_json(const json& object) -> kv_range
{
    kv_range range{version{unsigned_member(object, "revision")}, {}};
    const auto entries = object.find("entries");
    if (entries != object.end() && entries->is_array()) {
        for (const auto& entry : *entries) {
            range.m_entries.push_back(kv_entry_from_json(entry));
        }
    }
    return range;
}

auto platform_vms_from_json(const json& object) -> std::vector<platform_vm>
{
    std::vector<platform_vm> vms;
    const auto list = object.find("vms");
    if (list != object.end() && list->is_array()) {
        for (const auto& item : *list) {
            if (!string_member(item, "vm").empty()) {
                vms.push_back(platform_vm_from_json(item));
            }
        }
    }
    return vms;
}

auto to_json(const kv_write& write) -> json
{
    return {{"value", write.m_value},
            {"expected_version", write.m_expected.value()},
            {"write_id", write.m_write_id.str()},
            {"lease", write.m_lease.str()}};
}

} // namespace cicadalug
