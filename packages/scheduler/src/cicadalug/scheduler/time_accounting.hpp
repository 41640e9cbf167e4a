#ifndef CICADALUG_SCHEDULER_TIME_ACCOUNTING_HPP
#define CICADALUG_SCHEDULER_TIME_ACCOUNTING_HPP

#include <cicadalug/scheduler/job_times.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>

#include <vector>

namespace cicadalug {

/**
 * @brief Begins to account for the tasks of all steps of a job whose turn has come, and that were not accounted for
 * yet. The time of such a step continues that of the step that ended last of those it depends on.
 */
auto account_ready_steps(job_entry& job, time_point now) -> void;

/** @brief Accounts the time of a step's waiting tasks from now on to a part. */
auto account_waiting(step_state& step, job_part part, time_point now) -> void;

/** @brief Accounts the time of all waiting tasks of jobs from now on to a part. */
auto account_waiting(const std::vector<job_entry*>& jobs, job_part part, time_point now) -> void;

/** @brief Changes a task to running and accounts its time from now on to that. @param since When it began to run. */
auto begin_running(task_state& task, time_point since, time_point now) -> void;

/** @brief Accounts the time of a task's run as one that did not complete the task. The task waits from now on. */
auto account_unfinished_run(task_state& task, time_point now) -> void;

/** @brief Ends the time of a step with the end of its last task. @pre All tasks of the step are done. */
auto account_step_end(step_state& step, const task_state& last, time_point now) -> void;

/** @brief Sets the time of a job from its steps. @param occurrence An occurrence of which all steps are done. */
auto account_job_end(job_entry& job, const occurrence_state& occurrence) -> void;

} // namespace cicadalug

#endif
