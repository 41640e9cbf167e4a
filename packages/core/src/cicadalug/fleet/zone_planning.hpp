#ifndef CICADALUG_FLEET_ZONE_PLANNING_HPP
#define CICADALUG_FLEET_ZONE_PLANNING_HPP

#include <cicadalug/fleet/planner.hpp>
#include <cicadalug/fleet/zone_control.hpp>

#include <map>

namespace cicadalug {

/**
 * @brief Describes the pools of a zone for the planner, from the records and ledgers of the control holder.
 * @param state What the control holder knows.
 * @param view Resources.
 * @param needed VMs of each pool that present demand needs in the zone.
 * @return One entry for each pool of the view. The promise of a pool is divided among the zones by their members.
 */
[[nodiscard]] auto zone_demands(const zone_control_state& state, const fleet_view& view,
                                const std::map<pool_id, int>& needed) -> std::map<pool_id, pool_demand>;

/**
 * @brief Plans the moves of one zone between its pools and the spare pool. Without a spare pool nothing moves.
 * @param planner What the planner remembers; a new control holder begins anew, which only delays moves.
 * @param state What the control holder knows.
 * @param view Resources, the weights among them.
 * @param needed VMs of each pool that present demand needs in the zone.
 * @param now Present time.
 * @return Target pool of each VM to move.
 */
[[nodiscard]] auto plan_zone(planner_state& planner, const zone_control_state& state, const fleet_view& view,
                             const std::map<pool_id, int>& needed, time_point now) -> std::map<vm_id, pool_id>;

} // namespace cicadalug

#endif
