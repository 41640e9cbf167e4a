#ifndef CICADALUG_PLATFORM_JSON_HPP
#define CICADALUG_PLATFORM_JSON_HPP

#include <cicadalug/platform/types.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Reads a string member. @return Its value, empty if there is no such string. */
[[nodiscard]] auto string_member(const nlohmann::json& object, const char* name) -> std::string;

/** @brief Reads an unsigned integer member. @return Its value, zero if there is no such number. */
[[nodiscard]] auto unsigned_member(const nlohmann::json& object, const char* name) -> std::uint64_t;

/** @brief Parses an entry as sent by the key-value service. Missing members stay empty. */
[[nodiscard]] auto kv_entry_from_json(const nlohmann::json& object) -> kv_entry;

/** @brief Parses the response to a read by prefix. */
[[nodiscard]] auto kv_range_from_json(const nlohmann::json& object) -> kv_range;

/** @brief Parses the list of VMs. Entries without a VM id are skipped. */
[[nodiscard]] auto platform_vms_from_json(const nlohmann::json& object) -> std::vector<platform_vm>;

/** @brief Creates the request body of a write. */
[[nodiscard]] auto to_json(const kv_write& write) -> nlohmann::json;

} // namespace cicadalug

#endif
