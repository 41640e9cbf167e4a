#ifndef CICADALUG_FLEET_ZONE_CONTROL_STEP_HPP
#define CICADALUG_FLEET_ZONE_CONTROL_STEP_HPP

#include <cicadalug/fleet/zone_control.hpp>

namespace cicadalug {

/**
 * @brief Takes in the value of a key after a read or after an own write that succeeded; a write of it is then over.
 * @param state State of the holder.
 * @param key A key below `fleet/{zone}/`, `budget/` or `wave/{zone}/`; others are ignored.
 * @param at Version of the value; zero if the key does not exist.
 * @param value The value.
 * @return Faults of the value; the copy is then unchanged, and the key stays closed for steps.
 */
[[nodiscard]] auto apply_value(zone_control_state& state, const std::string& key, version at,
                               const nlohmann::json& value) -> findings;

/**
 * @brief Takes in a change seen on a watch. It is passed over while a write of the key is under way, because the answer
 * of the write brings the newer value.
 */
[[nodiscard]] auto apply_change(zone_control_state& state, const std::string& key, version at,
                                const nlohmann::json& value) -> findings;

/**
 * @brief Ends a write whose outcome had to be found out by reading the key again: the answer was lost, or another
 * write came first.
 * @param state State of the holder.
 * @param write The write.
 * @param at Version that was read afterwards; zero if the key does not exist.
 * @param value Value that was read.
 * @return Faults of the value.
 */
[[nodiscard]] auto apply_reread(zone_control_state& state, const zone_control_write& write, version at,
                                const nlohmann::json& value) -> findings;

/**
 * @brief Takes one control step for a zone.
 *
 * Each step derives its writes from the durable values alone, so it can be repeated by the same or another holder at
 * any point. A VM is announced only when the copies of all ledgers of its pool show its charge; a charge is released
 * only when the copy of the record shows that the operation ended.
 * @param state State of the holder; each key written is in flight afterwards.
 * @param inputs What the holder sees.
 * @param now Present time.
 * @return The writes and reboots. Nothing while a write is in flight or when the holder is fenced.
 */
[[nodiscard]] auto zone_control_step(zone_control_state& state, const zone_control_inputs& inputs, time_point now)
    -> zone_control_effects;

} // namespace cicadalug

#endif
