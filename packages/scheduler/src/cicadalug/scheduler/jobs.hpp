#ifndef CICADALUG_SCHEDULER_JOBS_HPP
#define CICADALUG_SCHEDULER_JOBS_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cicadalug {

/** @brief Current time on both clocks: monotonic for decisions, Unix for times given by clients and workers. */
struct clock_reading {
    time_point m_now{};
    std::int64_t m_unix_ms{0};
};

/**
 * @brief Adds a stored job to the table. A job that is in the table already is not changed. A job whose cancellation
 * was read before is cancelled.
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
 * @param id The job; if it is not known, it is cancelled when it is added.
 * @param now Current time.
 */
auto cancel_job(scheduler_state& state, const job_id& id, time_point now) -> void;

/**
 * @brief Returns jobs whose cancellation was read a long time ago, and which have not come.
 * @param state The scheduler.
 * @param read_before Only cancellations read before this time.
 * @param limit Maximum number of jobs.
 */
[[nodiscard]] auto old_early_cancels(const scheduler_state& state, time_point read_before, std::size_t limit)
    -> std::vector<job_id>;

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

/**
 * @brief Checks whether a task, or the gang that it belongs to, has failed as often as its queue allows. A long-running
 * or unknown task never has.
 */
[[nodiscard]] auto is_out_of_attempts(const job_entry& job, const task_ref& task) -> bool;

/** @brief Ends a job as failed and stops its runs. @pre The job is not in a final state. */
auto fail_job(scheduler_state& state, job_entry& job, time_point now) -> void;

/** @brief Applies the end of a run to its job. Has no effect if the task is done or the job is finished. */
auto apply_task_end(scheduler_state& state, job_entry& job, const task_end& end, time_point now) -> void;

/** @brief Marks a job whose progress differs from the store, and counts the change. */
auto mark_dirty(scheduler_state& state, job_entry& job) -> void;

/** @brief Records that a start of a job is sent. @return True if it is the first one. */
auto mark_started(scheduler_state& state, job_entry& job) -> bool;

/** @brief Updates a job whose progress has been stored: its state may be reported, and opened steps may start. */
auto apply_stored_progress(scheduler_state& state, job_entry& job, const job_progress& stored) -> void;

/** @brief Returns the progress of a job in the form in which it is stored. */
[[nodiscard]] auto progress_of(const job_entry& job) -> job_progress;

/** @brief Counts the jobs of a queue that have not started any task. */
[[nodiscard]] auto pending_jobs(const scheduler_state& state, const queue_id& queue) -> std::int64_t;

} // namespace cicadalug

#endif
