#include <cicadalug/scheduler/job_estimates.hpp>
#include <cicadalug/scheduler/urgency.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

/** @brief A result is still of use until this many times the objective has passed, as the platform's rules state. */
constexpr std::int64_t late_factor{3};

/** @brief A job counts as marginal if it meets its objective with run times that are shorter by this multiple of their
 * mean deviation. Run times are estimates, and a job that is deprioritized too early is certain to be late. */
constexpr double deviation_tolerance{0.35};

/** @brief Upper bound of the tolerance, as a share of the run time. */
constexpr double tolerance_limit{0.15};

[[nodiscard]] auto run_time_tolerance(const scheduler_state& state, const job_entry& job) -> double
{
    const auto learned = state.m_run_times.find(job.m_record.m_policy.m_queue);
    if (learned == state.m_run_times.end() || learned->second.m_mean_ms <= 0.0) {
        return 0.0;
    }
    return std::min(tolerance_limit, deviation_tolerance * learned->second.m_deviation_ms / learned->second.m_mean_ms);
}

/** @brief Returns by how much the overrun of a step usually differs from its mean. */
[[nodiscard]] auto overrun_margin(const scheduler_state& state, const job_entry& job) -> microseconds
{
    const auto learned = state.m_step_overruns.find(job.m_record.m_policy.m_queue);
    const auto deviation_ms = learned == state.m_step_overruns.end() ? 0.0 : learned->second.m_deviation_ms;
    return microseconds{static_cast<std::int64_t>(deviation_ms * 1'000.0)};
}

} // namespace

auto classify_urgency(const scheduler_state& state, const job_entry& job, const time_point now) -> urgency
{
    const auto objective = job.m_deadline - job.m_arrived;
    const auto remaining = estimate_remaining_time(state, job, now);
    if (now + remaining + overrun_margin(state, job) <= job.m_deadline) {
        return urgency::in_time;
    }
    const auto shortest = std::chrono::duration_cast<microseconds>(remaining * (1.0 - run_time_tolerance(state, job)));
    if (now + shortest <= job.m_deadline) {
        return urgency::marginal;
    }
    return now < job.m_arrived + objective * late_factor ? urgency::late : urgency::overdue;
}

} // namespace cicadalug
