#include <cicadalug/scheduler/unanswered_start.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

/** @brief Checks whether a worker is known to have restarted since its last report, or to take on calls to its last
 * incarnation. The token was raised for an incarnation that an entry has shown; a later entry may be an older one. */
[[nodiscard]] auto has_restarted_unheard(const worker_slot& worker) -> bool
{
    const bool other_was_registered = worker.m_fenced_incarnation_unix_ms != 0 &&
                                      worker.m_fenced_incarnation_unix_ms != worker.m_incarnation_start_unix_ms;
    return other_was_registered || is_of_other_incarnation(worker) || worker.m_takes_stale_leases;
}

} // namespace

auto has_start_lapsed(const scheduler_state& state, const placed_run& run, const worker_report& report) -> bool
{
    return !run.m_confirmed && run.m_no_response_since && run.m_start_until_ms > 0 &&
           report.m_clock_ms > run.m_start_until_ms + state.m_settings.m_lease_margin.count();
}

auto end_of_unanswered_start(const scheduler_state& state, const worker_slot& worker, const placed_run& run)
    -> time_point
{
    const auto& settings = state.m_settings;
    if (!has_restarted_unheard(worker)) {
        return run.m_sent + settings.m_late_start_time;
    }
    // Each late call extends the lease of all that runs on the worker.
    auto last_sent = worker.m_last_report;
    for (const auto& other : worker.m_runs) {
        if (!other.m_confirmed) {
            last_sent =
                std::max(last_sent, other.m_no_response_since.value_or(other.m_sent + settings.m_command_timeout));
        }
    }
    return end_of_late_lease(settings, last_sent);
}

auto may_start_in_next_incarnation(const scheduler_state& state, const worker_slot& worker, const placed_run& run,
                                   const time_point now) -> bool
{
    return !run.m_confirmed && !run.m_held && now < end_of_unanswered_start(state, worker, run);
}

} // namespace cicadalug
