#ifndef CICADALUG_FLEET_ZONE_PLANNING_HPP
#define CICADALUG_FLEET_ZONE_PLANNING_HPP

#include <cicadalug/fleet/planner.hpp>
#include <cicadalug/fleet/zone_control.hpp>

#include <map>

namespace cicadalug {

/**
 * @brief Computes the demand of the pools of a zone for the planner from the records and ledgers of the control holder.
 * @param state State of the control holder.
 * @param view Resources.
 * @param needed Number of VMs of each pool that the current demand requires in the zone.
 * @return One entry for each pool of the view. The promised capacity of a pool is divided among the zones in proportion
 * to their members.
 */
[[nodiscard]] auto zone_demands(const zone_control_state& state, const fleet_view& view,
                                const std::map<pool_id, int>& needed) -> std::map<pool_id, pool_demand>;

/**
 * @brief Plans the moves of one zone between its pools and the spare pool. Without a spare pool no VM is moved.
 * @param planner State of the planner; a new control holder starts with an empty state, which only delays moves.
 * @param state State of the control holder.
 * @param view Resources, including the weights.
 * @param needed Number of VMs of each pool that the current demand requires in the zone.
 * @param now Current time.
 * @return Target pool of each VM to move.
 */
[[nodiscard]] auto plan_zone(planner_state& planner, const zone_control_state& state, const fleet_view& view,
                             const std::map<pool_id, int>& needed, time_point now) -> std::map<vm_id, pool_id>;

} // namespace cicadalug

#endif
