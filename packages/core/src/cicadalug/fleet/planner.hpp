#ifndef CICADALUG_FLEET_PLANNER_HPP
#define CICADALUG_FLEET_PLANNER_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/fleet/vm_record.hpp>
#include <cicadalug/model/planning_policy.hpp>

#include <map>
#include <optional>
#include <vector>

namespace cicadalug {

/** @brief One pool as the planner sees it. Numbers are VMs of one zone. */
struct pool_demand {
    /** @brief VMs that present demand would keep busy; may be above the members. */
    double m_needed{0.0};
    int m_members{0};
    /** @brief Members that budgets allow to leave the pool. */
    int m_movable{0};
    /** @brief Largest promised capacity of the services of the pool. */
    int m_promised{0};
};

/** @brief What the planner remembers. */
struct planner_state {
    struct entry {
        /** @brief Average demand over the term that the policy makes lasting. */
        double m_lasting{0.0};
        std::optional<time_point> m_short_since;
        /** @brief A pool that gave VMs back at once would be short again with the next change of demand. */
        std::optional<time_point> m_idle_since;
    };
    /** @brief A VM that was chosen for a move and is not announced yet. */
    struct pending_move {
        pool_id m_from;
        pool_id m_to;
        time_point m_since;
    };
    std::map<pool_id, entry> m_pools;
    std::map<vm_id, pending_move> m_pending;
    /** @brief Highest overflow of all pools together, decaying; it sets the size of the spare pool. */
    double m_overflow_peak{0.0};
    std::optional<time_point> m_last;
};

/** @brief What the planner wants. */
struct move_plan {
    struct transfer {
        pool_id m_from;
        pool_id m_to;
        int m_vms{0};
    };
    std::vector<transfer> m_transfers;
    /** @brief VMs that the spare pool should have. */
    int m_spare_size{0};
};

/**
 * @brief Returns the time for which demand has to last before a VM moves for it.
 * @param policy Weights. A high weight of moves makes the time longer, a high weight of buffer shorter.
 */
[[nodiscard]] auto lasting_term(const planning_policy& policy) noexcept -> seconds;

/**
 * @brief Plans the size of the spare pool and the moves. Surges of seconds are left to routing, which sends them to the
 * spare pool; since pools surge in turn, one shared spare pool serves all of them.
 * @param state State to change.
 * @param pools All pools of the zone but the spare pool.
 * @param spare The spare pool's id.
 * @param spare_demand The spare pool itself.
 * @param policy Weights.
 * @param now Present time.
 * @return Moves from and to the spare pool. A VM leaves a pool only within its movable VMs.
 */
[[nodiscard]] auto plan_moves(planner_state& state, const std::map<pool_id, pool_demand>& pools, const pool_id& spare,
                              const pool_demand& spare_demand, const planning_policy& policy, time_point now)
    -> move_plan;

/**
 * @brief Chooses VMs for the transfers of a plan. A choice is kept until the VM is announced or a time limit passes:
 * the charge of a chosen VM lowers the movable VMs, so that the next plan alone would take the choice back.
 * @param state State to change.
 * @param plan The plan.
 * @param vms All VM records of the zone.
 * @param now Present time.
 * @return Target pool of each VM to move.
 */
[[nodiscard]] auto choose_moves(planner_state& state, const move_plan& plan,
                                const std::map<vm_id, const vm_record*>& vms, time_point now)
    -> std::map<vm_id, pool_id>;

} // namespace cicadalug

#endif
