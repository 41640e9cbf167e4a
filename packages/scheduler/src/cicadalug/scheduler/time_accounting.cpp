#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/time_accounting.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

[[nodiscard]] auto ended_earlier(const step_state& left, const step_state& right) -> bool
{
    return left.m_ended < right.m_ended;
}

/** @brief Returns the time up to the end of the steps that a step depends on. */
[[nodiscard]] auto times_before(const job_entry& job, const occurrence_state& occurrence, const std::size_t step)
    -> job_times
{
    const auto& after = job.m_record.m_spec.m_steps[step].m_after;
    const auto last = std::max_element(after.begin(), after.end(), [&](const std::int64_t left, const auto right) {
        return ended_earlier(occurrence.m_steps[static_cast<std::size_t>(left)],
                             occurrence.m_steps[static_cast<std::size_t>(right)]);
    });
    return last == after.end() ? job_times{} : occurrence.m_steps[static_cast<std::size_t>(*last)].m_times;
}

} // namespace

auto account_ready_steps(job_entry& job, const time_point now) -> void
{
    for (auto& occurrence : job.m_open) {
        for (std::size_t number = 0; number < occurrence.m_steps.size(); ++number) {
            auto& step = occurrence.m_steps[number];
            if (step.m_accounted || !is_ready(job, occurrence, number)) {
                continue;
            }
            step.m_accounted = true;
            step.m_times = times_before(job, occurrence, number);
            for (auto& task : step.m_tasks) {
                task.m_times.m_since = now;
            }
        }
    }
}

auto account_waiting(step_state& step, const job_part part, const time_point now) -> void
{
    for (auto& task : step.m_tasks) {
        if (task.m_phase == task_phase::waiting) {
            enter_part(task.m_times, part, now);
        }
    }
}

auto account_waiting(const std::vector<job_entry*>& jobs, const job_part part, const time_point now) -> void
{
    for (auto* job : jobs) {
        for (auto& occurrence : job->m_open) {
            for (auto& step : occurrence.m_steps) {
                if (step.m_accounted && step.m_waiting > 0) {
                    account_waiting(step, part, now);
                }
            }
        }
    }
}

auto begin_running(task_state& task, const time_point since, const time_point now) -> void
{
    task.m_phase = task_phase::running;
    task.m_since = since;
    enter_part(task.m_times, job_part::running, now);
}

auto account_unfinished_run(task_state& task, const time_point now) -> void
{
    if (task.m_times.m_part == job_part::running) {
        task.m_times.m_part = job_part::unfinished_runs;
    }
    enter_part(task.m_times, job_part::pass_due, now);
}

auto account_step_end(step_state& step, const task_state& last, const time_point now) -> void
{
    step.m_times += times_until(last.m_times, now);
    step.m_ended = now;
}

auto account_job_end(job_entry& job, const occurrence_state& occurrence) -> void
{
    const auto last = std::max_element(occurrence.m_steps.begin(), occurrence.m_steps.end(), ended_earlier);
    job.m_times = last == occurrence.m_steps.end() ? job_times{} : last->m_times;
    job.m_times[job.m_recovered ? job_part::before_term : job_part::accepted] += job.m_read - job.m_arrived;
}

} // namespace cicadalug
