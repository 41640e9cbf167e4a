#ifndef CICADALUG_SCHEDULER_URGENCY_HPP
#define CICADALUG_SCHEDULER_URGENCY_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>

namespace cicadalug {

/** @brief Benefit to the client if a job's waiting tasks start now. Lower values are started first. */
enum class urgency : std::uint8_t {
    /** @brief Long-running tasks, which serve their own clients all the time. */
    serving,
    /** @brief The job meets its objective, even if a step takes somewhat longer than usual. */
    in_time,
    /** @brief The job meets its objective only if its runs take less time than usual. */
    marginal,
    /** @brief The job will miss its objective, but its result is still of use. */
    late,
    /** @brief No client waits for the job any more; it runs when there is free capacity. */
    overdue,
};

/**
 * @brief Classifies how much a job is still worth to its client.
 *
 * Load pattern: for some seconds, a queue requests several times the capacity of its pool. In order of arrival, each
 * job would wait until its slack is used up, and all jobs would be late. Jobs that can no longer meet their objectives
 * therefore yield to those that can. In order of deadlines, the next job to start is always the one that can wait no
 * longer: without a margin for the delays between a decision and the stored end of a job, it would be late by these.
 * @param state The scheduler, for learned run times.
 * @param job The job.
 * @param now Current time.
 * @return The urgency of its waiting tasks.
 */
[[nodiscard]] auto classify_urgency(const scheduler_state& state, const job_entry& job, time_point now) -> urgency;

} // namespace cicadalug

#endif
