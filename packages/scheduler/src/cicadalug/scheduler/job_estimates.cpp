#include <cicadalug/scheduler/job_estimates.hpp>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace cicadalug {

namespace {

/** @brief Weight of the client's estimate against the learned mean of the queue; the estimates are far off. */
constexpr double client_estimate_weight{0.5};

/** @brief Longest duration of an estimate, ten years in milliseconds. */
constexpr double longest_estimate_ms{315'360'000'000.0};

/** @brief Converts an estimate; any value that is not below the longest estimate, or not a number, becomes that. */
[[nodiscard]] auto to_microseconds(const double ms) -> microseconds
{
    constexpr double microseconds_per_ms{1'000.0};
    const auto limited = ms < longest_estimate_ms ? std::max(ms, 0.0) : longest_estimate_ms;
    return microseconds{static_cast<std::int64_t>(limited * microseconds_per_ms)};
}

[[nodiscard]] auto to_ms(const microseconds time) -> double
{
    return static_cast<double>(time.count()) / 1'000.0;
}

/** @brief Returns the length of the longest path through steps of which each takes a given time. */
template<typename Function>
[[nodiscard]] auto longest_path_ms(const std::vector<step_spec>& steps, const Function& time_ms) -> double
{
    std::vector<double> finish_ms(steps.size(), 0.0);
    double longest{0.0};
    for (std::size_t number = 0; number < steps.size(); ++number) {
        double before{0.0};
        for (const auto earlier : steps[number].m_after) {
            if (earlier >= 0 && static_cast<std::size_t>(earlier) < number) {
                before = std::max(before, finish_ms[static_cast<std::size_t>(earlier)]);
            }
        }
        finish_ms[number] = before + time_ms(number);
        longest = std::max(longest, finish_ms[number]);
    }
    return longest;
}

} // namespace

auto expected_run_time_ms(const scheduler_state& state, const job_entry& job, const step_spec& step) -> double
{
    const auto declared_ms = static_cast<double>(step.m_estimate.count());
    const auto learned = state.m_run_times.find(job.m_record.m_policy.m_queue);
    if (learned == state.m_run_times.end() || learned->second.m_samples == 0) {
        return declared_ms;
    }
    return client_estimate_weight * declared_ms + (1.0 - client_estimate_weight) * learned->second.m_mean_ms;
}

auto estimate_objective(const scheduler_state& state, const job_entry& job) -> microseconds
{
    const auto& steps = job.m_record.m_spec.m_steps;
    const auto path_ms = longest_path_ms(
        steps, [&](const std::size_t number) { return expected_run_time_ms(state, job, steps[number]); });
    return job.m_record.m_policy.m_target + to_microseconds(path_ms * job.m_record.m_policy.m_stretch);
}

auto estimate_remaining_time(const scheduler_state& state, const job_entry& job, const time_point now) -> microseconds
{
    const auto& steps = job.m_record.m_spec.m_steps;
    const auto learned = state.m_step_overruns.find(job.m_record.m_policy.m_queue);
    const auto overrun_ms = learned == state.m_step_overruns.end() ? 0.0 : learned->second.m_mean_ms;
    const auto longest_ms = longest_path_ms(steps, [&](const std::size_t number) {
        const auto usual_ms = std::max(0.0, expected_run_time_ms(state, job, steps[number]) + overrun_ms);
        if (job.m_open.empty()) {
            return usual_ms + state.m_opening_time.m_mean_ms;
        }
        const auto& step = job.m_open.front().m_steps[number];
        if (step.m_done == step.m_tasks.size()) {
            return 0.0;
        }
        if (step.m_waiting > 0) {
            return step.m_opened ? usual_ms : usual_ms + state.m_opening_time.m_mean_ms;
        }
        return std::max(0.0, usual_ms - (step.m_last_start == time_point{} ? 0.0 : to_ms(now - step.m_last_start)));
    });
    return to_microseconds(longest_ms + state.m_storing_time.m_mean_ms);
}

auto learn_run_time(scheduler_state& state, const job_entry& job, const task_state& task, const time_point now) -> void
{
    if (task.m_phase == task_phase::running && task.m_checkpoint.empty()) {
        add_sample(state.m_run_times[job.m_record.m_policy.m_queue], to_ms(now - task.m_since));
    }
}

auto learn_step_overrun(scheduler_state& state, const job_entry& job, const step_spec& spec, const step_state& step,
                        const time_point now) -> void
{
    if (!step.m_recovered && !step.m_interrupted && step.m_last_start != time_point{}) {
        add_sample(state.m_step_overruns[job.m_record.m_policy.m_queue],
                   to_ms(now - step.m_last_start) - expected_run_time_ms(state, job, spec));
    }
}

auto learn_storing_time(scheduler_state& state, const job_entry& job, const time_point now) -> void
{
    add_sample(state.m_storing_time, to_ms(now - job.m_finished));
}

} // namespace cicadalug
