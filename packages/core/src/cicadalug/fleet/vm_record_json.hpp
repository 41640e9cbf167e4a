#ifndef CICADALUG_FLEET_VM_RECORD_JSON_HPP
#define CICADALUG_FLEET_VM_RECORD_JSON_HPP

#include <cicadalug/base/finding.hpp>
#include <cicadalug/fleet/vm_record.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Returns the name of a phase in JSON and logs. */
[[nodiscard]] auto to_string(vm_phase phase) noexcept -> std::string_view;

/** @brief Returns the name of an outcome in JSON and logs. */
[[nodiscard]] auto to_string(operation_outcome outcome) noexcept -> std::string_view;

/** @brief Reads a phase by its name. @return False if there is no such phase. */
[[nodiscard]] auto read_value(const nlohmann::json& json, vm_phase& value) -> bool;

/** @brief Reads an outcome by its name. @return False if there is no such outcome. */
[[nodiscard]] auto read_value(const nlohmann::json& json, operation_outcome& value) -> bool;

/**
 * @brief Serializes a VM record to JSON. Fields with their default value are omitted.
 * @param record The record.
 * @return A JSON object.
 */
[[nodiscard]] auto vm_record_to_json(const vm_record& record) -> nlohmann::json;

/**
 * @brief Parses a VM record from JSON.
 * @param json The JSON value.
 * @param place Location of the value, for findings.
 * @param found Receives all errors.
 * @return The record; unspecified if there are findings.
 */
[[nodiscard]] auto vm_record_from_json(const nlohmann::json& json, const std::string& place, findings& found)
    -> vm_record;

} // namespace cicadalug

#endif
