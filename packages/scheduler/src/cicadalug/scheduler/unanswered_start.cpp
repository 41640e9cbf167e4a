#include <cicadalug/scheduler/unanswered_start.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

namespace cicadalug {

auto has_start_lapsed(const scheduler_state& state, const placed_run& run, const worker_report& report) -> bool
{
    return !run.m_confirmed && run.m_no_response_since && run.m_start_until_ms > 0 &&
           report.m_clock_ms > run.m_start_until_ms + state.m_settings.m_lease_margin.count();
}

auto may_start_in_next_incarnation(const scheduler_state& state, const worker_slot& worker, const placed_run& run,
                                   const time_point now) -> bool
{
    const auto& settings = state.m_settings;
    const bool has_restarted = is_of_other_incarnation(worker) || worker.m_takes_stale_leases;
    const auto last_sent = run.m_no_response_since.value_or(run.m_sent + settings.m_command_timeout);
    const auto last_end =
        has_restarted ? end_of_late_lease(settings, last_sent) : run.m_sent + settings.m_late_start_time;
    return !run.m_confirmed && now < last_end;
}

} // namespace cicadalug
