#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/run_place.hpp>
#include <cicadalug/scheduler/time_accounting.hpp>
#include <cicadalug/scheduler/waiting_steps.hpp>

#include <algorithm>
#include <tuple>

namespace cicadalug {

auto task_of(const waiting_step& waiting, const std::size_t index) -> task_ref
{
    return {waiting.m_job->m_record.m_id, waiting.m_occurrence->m_number, static_cast<std::int64_t>(waiting.m_step),
            static_cast<std::int64_t>(index)};
}

auto request_of(const waiting_step& waiting, const std::size_t index) -> placement_request
{
    const auto& step = waiting.m_occurrence->m_steps[waiting.m_step];
    return {&waiting.m_job->m_record.m_spec.m_steps[waiting.m_step], task_of(waiting, index),
            &step.m_tasks[index].m_failed_workers, waiting.m_needs_permit ? &step : nullptr};
}

auto collect_waiting(const scheduler_state& state, const std::vector<job_entry*>& jobs, const bool recovered,
                     const time_point now) -> std::vector<waiting_step>
{
    std::vector<waiting_step> found;
    for (auto* job : jobs) {
        if (job->m_refused) {
            account_waiting({job}, job_part::starts_suspended, now);
            continue;
        }
        const bool needs_permit = state.m_permit_queues.contains(job->m_record.m_policy.m_queue);
        bool classified{false};
        auto job_urgency = urgency::in_time;
        for (auto& occurrence : job->m_open) {
            for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
                const auto& spec = job->m_record.m_spec.m_steps[step];
                if (occurrence.m_steps[step].m_waiting == 0 || !is_ready(*job, occurrence, step)) {
                    continue;
                }
                const bool awaits_runs = occurrence.m_steps[step].m_recovered && !recovered && !spec.m_speculative;
                if (awaits_runs && !has_task_without_runs(state, spec, occurrence.m_steps[step], now)) {
                    account_waiting(occurrence.m_steps[step], job_part::recovering, now);
                    continue;
                }
                if (!classified) {
                    job_urgency = classify_urgency(state, *job, now);
                    classified = true;
                    job->m_found_late = job->m_found_late || job_urgency > urgency::marginal;
                }
                found.push_back({job, &occurrence, step, spec.m_long_running ? urgency::serving : job_urgency,
                                 needs_permit, occurrence.m_steps[step].m_recovered && !recovered, awaits_runs});
            }
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const waiting_step& left, const waiting_step& right) {
        const auto key = [](const waiting_step& step) {
            const auto& job = *step.m_job;
            // A marginal job has not lost its claim to its priority.
            const bool marginal = step.m_urgency == urgency::marginal;
            return std::tuple{marginal ? urgency::in_time : step.m_urgency, job.m_record.m_policy.m_priority, marginal,
                              job.m_deadline};
        };
        return key(left) < key(right);
    });
    return found;
}

} // namespace cicadalug
