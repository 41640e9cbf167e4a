#ifndef CICADALUG_SCHEDULER_PROGRESS_BATCH_HPP
#define CICADALUG_SCHEDULER_PROGRESS_BATCH_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstddef>
#include <vector>

namespace cicadalug {

/** @brief Checks whether something waits for the write of a job's progress: a step that is being opened, a trial, or a
 * client for the final state. */
[[nodiscard]] auto awaits_write(const job_entry& job) -> bool;

/**
 * @brief Takes the jobs for the next write of progress: those whose write is awaited first, newly changed ones
 * included, except for a quarter of the write, which the oldest of the remaining jobs get.
 * @param remaining Changed jobs in the order in which they are to be written; those taken are removed.
 * @param state The scheduler; the jobs taken from its m_dirty are removed there and are not dirty any more.
 * @param limit Maximum number of jobs.
 * @return The jobs; empty if none remain and no write is awaited.
 */
[[nodiscard]] auto take_progress_batch(std::vector<job_entry*>& remaining, scheduler_state& state, std::size_t limit)
    -> std::vector<job_entry*>;

} // namespace cicadalug

#endif
