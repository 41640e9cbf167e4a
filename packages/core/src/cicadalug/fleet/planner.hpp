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

/** @brief Demand and members of one pool in one zone, in VMs. */
struct pool_demand {
    /** @brief VMs that the current demand would keep busy; may exceed the members. */
    double m_needed{0.0};
    int m_members{0};
    /** @brief Members that the availability budgets allow to leave the pool. */
    int m_movable{0};
    /** @brief Largest promised capacity of the services of the pool. */
    int m_promised{0};
};

/** @brief State that the planner keeps between plans. */
struct planner_state {
    struct pool_state {
        /** @brief Exponential moving average of the demand over averaging_period(). */
        double m_sustained_demand{0.0};
        std::optional<time_point> m_shortage_since;
        /**
         * @brief Start of the idle time. A pool that returned idle VMs at once would be short of VMs again at the next
         * change of demand.
         */
        std::optional<time_point> m_idle_since;
    };
    /** @brief A VM that was selected for a move and is not announced yet. */
    struct pending_move {
        pool_id m_from;
        pool_id m_to;
        time_point m_since;
    };
    std::map<pool_id, pool_state> m_pools;
    std::map<vm_id, pending_move> m_pending;
    /** @brief Decaying peak of the total overflow of all pools, in VMs; determines the size of the spare pool. */
    double m_overflow_peak{0.0};
    std::optional<time_point> m_last_update;
};

/** @brief Moves and spare pool size computed by the planner. */
struct move_plan {
    struct transfer {
        pool_id m_from;
        pool_id m_to;
        int m_vms{0};
    };
    std::vector<transfer> m_transfers;
    /** @brief Target size of the spare pool, in VMs. */
    int m_spare_size{0};
};

/**
 * @brief Returns the time for which demand has to be sustained before a VM is moved for it.
 * @param policy Weights. A high weight of moves makes the time longer, a high weight of the buffer makes it shorter.
 */
[[nodiscard]] auto averaging_period(const planning_policy& policy) noexcept -> seconds;

/**
 * @brief Plans the size of the spare pool and the moves. Surges of seconds are handled by routing, which sends them to
 * the spare pool; because pools surge one after another, one shared spare pool is sufficient for all of them.
 * @param state State to update.
 * @param pools All pools of the zone except the spare pool.
 * @param spare Id of the spare pool.
 * @param spare_demand Demand and members of the spare pool.
 * @param policy Weights.
 * @param now Current time.
 * @return Moves from and to the spare pool. No more VMs leave a pool than are movable.
 */
[[nodiscard]] auto plan_moves(planner_state& state, const std::map<pool_id, pool_demand>& pools, const pool_id& spare,
                              const pool_demand& spare_demand, const planning_policy& policy, time_point now)
    -> move_plan;

/**
 * @brief Selects the VMs for the transfers of a plan. A selection is kept until the VM is announced or a time limit
 * expires: the charge of a selected VM lowers the number of movable VMs, so that the next plan alone would revoke the
 * selection.
 * @param state State to update.
 * @param plan The plan.
 * @param vms All VM records of the zone.
 * @param now Current time.
 * @return Target pool of each VM to move.
 */
[[nodiscard]] auto choose_moves(planner_state& state, const move_plan& plan,
                                const std::map<vm_id, const vm_record*>& vms, time_point now)
    -> std::map<vm_id, pool_id>;

} // namespace cicadalug

#endif
