#ifndef CICADALUG_SCHEDULER_JOBS_HPP
#define CICADALUG_SCHEDULER_JOBS_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace cicadalug {

/** @brief Current time on both clocks: monotonic for decisions, Unix for times given by clients and workers. */
struct clock_reading {
    time_point m_now{};
    std::int64_t m_unix_ms{0};
};

/**
 * @brief Adds a stored job to the table. A job that is in the table already is not changed.
 * @param state The scheduler.
 * @param record The job.
 * @param progress Its stored progress, if any.
 * @param recovered True if the job was accepted before this decider took over.
 * @param clock Current time.
 */
auto add_job(scheduler_state& state, job_record record, const std::optional<job_progress>& progress, bool recovered,
             const clock_reading& clock) -> void;

/**
 * @brief Cancels a job: its waiting tasks never start and its runs are stopped. A final state is kept.
 * @param state The scheduler.
 * @param id The job; an unknown id is ignored.
 * @param now Current time.
 */
auto cancel_job(scheduler_state& state, const job_id& id, time_point now) -> void;

/** @brief Runs of a job that occupy workers. */
struct occupying_runs {
    std::size_t m_count{0};
    /** @brief When the last start was sent or, if the worker has accepted it, accepted; nothing if all runs were
     * started before this decider took over. */
    std::optional<time_point> m_last_start;
};

/** @brief Returns the runs of a job that occupy workers, including those that are being stopped. */
[[nodiscard]] auto occupying_runs_of(const scheduler_state& state, const job_id& id) -> occupying_runs;

/**
 * @brief Opens the occurrences that are due.
 * @param state The scheduler.
 * @param clock Current time.
 */
auto open_due_occurrences(scheduler_state& state, const clock_reading& clock) -> void;

/** @brief End of a run of a task. */
struct task_end {
    task_ref m_task;
    run_number m_run;
    run_end m_outcome{run_end::expired};
    std::string m_checkpoint;
};

/** @brief Counts a failed run as an attempt. @return False if it has been counted before. */
auto count_failure(task_state& task, run_number run) -> bool;

/** @brief Fails a job and stops its runs. @pre The job is not in a final state. */
auto fail_job(scheduler_state& state, job_entry& job, time_point now) -> void;

/** @brief Applies the end of a run to its job. Has no effect if the task is done or the job is finished. */
auto apply_task_end(scheduler_state& state, job_entry& job, const task_end& end, time_point now) -> void;

/** @brief Marks a job whose progress differs from the store. */
auto mark_dirty(scheduler_state& state, job_entry& job) -> void;

/** @brief Records that a start of a job is sent. @return True if it is the first one. */
auto mark_started(scheduler_state& state, job_entry& job) -> bool;

/** @brief Updates a job whose progress has been stored: its state may be reported, and opened steps may start. */
auto apply_stored_progress(scheduler_state& state, job_entry& job, const job_progress& stored) -> void;

/** @brief Returns the progress of a job in the form in which it is stored. */
[[nodiscard]] auto progress_of(const job_entry& job) -> job_progress;

/** @brief Counts the jobs of a queue that have not started any task. */
[[nodiscard]] auto pending_jobs(const scheduler_state& state, const queue_id& queue) -> std::int64_t;

/**
 * @brief Returns the expected run time of a step's tasks in milliseconds: the client's estimate, or, once tasks of the
 * queue have ended, the weighted mean of that estimate and the learned run time of the queue.
 */
[[nodiscard]] auto expected_run_time_ms(const scheduler_state& state, const job_entry& job, const step_spec& step)
    -> double;

/**
 * @brief Estimates the critical path of a job.
 * @param state The scheduler, for learned run times.
 * @param job The job.
 * @param whole True to include all steps, false for only those that are not done.
 * @return The run time of the critical path on idle workers.
 */
[[nodiscard]] auto estimate_critical_path(const scheduler_state& state, const job_entry& job, bool whole)
    -> microseconds;

} // namespace cicadalug

#endif
