#ifndef CICADALUG_SCHEDULER_JOBS_HPP
#define CICADALUG_SCHEDULER_JOBS_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>
#include <optional>

namespace cicadalug {

/** @brief Current time on both clocks: monotonic for decisions, Unix for what clients and workers name. */
struct clock_reading {
    time_point m_now{};
    std::int64_t m_unix_ms{0};
};

/**
 * @brief Takes a stored job into the table. A job that is known already is left as it is.
 * @param state The scheduler.
 * @param record The job.
 * @param progress Its stored progress, if there is any.
 * @param recovered True if the job was accepted before this decider took over.
 * @param clock Current time.
 */
auto add_job(scheduler_state& state, job_record record, const std::optional<job_progress>& progress, bool recovered,
             const clock_reading& clock) -> void;

/**
 * @brief Cancels a job: its waiting tasks never start and its runs are stopped. A job in a final state stays so.
 * @param state The scheduler.
 * @param id The job; an unknown one is passed over.
 * @param now Current time.
 */
auto cancel_job(scheduler_state& state, const job_id& id, time_point now) -> void;

/**
 * @brief Opens the occurrences that are due.
 * @param state The scheduler.
 * @param clock Current time.
 */
auto open_due_occurrences(scheduler_state& state, const clock_reading& clock) -> void;

/** @brief How a run of a task ended. */
struct task_end {
    task_ref m_task;
    run_number m_run;
    run_end m_how{run_end::expired};
    std::string m_checkpoint;
};

/** @brief Counts a failed run as an attempt. @return False if it was counted before. */
auto count_failure(task_state& task, run_number run) -> bool;

/** @brief Takes an end of a task into its job. An end of a task that is done, or of a finished job, changes nothing. */
auto task_ended(scheduler_state& state, job_entry& job, const task_end& end, time_point now) -> void;

/** @brief Notes that the progress of a job differs from the store. */
auto mark_dirty(scheduler_state& state, job_entry& job) -> void;

/** @brief Takes note that the progress of a job is in the store: its state may be shown, and opened steps may start. */
auto apply_stored_progress(scheduler_state& state, job_entry& job, const job_progress& stored) -> void;

/** @brief Returns what is to be stored of a job. */
[[nodiscard]] auto progress_of(const job_entry& job) -> job_progress;

/** @brief Counts the jobs of a queue of which no task has started. */
[[nodiscard]] auto pending_jobs(const scheduler_state& state, const queue_id& queue) -> std::int64_t;

/**
 * @brief Returns the expected run time of a step's tasks in milliseconds: the client's estimate, weighed against what
 * was learned of the queue as soon as there is anything to learn from.
 */
[[nodiscard]] auto expected_run_time_ms(const scheduler_state& state, const job_entry& job, const step_spec& step)
    -> double;

/**
 * @brief Estimates the longest chain of work of a job that is left.
 * @param state The scheduler, for learned run times.
 * @param job The job.
 * @param whole True to take all steps, false for those that are not done.
 * @return The run time on an idle worker.
 */
[[nodiscard]] auto chain_estimate(const scheduler_state& state, const job_entry& job, bool whole) -> microseconds;

} // namespace cicadalug

#endif
