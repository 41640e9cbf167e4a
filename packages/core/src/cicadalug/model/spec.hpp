#ifndef CICADALUG_MODEL_SPEC_HPP
#define CICADALUG_MODEL_SPEC_HPP

#include <cicadalug/base/finding.hpp>
#include <cicadalug/model/fwd.hpp>

#include <nlohmann/json.hpp>

namespace cicadalug {

/**
 * @brief Returns the spec of an aggregate. The id is not part of the spec, since it is the name of the resource.
 * @param item The aggregate.
 * @return A JSON object; durations are in milliseconds and powers in watts, as the member names state.
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
 * @brief Reads the spec of an aggregate. Members that the spec omits keep their value in the aggregate.
 * @param spec The JSON value.
 * @param item Aggregate that receives the values; its id is unchanged. Single values with an error keep their value in
 * the aggregate, lists with an error are replaced.
 * @return All errors with their location: unknown and missing members, wrong types, values out of range.
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
