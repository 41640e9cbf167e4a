#ifndef CICADALUG_SCHEDULER_RUN_TIMES_HPP
#define CICADALUG_SCHEDULER_RUN_TIMES_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

namespace cicadalug {

/** @brief Adds the run time of a task that has ended as done to the estimate of its queue. Runs that this decider has
 * not seen running, or that resumed from a checkpoint, are no samples. */
auto learn_run_time(scheduler_state& state, const job_entry& job, const task_state& task, time_point now) -> void;

} // namespace cicadalug

#endif
