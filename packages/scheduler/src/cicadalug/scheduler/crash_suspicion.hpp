#ifndef CICADALUG_SCHEDULER_CRASH_SUSPICION_HPP
#define CICADALUG_SCHEDULER_CRASH_SUSPICION_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstddef>
#include <vector>

namespace cicadalug {

/**
 * @brief Returns the runs that may have crashed a worker that went down: a task in trial alone, else all runs but those
 * that had been there for long. Empty if the worker was draining or about to be moved or maintained.
 * @param state The scheduler.
 * @param index The worker, with the runs that it had.
 */
[[nodiscard]] auto find_crash_suspects(const scheduler_state& state, worker_index index) -> std::vector<lost_run>;

/** @brief Records runs that ended with a crash of their worker. Their tasks become suspects, those that had survived
 * the start with the third crash. A task that crashed a second worker in a trial fails its job. Each run is counted
 * once. */
auto count_crashes(scheduler_state& state, worker_index index, const std::vector<lost_run>& runs, time_point now)
    -> void;

/** @brief Records runs whose worker is lost without evidence of a crash. They are counted or cleared when evidence
 * follows; trials that are lost in a row are counted without it. */
auto record_lost_runs(scheduler_state& state, worker_index index, const std::vector<lost_run>& runs, time_point now)
    -> void;

/** @brief Clears the suspicion of the runs of a worker that was only unreachable and is back. */
auto clear_lost_runs(scheduler_state& state, worker_index index) -> void;

/** @brief Clears the suspicion of a task of which a worker has reported the end of a run, and thus survived it. */
auto record_survived_run(scheduler_state& state, worker_index index, const task_ref& task, run_number run) -> void;

/** @brief Checks whether another worker has been registered on the VM of a worker that is no longer registered. */
[[nodiscard]] auto is_replaced(const scheduler_state& state, const worker_slot& worker) -> bool;

/** @brief Counts lost runs for which there is evidence by now, ends trials that are decided, and resolves trials that
 * the last decider began. Called in each scheduling pass, before dispatch(). */
auto update_trials(scheduler_state& state, time_point now) -> void;

/** @brief Checks whether a task may have crashed a worker, so that it may only be started in a trial. */
[[nodiscard]] auto is_suspect(const task_state& task) noexcept -> bool;

/** @brief Checks whether a worker is reserved for a trial. */
[[nodiscard]] auto is_in_trial(const scheduler_state& state, worker_index worker) -> bool;

/** @brief Checks whether all runs on a worker have survived their start, so that they cannot be taken for the cause of
 * a crash in a trial that begins now. */
[[nodiscard]] auto is_quiet(const worker_slot& worker) -> bool;

/** @brief Returns the maximum number of concurrent trials on a number of workers. */
[[nodiscard]] auto trial_limit(std::size_t workers) noexcept -> std::size_t;

/** @brief Finds the trial of a task. @return The trial, or null. */
[[nodiscard]] auto find_trial(scheduler_state& state, const task_ref& task) -> task_trial*;
[[nodiscard]] auto find_trial(const scheduler_state& state, const task_ref& task) -> const task_trial*;

/** @brief Checks whether evidence may still follow about the last trial of a waiting task, which was lost: the next one
 * should not begin before. Limited in time, as a worker that never returns leaves none. */
[[nodiscard]] auto awaits_evidence(const scheduler_state& state, const task_ref& task, time_point now) -> bool;

/** @brief Checks whether any task of a job has a trial whose run has not survived its start yet. */
[[nodiscard]] auto has_unproven_trial(const scheduler_state& state, const job_id& job) -> bool;

/**
 * @brief Plans a trial of a task on a worker and requests that it be stored. The worker gets no other new work.
 * @pre The task is waiting and a suspect, and the worker is not in a trial.
 */
auto plan_trial(scheduler_state& state, const task_ref& task, worker_index worker, run_number run) -> void;

/** @brief Drops a trial that has not been started. */
auto drop_trial(scheduler_state& state, const task_ref& task) -> void;

} // namespace cicadalug

#endif
