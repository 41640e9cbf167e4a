#include <cicadalug/scheduler/class_times.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

/** @brief Checks whether a job does not run on a schedule: all of it was due when it arrived. */
[[nodiscard]] auto is_due_at_once(const job_entry& job) -> bool
{
    const auto& spec = job.m_record.m_spec;
    return spec.m_occurrences <= 1 &&
           (spec.m_occurrences <= 0 || spec.m_first_due_unix_ms <= job.m_record.m_arrived_unix_ms);
}

/** @brief Checks whether a job is to end by its objective: it has no schedule, and no task that runs until a cancel. */
[[nodiscard]] auto has_objective(const job_entry& job) -> bool
{
    const auto& steps = job.m_record.m_spec.m_steps;
    return is_due_at_once(job) &&
           std::none_of(steps.begin(), steps.end(), [](const step_spec& step) { return step.m_long_running; });
}

auto count_workers(const scheduler_state& state, class_backlog& backlog, const time_point now) -> void
{
    for (const auto index : state.m_current_workers) {
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        if (worker.m_entry.m_service == backlog.m_service) {
            auto& count = worker.m_cordoned                                     ? backlog.m_cordoned
                          : find_obstacle(worker, now) == worker_obstacle::none ? backlog.m_accepting
                                                                                : backlog.m_not_accepting;
            ++count;
        }
    }
}

} // namespace

auto most_frequent_bound(const class_times& times) -> job_part
{
    const auto most = std::max_element(times.m_bound_by.begin(), times.m_bound_by.end());
    return static_cast<job_part>(most - times.m_bound_by.begin());
}

auto has_times(const job_entry& job) -> bool
{
    return job.m_state == job_state::completed && is_due_at_once(job) && job.m_finished > job.m_read;
}

auto times_until_stored(const job_entry& job, const time_point stored) -> job_times
{
    auto times = job.m_times;
    times[job_part::end_stored] += stored - job.m_finished;
    return times;
}

auto count_job(class_times& times, const job_entry& job, const time_point stored) -> void
{
    times.m_service = job.m_record.m_policy.m_service;
    const auto parts = times_until_stored(job, stored);
    if (stored <= job.m_deadline) {
        ++times.m_in_time;
        times.m_times_in_time += parts;
        return;
    }
    ++times.m_late;
    times.m_found_in_time += job.m_found_late ? 0 : 1;
    times.m_lateness += stored - job.m_deadline;
    times.m_times_late += parts;
    ++times.m_bound_by[static_cast<std::size_t>(largest_delay(parts))];
}

auto find_backlogs(const scheduler_state& state, const std::map<queue_id, class_times>& times, const time_point now)
    -> std::map<queue_id, class_backlog>
{
    std::map<queue_id, class_backlog> backlogs;
    for (const auto& [queue, ended] : times) {
        backlogs[queue].m_service = ended.m_service;
    }
    for (const auto& [service, jobs] : state.m_active) {
        for (const auto* job : jobs) {
            if (job->m_deadline < now && has_objective(*job)) {
                auto& backlog = backlogs[job->m_record.m_policy.m_queue];
                backlog.m_service = service;
                ++backlog.m_overdue;
            }
        }
    }
    for (auto& [queue, backlog] : backlogs) {
        count_workers(state, backlog, now);
    }
    return backlogs;
}

} // namespace cicadalug
