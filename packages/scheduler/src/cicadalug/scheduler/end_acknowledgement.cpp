#include <cicadalug/scheduler/end_acknowledgement.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

/** @brief Checks whether the store holds the effect of an end. A job that is not known has been removed from it. */
[[nodiscard]] auto is_stored(const scheduler_state& state, const unstored_end& end) -> bool
{
    const auto* job = find_job(state, end.m_job);
    return job == nullptr || job->m_stored_changes >= end.m_changes;
}

} // namespace

auto record_applied_end(const scheduler_state& state, worker_slot& worker, const ended_report& report) -> void
{
    // An end without an effect may depend on another one: a job that has failed ignores it, and while that state is not
    // stored, a successor does not know it.
    const auto* job = find_job(state, report.m_task.m_job);
    if (job != nullptr && job->m_stored_changes < job->m_changes) {
        worker.m_unstored_ends.push_back({report.m_number, report.m_task.m_job, job->m_changes});
    }
}

auto acknowledge_ends(scheduler_state& state) -> void
{
    for (auto& worker : state.m_workers) {
        auto& ends = worker.m_unstored_ends;
        while (!ends.empty() && is_stored(state, ends.front())) {
            ends.pop_front();
        }
        worker.m_acknowledged_end = ends.empty() ? worker.m_last_end : ends.front().m_number - 1;
    }
}

auto unconfirmed_acknowledgement(const worker_slot& worker) -> std::int64_t
{
    return worker.m_acknowledged_end > worker.m_confirmed_end ? worker.m_acknowledged_end : 0;
}

auto confirm_acknowledgement(worker_slot& worker, const std::int64_t called_incarnation_unix_ms,
                             const std::int64_t acknowledged) -> void
{
    if (worker.m_incarnation_start_unix_ms == called_incarnation_unix_ms) {
        worker.m_confirmed_end = std::max(worker.m_confirmed_end, acknowledged);
    }
}

} // namespace cicadalug
