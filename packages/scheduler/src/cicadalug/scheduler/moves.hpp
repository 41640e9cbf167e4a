#ifndef CICADALUG_SCHEDULER_MOVES_HPP
#define CICADALUG_SCHEDULER_MOVES_HPP

#include <cicadalug/scheduler/demand.hpp>
#include <cicadalug/scheduler/maintenance.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace cicadalug {

/** @brief Settings of the moves between pools. */
struct move_settings {
    /** @brief Time that a move takes, from the platform's settings. */
    milliseconds m_move_time{1'500};
    /** @brief Capacity is wanted in this many percent of the estimate: tasks do not fill a worker to the last core. */
    std::int64_t m_headroom_percent{105};
    /** @brief A worker that has been cordoned for a move is released after this time if its runs have not ended. Longer
     * than the longest usual task, 3.3 s: a worker that is released when it is nearly empty has stood idle for nothing.
     */
    milliseconds m_longest_drain{4'000};
    /** @brief A VM goes to standby after its pool has had no use for it for this time. A move costs as much as about
     * 1.1 s of a VM in a pool, and it has to come back. */
    milliseconds m_idle_before_standby{1'500};
    /** @brief Of its own processors a pool keeps this share out of standby, in percent, to begin a surge with. */
    std::int64_t m_standby_floor_percent{50};
    /** @brief A move that is not seen to have ended by then is not counted any more. */
    milliseconds m_longest_move{6'000};
    /** @brief A pool of which it is not known when it will surge keeps this share of its own processors, in percent. */
    std::int64_t m_kept_percent{0};
    /** @brief A pool in need takes a VM from another one in need only if the other's share of its demand stays higher
     * by this much. Hysteresis, which keeps VMs from going back and forth. */
    double m_advantage{0.25};
    /** @brief Each pool keeps this many workers. */
    std::int64_t m_pool_minimum{2};
};

/** @brief Order to move a VM. */
struct move_command {
    vm_id m_vm;
    worker_id m_worker;
    service_id m_target;
};

/** @brief Moves under way. */
struct move_state {
    struct pending_move {
        service_id m_target;
        time_point m_since{};
        bool m_ordered{false};
    };
    std::map<vm_id, pending_move> m_moves;
    /** @brief Since when a VM's worker has had no runs and its pool no use for it. */
    std::map<vm_id, time_point> m_idle_since;
};

/**
 * @brief Decides which VMs change their pool now.
 *
 * Load pattern: one queue asks for several times what its pool holds, while the others are nearly idle. VMs in standby
 * and idle workers of other pools go where work waits. Workers with tasks that last stay; workers with short tasks are
 * drained first.
 * @param state The scheduler; workers of chosen VMs are cordoned in it.
 * @param demand The demand, up to date.
 * @param settings Settings.
 * @param moves Moves under way.
 * @param vms The platform's list.
 * @param standby Pools whose VMs are off.
 * @param reserved VMs that are about to be maintained.
 * @param now Current time.
 * @return Orders to send now.
 */
[[nodiscard]] auto plan_moves(scheduler_state& state, const demand_state& demand, const move_settings& settings,
                              move_state& moves, const std::vector<vm_status>& vms, const std::set<service_id>& standby,
                              const std::set<vm_id>& reserved, time_point now) -> std::vector<move_command>;

/**
 * @brief Takes the result of a move. A refused one is forgotten, and its worker released. One without an answer is
 * ordered again until it is seen or given up: the interface to the VMs may be away for seconds.
 */
auto apply_move_result(scheduler_state& state, move_state& moves, const move_command& order, vm_command_result result,
                       time_point now) -> void;

} // namespace cicadalug

#endif
