#include <cicadalug/scheduler/run_times.hpp>

#include <cmath>

namespace cicadalug {

namespace {

/** @brief Weight of a new sample in the mean run time of a queue. */
constexpr double run_time_weight{0.1};

} // namespace

auto learn_run_time(scheduler_state& state, const job_entry& job, const task_state& task, const time_point now) -> void
{
    if (task.m_phase != task_phase::running || !task.m_checkpoint.empty()) {
        return;
    }
    const auto run_time_ms = static_cast<double>((now - task.m_since).count()) / 1'000.0;
    auto& estimate = state.m_run_times[job.m_record.m_policy.m_queue];
    estimate.m_mean_ms = estimate.m_samples == 0
                             ? run_time_ms
                             : estimate.m_mean_ms + run_time_weight * (run_time_ms - estimate.m_mean_ms);
    estimate.m_deviation_ms += run_time_weight * (std::abs(run_time_ms - estimate.m_mean_ms) - estimate.m_deviation_ms);
    ++estimate.m_samples;
}

} // namespace cicadalug
