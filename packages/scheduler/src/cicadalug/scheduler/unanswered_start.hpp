#ifndef CICADALUG_SCHEDULER_UNANSWERED_START_HPP
#define CICADALUG_SCHEDULER_UNANSWERED_START_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

namespace cicadalug {

/**
 * @brief Checks whether a start without a response can no longer be carried out by the incarnation of its worker that
 * made a report: the clock of that incarnation has passed the lease of the start. Stops of the run may have no response
 * either.
 */
[[nodiscard]] auto has_start_lapsed(const scheduler_state& state, const placed_run& run, const worker_report& report)
    -> bool;

/**
 * @brief Returns until when a start without a response keeps its task from being started again.
 *
 * The lease of the start ends at a time on the clock of the incarnation to which it was sent. By the clock of the next
 * one, which starts anew, that end can be far ahead. If the worker is known to have restarted and does not respond, the
 * start may be carried out as late as possible, and run for the longest lease.
 */
[[nodiscard]] auto end_of_unanswered_start(const scheduler_state& state, const worker_slot& worker,
                                           const placed_run& run) -> time_point;

/**
 * @brief Checks whether the next incarnation of a worker may still carry out a start without a response. Such a run has
 * not ended with the lease of its worker; the first report of the next incarnation tells whether it exists.
 * @param state The scheduler.
 * @param worker The worker of the run.
 * @param run The run.
 * @param now Current time.
 */
[[nodiscard]] auto may_start_in_next_incarnation(const scheduler_state& state, const worker_slot& worker,
                                                 const placed_run& run, time_point now) -> bool;

} // namespace cicadalug

#endif
