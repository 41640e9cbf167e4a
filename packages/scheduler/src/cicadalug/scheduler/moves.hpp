#ifndef CICADALUG_SCHEDULER_MOVES_HPP
#define CICADALUG_SCHEDULER_MOVES_HPP

#include <cicadalug/scheduler/demand.hpp>
#include <cicadalug/scheduler/maintenance.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace cicadalug {

/** @brief Settings of moves of VMs between pools. */
struct move_settings {
    /** @brief Duration of a move, from the platform's settings. */
    milliseconds m_move_time{1'500};
    /** @brief Capacity to request, in percent of the estimate: tasks do not fill a worker to the last core. */
    std::int64_t m_headroom_percent{105};
    /** @brief A worker that was cordoned for a move is released after this time if its runs have not ended. Longer than
     * the longest usual task, 3.3 s: releasing a worker that is nearly drained wastes the time in which it was idle. */
    milliseconds m_drain_timeout{4'000};
    /** @brief A VM goes to standby after its pool has not needed it for this time. A move costs as much as about 1.1 s
     * of a VM in a pool, and the VM has to be moved back later. */
    milliseconds m_idle_before_standby{1'500};
    /** @brief Percentage of its own cores that a pool keeps out of standby for the start of a surge. */
    std::int64_t m_standby_floor_percent{50};
    /** @brief A move whose end has not been observed after this time is abandoned. */
    milliseconds m_move_timeout{6'000};
    /** @brief Percentage of its own cores that a pool keeps if it is not known when it will surge. */
    std::int64_t m_retained_percent{0};
    /** @brief A pool short of capacity takes a VM from another pool that needs it only if that pool's ratio of capacity
     * to demand stays higher by this much. Hysteresis, which keeps VMs from moving back and forth. */
    double m_advantage{0.25};
    /** @brief Minimum number of workers that accept work that each pool keeps. */
    std::int64_t m_min_pool_size{2};
};

/** @brief Command to move a VM to another pool. */
struct move_command {
    vm_id m_vm;
    worker_id m_worker;
    service_id m_target;
};

/** @brief Moves in progress. */
struct move_state {
    struct pending_move {
        service_id m_target;
        time_point m_since{};
        bool m_command_sent{false};
        /** @brief Worker that was cordoned for the move; empty if there was none. */
        worker_id m_worker{};
        /** @brief A command had no response and may still be carried out. */
        bool m_unanswered{false};
    };
    std::map<vm_id, pending_move> m_moves;
    /** @brief Time since which a VM's worker has had no runs and its pool has not needed it. */
    std::map<vm_id, time_point> m_idle_since;
};

/**
 * @brief Decides which VMs are moved to another pool now.
 *
 * Load pattern: one queue requests several times the capacity of its pool, while the others are nearly idle. VMs in
 * standby and idle workers of other pools are moved to where work waits. Workers with long-running tasks stay; workers
 * with short tasks are drained first.
 * @param state The scheduler; workers of chosen VMs are cordoned in it.
 * @param demand The current demand.
 * @param settings Settings.
 * @param moves Moves in progress.
 * @param vms The platform's list of VMs; if it is not current, moves are abandoned for which no command was sent, or
 * which were not carried out in time.
 * @param standby Pools whose VMs are off.
 * @param reserved VMs that are about to be maintained.
 * @param now Current time.
 * @return Commands to send now.
 */
[[nodiscard]] auto plan_moves(scheduler_state& state, const demand_state& demand, const move_settings& settings,
                              move_state& moves, const vm_list& vms, const std::set<service_id>& standby,
                              const std::set<vm_id>& reserved, time_point now) -> std::vector<move_command>;

/**
 * @brief Applies the result of a move command. A rejected move is removed and its worker released. Without a response
 * the command is repeated until the move is observed or abandoned: the interface to the VMs may be unavailable for
 * seconds.
 */
auto apply_move_result(scheduler_state& state, move_state& moves, const move_command& command, vm_command_result result,
                       time_point now) -> void;

} // namespace cicadalug

#endif
