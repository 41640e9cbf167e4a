#ifndef CICADALUG_SCHEDULER_WORKER_HEALTH_HPP
#define CICADALUG_SCHEDULER_WORKER_HEALTH_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

namespace cicadalug {

/**
 * @brief Detects workers that fail all runs by the ends of these runs, and pauses them; their health checks may pass.
 *
 * Failures of one task on several workers are its own, and so are those of all tasks of a step of which no run was good
 * yet. Only failures of different work count against a worker. At least half of the workers of a service stay open, so
 * that work that always fails cannot close a pool to other work.
 * @pre The end has not been applied to its task yet.
 * @param state The scheduler.
 * @param worker The worker that has reported the end.
 * @param report The end.
 * @param now Current time.
 */
auto update_worker_health(scheduler_state& state, worker_slot& worker, const ended_report& report, time_point now)
    -> void;

} // namespace cicadalug

#endif
