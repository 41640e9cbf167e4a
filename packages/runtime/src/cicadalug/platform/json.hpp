#ifndef CICADALUG_PLATFORM_JSON_HPP
#define CICADALUG_PLATFORM_JSON_HPP

#include <cicadalug/platform/types.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Reads a text member. @return The text, empty if there is none. */
[[nodiscard]] auto text_member(const nlohmann::json& object, const char* name) -> std::string;

/** @brief Reads a number member. @return The number, zero if there is none. */
[[nodiscard]] auto unsigned_member(const nlohmann::json& object, const char* name) -> std::uint64_t;

/** @brief Reads an entry as the key-value service sends it. Missing members stay empty. */
[[nodiscard]] auto kv_entry_from_json(const nlohmann::json& object) -> kv_entry;

/** @brief Reads the answer to a read by prefix. */
[[nodiscard]] auto kv_range_from_json(const nlohmann::json& object) -> kv_range;

/** @brief Reads the list of VMs. Entries without a name are left out. */
[[nodiscard]] auto platform_vms_from_json(const nlohmann::json& object) -> std::vector<platform_vm>;

/** @brief Makes the body of a write. */
[[nodiscard]] auto to_json(const kv_write& write) -> nlohmann::json;

} // namespace cicadalug

#endif
