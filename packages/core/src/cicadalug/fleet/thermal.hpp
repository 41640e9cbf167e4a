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
    /** @brief Degradation steps in the declared order. */
    std::vector<degradation_step> m_degradation_steps;
    /** @brief VMs of the service in the room that serve requests when the service is not degraded. */
    int m_vms{0};
    /** @brief VMs of the room that can stop serving without breaking the promised capacity of the service. */
    int m_spare_vms{0};
};

/** @brief Power limit of a room and the services that draw power in it. */
struct room_load {
    watts m_limit;
    /** @brief Power that the room would draw if no service were degraded. */
    watts m_undegraded_draw;
    std::vector<room_service> m_services;
};

/** @brief Number of VMs at each degradation step of a service, in the declared order. */
using degradation_levels = std::map<service_id, std::vector<int>>;

/** @brief Degradation of the services of a room. */
struct thermal_plan {
    degradation_levels m_levels;
    watts m_saved;
    /** @brief Power above the limit that remains after every allowed step is taken; zero if the limit is met. */
    watts m_shortfall;
};

/**
 * @brief Plans the degradation of a room for a power limit. A step of a service is taken only when the steps declared
 * before it are exhausted. Checkpointing and stopping take VMs out of service, so they are limited to the spare VMs;
 * throttling is not. Among services, the step with the least severe action is taken first, then the one that saves the
 * most power per VM, so that few VMs are affected. Steps that turn out to be unnecessary are reverted.
 * @param load The room.
 * @param limit Power limit to meet.
 * @return The plan, with the power by which it misses the limit.
 */
[[nodiscard]] auto plan_degradation(const room_load& load, watts limit) -> thermal_plan;

/** @brief Plan in effect in a room, with the hysteresis for returning capacity. */
struct thermal_state {
    thermal_plan m_plan;
    /** @brief Time since which a plan with less degradation would have met the limit with a margin. */
    std::optional<time_point> m_margin_since;
};

/**
 * @brief Updates the plan of a room. Additional degradation takes effect at once. Capacity returns only after a plan
 * with less degradation would have kept the room below the limit, with a margin, for an uninterrupted time.
 * @param state State of the room.
 * @param load Current load of the room.
 * @param now Current time.
 */
auto update_thermal_state(thermal_state& state, const room_load& load, time_point now) -> void;

} // namespace cicadalug

#endif
