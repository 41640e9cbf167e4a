#ifndef CICADALUG_SCHEDULER_CLASS_TIMES_HPP
#define CICADALUG_SCHEDULER_CLASS_TIMES_HPP

#include <cicadalug/scheduler/job_times.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>

#include <array>
#include <cstdint>
#include <map>

namespace cicadalug {

/** @brief Completed jobs of one queue in a time window, and where their time went. */
struct class_times {
    service_id m_service;
    std::int64_t m_in_time{0};
    std::int64_t m_late{0};
    /** @brief Late jobs that no scheduling pass had found late while they had waiting tasks. */
    std::int64_t m_found_in_time{0};
    /** @brief Sum of the times by which late jobs missed their objective. */
    microseconds m_lateness{0};
    job_times m_times_in_time;
    job_times m_times_late;
    /** @brief Late jobs by their largest_delay(). */
    std::array<std::int64_t, job_parts> m_bound_by{};
};

/** @brief Returns the part that is the largest delay of most late jobs. @pre There is a late job. */
[[nodiscard]] auto most_frequent_bound(const class_times& times) -> job_part;

/** @brief State of the jobs and workers of one queue at one time. */
struct class_backlog {
    service_id m_service;
    /** @brief Jobs that are not in a final state although their objective has passed. */
    std::int64_t m_overdue{0};
    /** @brief Workers of the queue's service by whether they accept new work, apart from the cordoned ones. */
    std::int64_t m_accepting{0};
    std::int64_t m_not_accepting{0};
    std::int64_t m_cordoned{0};
};

/** @brief Checks whether it is known where the time of a job went: it has completed in this term, and has no schedule.
 */
[[nodiscard]] auto has_times(const job_entry& job) -> bool;

/** @brief Returns the time from a job's arrival to the write of its final state, by part. @pre has_times(). */
[[nodiscard]] auto times_until_stored(const job_entry& job, time_point stored) -> job_times;

/**
 * @brief Counts a completed job.
 * @param times Times of its queue.
 * @param job The job. @pre has_times().
 * @param stored When the write of its final state was finished.
 */
auto count_job(class_times& times, const job_entry& job, time_point stored) -> void;

/** @brief Returns the backlog of the queues that have jobs with an objective that has passed, or that are in `times`.
 */
[[nodiscard]] auto find_backlogs(const scheduler_state& state, const std::map<queue_id, class_times>& times,
                                 time_point now) -> std::map<queue_id, class_backlog>;

} // namespace cicadalug

#endif
