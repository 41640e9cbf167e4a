#ifndef CICADALUG_MODEL_SPEC_HPP
#define CICADALUG_MODEL_SPEC_HPP

#include <cicadalug/base/finding.hpp>
#include <cicadalug/model/fwd.hpp>

#include <nlohmann/json.hpp>

namespace cicadalug {

/**
 * @brief Returns the spec of an aggregate. The id is not part of it: it is the name of the resource.
 * @param item The aggregate.
 * @return A JSON object; durations are in ms and powers in watts, as their member names say.
 */
[[nodiscard]] auto to_spec(const pool& item) -> nlohmann::json;
/** @copydoc to_spec(const pool&) */
[[nodiscard]] auto to_spec(const service& item) -> nlohmann::json;
/** @copydoc to_spec(const pool&) */
[[nodiscard]] auto to_spec(const wave& item) -> nlohmann::json;
/** @copydoc to_spec(const pool&) */
[[nodiscard]] auto to_spec(const team& item) -> nlohmann::json;
/** @copydoc to_spec(const pool&) */
[[nodiscard]] auto to_spec(const room& item) -> nlohmann::json;
/** @copydoc to_spec(const pool&) */
[[nodiscard]] auto to_spec(const vm_assignment& item) -> nlohmann::json;
/** @copydoc to_spec(const pool&) */
[[nodiscard]] auto to_spec(const planning_policy& item) -> nlohmann::json;

/**
 * @brief Reads the spec of an aggregate. Members that are left out keep the value they have in the aggregate.
 * @param spec The JSON value.
 * @param item Gets the values; its id is left as it is. After a finding, members at fault keep their value.
 * @return All faults with their place: unknown and missing members, wrong types, values out of range.
 */
[[nodiscard]] auto read_spec(const nlohmann::json& spec, pool& item) -> findings;
/** @copydoc read_spec(const nlohmann::json&,pool&) */
[[nodiscard]] auto read_spec(const nlohmann::json& spec, service& item) -> findings;
/** @copydoc read_spec(const nlohmann::json&,pool&) */
[[nodiscard]] auto read_spec(const nlohmann::json& spec, wave& item) -> findings;
/** @copydoc read_spec(const nlohmann::json&,pool&) */
[[nodiscard]] auto read_spec(const nlohmann::json& spec, team& item) -> findings;
/** @copydoc read_spec(const nlohmann::json&,pool&) */
[[nodiscard]] auto read_spec(const nlohmann::json& spec, room& item) -> findings;
/** @copydoc read_spec(const nlohmann::json&,pool&) */
[[nodiscard]] auto read_spec(const nlohmann::json& spec, vm_assignment& item) -> findings;
/** @copydoc read_spec(const nlohmann::json&,pool&) */
[[nodiscard]] auto read_spec(const nlohmann::json& spec, planning_policy& item) -> findings;

} // namespace cicadalug

#endif
