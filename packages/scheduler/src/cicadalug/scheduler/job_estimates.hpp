#ifndef CICADALUG_SCHEDULER_JOB_ESTIMATES_HPP
#define CICADALUG_SCHEDULER_JOB_ESTIMATES_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

namespace cicadalug {

/**
 * @brief Returns the expected run time of a step's tasks in milliseconds: the client's estimate, or, once tasks of the
 * queue have ended, the weighted mean of that estimate and the learned run time of the queue.
 */
[[nodiscard]] auto expected_run_time_ms(const scheduler_state& state, const job_entry& job, const step_spec& step)
    -> double;

/**
 * @brief Estimates the objective of a job: the run time of its critical path on idle workers, with the stretch and the
 * target of its queue.
 * @param state The scheduler, for learned run times.
 * @param job The job.
 */
[[nodiscard]] auto estimate_objective(const scheduler_state& state, const job_entry& job) -> microseconds;

/**
 * @brief Estimates when a job is shown as completed if its waiting tasks start now: the critical path of the steps that
 * are not done, with the time that steps usually take beyond the run times of their tasks.
 * @param state The scheduler, for learned times.
 * @param job The job.
 * @param now Current time.
 * @return The time from now.
 */
[[nodiscard]] auto estimate_remaining_time(const scheduler_state& state, const job_entry& job, time_point now)
    -> microseconds;

/** @brief Adds the run time of a task that has ended as done to the estimate of its queue. Runs that this decider has
 * not seen running, or that resumed from a checkpoint, are no samples. */
auto learn_run_time(scheduler_state& state, const job_entry& job, const task_state& task, time_point now) -> void;

/**
 * @brief Learns how much longer a step that is done took than the expected run time of its tasks. Steps with runs of an
 * earlier term, or with runs that did not complete their tasks, are no measure.
 * @param state The scheduler.
 * @param job The job.
 * @param spec The step.
 * @param step State of the step.
 * @param now When the step was done.
 */
auto learn_step_overrun(scheduler_state& state, const job_entry& job, const step_spec& spec, const step_state& step,
                        time_point now) -> void;

/** @brief Learns how long the end of a job took to be stored. @pre The job is in a final state, which is stored. */
auto learn_storing_time(scheduler_state& state, const job_entry& job, time_point now) -> void;

} // namespace cicadalug

#endif
