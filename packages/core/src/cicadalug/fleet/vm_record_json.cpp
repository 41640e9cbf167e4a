#include <cicadalug/fleet/json_fields.hpp>
#include <cicadalug/fleet/vm_record_json.hpp>

#include <cstddef>

namespace cicadalug {

namespace {

constexpr std::string_view phase_names[]{"serving", "announced", "draining", "rebooting", "returning", "set_aside"};
constexpr std::string_view outcome_names[]{"none", "done", "not_drained", "not_returned", "withdrawn", "gone", "held"};

template<typename Value>
auto add_unless_default(nlohmann::json& json, const char* name, const Value& value, const Value& default_value) -> void
{
    if (value != default_value) {
        json[name] = value;
    }
}

} // namespace

auto to_string(const vm_phase phase) noexcept -> std::string_view
{
    return phase_names[static_cast<std::size_t>(phase)];
}

auto to_string(const operation_outcome outcome) noexcept -> std::string_view
{
    return outcome_names[static_cast<std::size_t>(outcome)];
}

auto read_value(const nlohmann::json& json, vm_phase& value) -> bool
{
    return internal::read_enum(json, phase_names, value);
}

auto read_value(const nlohmann::json& json, operation_outcome& value) -> bool
{
    return internal::read_enum(json, outcome_names, value);
}

auto vm_record_to_json(const vm_record& record) -> nlohmann::json
{
    const vm_record default_value;
    nlohmann::json json{{"vm", record.m_vm.str()},
                        {"availability_zone", record.m_availability_zone.str()},
                        {"rack", record.m_rack.str()},
                        {"pool", record.m_pool.str()},
                        {"phase", to_string(record.m_phase)}};
    add_unless_default(json, "room", record.m_room.str(), std::string{});
    add_unless_default(json, "address", record.m_address, std::string{});
    add_unless_default(json, "slots", record.m_slots, default_value.m_slots);
    add_unless_default(json, "connections", record.m_connections, default_value.m_connections);
    add_unless_default(json, "target_pool", record.m_target_pool.str(), std::string{});
    add_unless_default(json, "operation", record.m_operation.str(), std::string{});
    add_unless_default(json, "generation", record.m_generation, default_value.m_generation);
    add_unless_default(json, "announcement", record.m_announcement.value(), std::uint64_t{0});
    add_unless_default(json, "boot", record.m_boot, std::uint64_t{0});
    add_unless_default(json, "last_operation", record.m_last_operation.str(), std::string{});
    add_unless_default(json, "last_outcome", to_string(record.m_last_outcome), outcome_names[0]);
    return json;
}

auto vm_record_from_json(const nlohmann::json& json, const std::string& place, findings& found) -> vm_record
{
    vm_record record;
    internal::json_fields fields{json, place, found};
    fields.require("vm", record.m_vm);
    fields.require("availability_zone", record.m_availability_zone);
    fields.require("rack", record.m_rack);
    fields.require("pool", record.m_pool);
    fields.require("phase", record.m_phase);
    fields.optional("room", record.m_room);
    fields.optional("address", record.m_address);
    fields.optional("slots", record.m_slots);
    fields.optional("connections", record.m_connections);
    fields.optional("target_pool", record.m_target_pool);
    fields.optional("operation", record.m_operation);
    fields.optional("generation", record.m_generation);
    fields.optional("announcement", record.m_announcement);
    fields.optional("boot", record.m_boot);
    fields.optional("last_operation", record.m_last_operation);
    fields.optional("last_outcome", record.m_last_outcome);
    return record;
}

} // namespace cicadalug
