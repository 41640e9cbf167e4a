#ifndef CICADALUG_SCHEDULER_WAITING_STEPS_HPP
#define CICADALUG_SCHEDULER_WAITING_STEPS_HPP

#include <cicadalug/scheduler/placement.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/urgency.hpp>

#include <cstddef>
#include <vector>

namespace cicadalug {

/** @brief A step with waiting tasks. */
struct waiting_step {
    job_entry* m_job{nullptr};
    occurrence_state* m_occurrence{nullptr};
    std::size_t m_step{0};
    urgency m_urgency{urgency::in_time};
    bool m_needs_permit{false};
    /** @brief Runs of an earlier term may still be found. */
    bool m_recovering{false};
    /** @brief Only tasks of which none may be found are to be started, see may_run_unseen(). */
    bool m_awaits_runs{false};
};

/** @brief Returns a task of a step. */
[[nodiscard]] auto task_of(const waiting_step& waiting, std::size_t index) -> task_ref;

/** @brief Returns a request for a place for a task. The step has to outlast it. */
[[nodiscard]] auto request_of(const waiting_step& waiting, std::size_t index) -> placement_request;

/**
 * @brief Collects the steps with waiting tasks whose turn has come, in the order in which they are to be started: by
 * urgency and priority, marginal jobs after those in time, then by deadline. The time of steps that wait for the
 * recovery of their runs is accounted for.
 * @param state The scheduler.
 * @param jobs Jobs of one service that are not in a final state.
 * @param recovered Result of is_recovered() for the service.
 * @param now Current time.
 */
[[nodiscard]] auto collect_waiting(const scheduler_state& state, const std::vector<job_entry*>& jobs, bool recovered,
                                   time_point now) -> std::vector<waiting_step>;

} // namespace cicadalug

#endif
