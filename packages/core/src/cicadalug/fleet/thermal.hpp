#ifndef CICADALUG_FLEET_THERMAL_HPP
#define CICADALUG_FLEET_THERMAL_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/model/service.hpp>

#include <map>
#include <optional>
#include <vector>

namespace cicadalug {

/** @brief One service in a room. */
struct room_service {
    service_id m_id;
    /** @brief Steps in the declared order. */
    std::vector<degradation_step> m_degradation_steps;
    /** @brief VMs of the service in the room that serve when nothing is bent. */
    int m_vms{0};
    /** @brief VMs of the room that may stop serving without breaking the promise of the service. */
    int m_spare_vms{0};
};

/** @brief A room and what draws power in it. */
struct room_load {
    watts m_limit;
    /** @brief Power that the room would draw if no service were bent. */
    watts m_unbent_draw;
    std::vector<room_service> m_services;
};

/** @brief Number of VMs on each step of the bend of a service, in the declared order. */
using bend_levels = std::map<service_id, std::vector<int>>;

/** @brief How the services of a room degrade. */
struct thermal_plan {
    bend_levels m_levels;
    watts m_saved;
    /** @brief Power above the limit that remains although every allowed step is taken; zero if the limit is met. */
    watts m_missed_by;
};

/**
 * @brief Plans for a limit. A step of a service is taken only when the steps declared before it are used up.
 * Checkpointing and stopping take VMs out of service, so they stay within the spare VMs; throttling does not. Among
 * services, the step of the mildest kind goes first, then the one that saves most per VM, so that few VMs are affected.
 * Steps that turn out to be unnecessary are taken back.
 * @param load The room.
 * @param limit Power to reach.
 * @return The plan, with the power by which the limit is missed.
 */
[[nodiscard]] auto plan_room(const room_load& load, watts limit) -> thermal_plan;

/** @brief Plan in force in a room, with the hysteresis of the way back. */
struct thermal_state {
    thermal_plan m_plan;
    /** @brief Since when the room could do with less than the plan in force. */
    std::optional<time_point> m_relax_since;
};

/**
 * @brief Brings the plan of a room up to date. More is given up at once. Capacity returns only after the room could do
 * with less, with a margin below the limit, for a while without a break.
 * @param state State of the room.
 * @param load The room now.
 * @param now Present time.
 */
auto step_room(thermal_state& state, const room_load& load, time_point now) -> void;

} // namespace cicadalug

#endif
