#ifndef CICADALUG_FLEET_ZONE_CONTROL_STEP_HPP
#define CICADALUG_FLEET_ZONE_CONTROL_STEP_HPP

#include <cicadalug/fleet/zone_control.hpp>

namespace cicadalug {

/**
 * @brief Applies the value of a key after a read or after a successful write by this holder; a write of the key is then
 * no longer in flight.
 * @param state State of the holder.
 * @param key A key below `fleet/{zone}/`, `budget/` or `wave/{zone}/`; others are ignored.
 * @param at Version of the value; zero if the key does not exist.
 * @param value The value.
 * @return Errors of the value. If there are any, the copy is unchanged and a write of the key stays in flight, which
 * blocks further steps.
 */
[[nodiscard]] auto apply_value(zone_control_state& state, const std::string& key, version at,
                               const nlohmann::json& value) -> findings;

/**
 * @brief Applies a change received from a watch. It is ignored while a write of the key is in flight or uncertain,
 * because the response to the write brings the newer value.
 */
[[nodiscard]] auto apply_change(zone_control_state& state, const std::string& key, version at,
                                const nlohmann::json& value) -> findings;

/**
 * @brief Completes a write whose outcome had to be determined by reading the key again, because the response was lost
 * or another write was applied first.
 * @param state State of the holder.
 * @param write The write.
 * @param at Version that was read afterwards; zero if the key does not exist.
 * @param value Value that was read.
 * @return Errors of the value.
 */
[[nodiscard]] auto apply_reread(zone_control_state& state, const zone_control_write& write, version at,
                                const nlohmann::json& value) -> findings;

/**
 * @brief Runs one control step for a zone.
 *
 * Each step derives its writes from the durable values alone, so it can be repeated by the same or another holder at
 * any point. A VM is announced only when the copies of all ledgers of its pool contain its charge; a charge is released
 * only when the copy of the record shows that the operation ended.
 * @param state State of the holder; each key written is in flight afterwards.
 * @param inputs Observations of the holder.
 * @param now Current time.
 * @return The writes and reboots; empty while a write is in flight or if the holder is fenced.
 */
[[nodiscard]] auto zone_control_step(zone_control_state& state, const zone_control_inputs& inputs, time_point now)
    -> zone_control_effects;

} // namespace cicadalug

#endif
