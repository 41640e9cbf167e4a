#include <cicadalug/scheduler/crash_suspicion.hpp>
#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/needed_workers.hpp>
#include <cicadalug/scheduler/placement.hpp>
#include <cicadalug/scheduler/run_place.hpp>
#include <cicadalug/scheduler/wait_cause.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(wait_cause::none) + 1> names{
    "term_not_guaranteed",  "jobs_copy_too_old",
    "workers_copy_too_old", "leases_too_short",
    "recovering",           "back_off",
    "gang_incomplete",      "no_trial",
    "trial_not_stored",     "trial_worker_busy",
    "none_accepting",       "none_fitting",
    "step_not_opened",      "none",
};

/** @brief Counts the workers of the task's service by what rules them out. */
auto count_workers(const scheduler_state& state, const job_entry& job, const placement_request& request,
                   const bool use_paused, const time_point now, task_wait& wait) -> void
{
    const auto& service = job.m_record.m_policy.m_service;
    for (const auto index : state.m_current_workers) {
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        if (worker.m_entry.m_service != service) {
            continue;
        }
        wait.m_unreported += worker.m_has_reported ? 0 : 1;
        wait.m_overcommitted += fits(worker.m_used, worker.m_entry.m_capacity) ? 0 : 1;
        auto obstacle = find_obstacle(worker, now);
        if (obstacle == worker_obstacle::paused) {
            const auto left = worker.m_paused_until - now;
            wait.m_pause_left = std::min(wait.m_pause_left.value_or(left), left);
            obstacle = use_paused ? worker_obstacle::none : obstacle;
        }
        if (obstacle == worker_obstacle::none && is_in_trial(state, index)) {
            obstacle = worker_obstacle::in_trial;
        }
        if (obstacle == worker_obstacle::none) {
            obstacle = find_placement_obstacle(state, index, request, now);
        }
        ++wait.m_workers[static_cast<std::size_t>(obstacle)];
    }
    wait.m_expected = count_expected_workers(state, service);
    const auto& place =
        find_step(job, request.m_task)->m_tasks[static_cast<std::size_t>(request.m_task.m_index)].m_place;
    const bool waits_for_place = place && is_awaited(state, place->m_worker, now);
    wait.m_awaited = waits_for_place ? std::optional{place->m_worker} : last_awaited_worker(state, service, now);
    if (wait.m_awaited) {
        wait.m_awaited_left = expected_lease_end(state, *wait.m_awaited) - now;
        wait.m_awaited_bound = bound_of_expected_lease(state, *wait.m_awaited);
    }
}

[[nodiscard]] auto count_of(const task_wait& wait, const worker_obstacle obstacle) -> std::int64_t
{
    return wait.m_workers[static_cast<std::size_t>(obstacle)];
}

/** @brief Returns the condition that suspends all starts, or none. */
[[nodiscard]] auto find_suspension(const scheduler_state& state, const time_point now) -> wait_cause
{
    if (now >= state.m_term_guaranteed_until) {
        return wait_cause::term_not_guaranteed;
    }
    if (!are_jobs_current(state, now)) {
        return wait_cause::jobs_copy_too_old;
    }
    if (!are_workers_current(state, now)) {
        return wait_cause::workers_copy_too_old;
    }
    return are_leases_long_enough(state, now) ? wait_cause::none : wait_cause::leases_too_short;
}

[[nodiscard]] auto find_trial_cause(const scheduler_state& state, const task_ref& task) -> wait_cause
{
    const auto* trial = find_trial(state, task);
    if (trial == nullptr) {
        return wait_cause::no_trial;
    }
    if (!trial->m_is_stored) {
        return wait_cause::trial_not_stored;
    }
    return is_quiet(state.m_workers[static_cast<std::size_t>(trial->m_worker)]) ? wait_cause::none
                                                                                : wait_cause::trial_worker_busy;
}

[[nodiscard]] auto find_cause(const scheduler_state& state, const job_entry& job, const task_ref& task,
                              const task_wait& wait, const time_point now) -> wait_cause
{
    if (const auto suspended = find_suspension(state, now); suspended != wait_cause::none) {
        return suspended;
    }
    const auto& spec = step_of(job, task);
    const auto& step = *find_step(job, task);
    const auto& found = step.m_tasks[static_cast<std::size_t>(task.m_index)];
    const bool may_be_found = !has_stored_places(spec) || may_run_unseen(state, found, now);
    if (step.m_recovered && !spec.m_speculative && may_be_found &&
        !is_recovered(state, job.m_record.m_policy.m_service, now)) {
        return wait_cause::recovering;
    }
    if (found.m_not_before > now) {
        return wait_cause::back_off;
    }
    if (spec.m_gang && step.m_waiting != step.m_tasks.size()) {
        return wait_cause::gang_incomplete;
    }
    const auto able = count_of(wait, worker_obstacle::none);
    if (is_suspect(found)) {
        return find_trial_cause(state, task);
    }
    if (able == 0) {
        const bool accepting =
            std::any_of(wait.m_workers.begin() + static_cast<std::ptrdiff_t>(worker_obstacle::in_trial),
                        wait.m_workers.end(), [](const std::int64_t count) { return count > 0; });
        return accepting ? wait_cause::none_fitting : wait_cause::none_accepting;
    }
    return step.m_opened ? wait_cause::none : wait_cause::step_not_opened;
}

/** @brief Adds the waiting tasks of a step whose turn has come. */
auto add_long_waits(const scheduler_state& state, const job_entry& job, const task_ref& first,
                    const milliseconds at_least, const std::size_t limit, const time_point now, long_waits& waits)
    -> void
{
    const auto& step = *find_step(job, first);
    for (std::size_t index = 0; index < step.m_tasks.size(); ++index) {
        const auto& task = step.m_tasks[index];
        if (task.m_phase != task_phase::waiting || now - waiting_since(state, job, task) < at_least) {
            continue;
        }
        if (++waits.m_count <= limit) {
            auto ref = first;
            ref.m_index = static_cast<std::int64_t>(index);
            waits.m_explained.push_back(explain_wait(state, ref, now));
        }
    }
}

} // namespace

auto name_of(const wait_cause cause) noexcept -> std::string_view
{
    return names[static_cast<std::size_t>(cause)];
}

auto explain_wait(const scheduler_state& state, const task_ref& task, const time_point now) -> task_wait
{
    const auto& job = *find_job(state, task.m_job);
    const auto& step = *find_step(job, task);
    const auto& found = step.m_tasks[static_cast<std::size_t>(task.m_index)];
    const auto& policy = job.m_record.m_policy;
    task_wait wait;
    wait.m_task = task;
    wait.m_waited = now - waiting_since(state, job, found);
    if (!step.m_opened && step.m_opening) {
        wait.m_opening = now - step.m_opening_since;
    }
    const bool needs_permit = state.m_permit_queues.contains(policy.m_queue);
    const auto& spec = step_of(job, task);
    count_workers(state, job, {&spec, task, &found.m_failed_workers, needs_permit ? &step : nullptr},
                  may_use_paused_workers(state, job, task, now), now, wait);
    wait.m_cause = find_cause(state, job, task, wait, now);
    return wait;
}

auto find_long_waits(const scheduler_state& state, const milliseconds at_least, const std::size_t limit,
                     const time_point now) -> long_waits
{
    long_waits waits;
    for (const auto& step : find_waiting_long_running_steps(state)) {
        add_long_waits(state, *step.m_job, step.m_first, at_least, limit, now, waits);
    }
    return waits;
}

} // namespace cicadalug
