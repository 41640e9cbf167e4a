#ifndef CICADALUG_SCHEDULER_WORKER_OBSTACLE_HPP
#define CICADALUG_SCHEDULER_WORKER_OBSTACLE_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cicadalug {

/** @brief Why a worker gets no new work, or not a certain task. */
enum class worker_obstacle : std::uint8_t {
    none,
    not_registered,
    /** @brief The entry and the reports are of different incarnations, whose capacity and labels may differ. */
    other_incarnation,
    /** @brief The worker has restarted, and its higher fencing token depends on a write to the store. */
    fence_not_stored,
    draining,
    /** @brief The worker's VM is about to be moved or maintained. */
    cordoned,
    /** @brief The worker has not reported in this term. */
    not_reported,
    /** @brief The worker has restarted, and may still carry out calls that were meant for its last incarnation. */
    fence_not_answered,
    /** @brief The stored list of workers with leases does not name the worker yet, or that of restarted workers does
     * not name it although it holds a stale lease. */
    lease_not_stored,
    unresponsive,
    report_too_old,
    /** @brief Runs failed, or a start was rejected. Long-running tasks that have waited for some time use the worker
     * all the same, see may_use_paused_workers(). */
    paused,
    in_trial,
    no_capacity,
    no_label,
    /** @brief The worker has as many tasks of the step as it may have. */
    step_limit,
    /** @brief The worker may hold a stale lease, and the task is to be started on another one if possible. */
    stale_lease,
    no_permit,
};

inline constexpr std::size_t worker_obstacles{static_cast<std::size_t>(worker_obstacle::no_permit) + 1};

/** @brief Checks whether a worker's entry is of another incarnation than its last report. An unknown start matches any.
 */
[[nodiscard]] auto is_of_other_incarnation(const worker_slot& worker) -> bool;

/** @brief Returns the name of an obstacle in log lines. */
[[nodiscard]] auto name_of(worker_obstacle obstacle) noexcept -> std::string_view;

/** @brief Returns why a worker may not even be sent a start that was decided earlier: it is draining or gone, about to
 * be moved or maintained, or its entry is that of another incarnation. */
[[nodiscard]] auto find_service_obstacle(const worker_slot& worker) -> worker_obstacle;

/** @brief Returns the first reason for which a worker gets no new work of its service, whatever the task. A paused
 * worker has no other one. */
[[nodiscard]] auto find_obstacle(const worker_slot& worker, time_point now) -> worker_obstacle;

/** @brief Returns the reason for which a worker would get no new work even if it were not cordoned. */
[[nodiscard]] auto find_obstacle_besides_cordon(const worker_slot& worker, time_point now) -> worker_obstacle;

} // namespace cicadalug

#endif
