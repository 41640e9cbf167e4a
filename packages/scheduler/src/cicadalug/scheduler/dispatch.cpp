#include <cicadalug/scheduler/crash_suspicion.hpp>
#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/permits.hpp>
#include <cicadalug/scheduler/placement.hpp>
#include <cicadalug/scheduler/run_place.hpp>
#include <cicadalug/scheduler/time_accounting.hpp>
#include <cicadalug/scheduler/waiting_steps.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace cicadalug {

namespace {

/** @brief Capacity is reserved this long for a step that is being opened: several times the duration of an ordinary
 * write. If the store does not respond, steps that are already open can use the capacity afterwards. */
constexpr milliseconds opening_reservation_time{150};

/** @brief Run numbers of a token begin at token * this; more starts of one task in one term are not expected. */
constexpr std::int64_t runs_per_token{1'000};

/** @brief A long-running task that has waited this long uses paused workers, too. It bounds the time without a run, and
 * the rate at which the task is started on a worker that fails it at once. */
constexpr milliseconds paused_worker_delay{1'000};

/** @brief Returns the maximum age of a copy from which a task may be started within a time limit of the platform. */
[[nodiscard]] auto max_copy_age(const scheduler_settings& settings, const milliseconds limit) -> milliseconds
{
    return std::max(limit - settings.m_command_timeout - settings.m_start_margin, settings.m_min_copy_age);
}

/** @brief Checks whether a worker may still be sent a start that was decided earlier. */
[[nodiscard]] auto is_in_service(const worker_slot& worker) -> bool
{
    return find_service_obstacle(worker) == worker_obstacle::none;
}

/** @brief Workers of a service, in the order of the current workers. */
struct service_workers {
    /** @brief Workers that accept new work. */
    std::vector<worker_index> m_accepting;
    /** @brief Workers that would accept new work without their pause. */
    std::vector<worker_index> m_paused;
};

/** @brief Collects the workers of each service with jobs. One scan serves all services, as the records of the workers
 * of a large fleet exceed the caches of the processor. */
[[nodiscard]] auto collect_workers(const scheduler_state& state, const time_point now)
    -> std::map<service_id, service_workers>
{
    std::map<service_id, service_workers> found;
    for (const auto& [service, jobs] : state.m_active) {
        if (!jobs.empty()) {
            found.try_emplace(service);
        }
    }
    if (found.empty()) {
        return found;
    }
    for (const auto index : state.m_current_workers) {
        const auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        const auto service = found.find(worker.m_entry.m_service);
        if (service == found.end()) {
            continue;
        }
        const auto obstacle = find_obstacle(worker, now);
        if (obstacle == worker_obstacle::none) {
            service->second.m_accepting.push_back(index);
        }
        else if (obstacle == worker_obstacle::paused) {
            service->second.m_paused.push_back(index);
        }
    }
    return found;
}

/** @brief Checks whether a worker's runs need more than its capacity of a resource that the demand is part of. */
[[nodiscard]] auto exceeds_capacity(const worker_slot& worker, const resources& demand) -> bool
{
    const auto& capacity = worker.m_entry.m_capacity;
    return (demand.m_cpu > millicores{0} && worker.m_used.m_cpu > capacity.m_cpu) ||
           (demand.m_memory > mebibytes{0} && worker.m_used.m_memory > capacity.m_memory) ||
           (demand.m_accelerators > 0 && worker.m_used.m_accelerators > capacity.m_accelerators);
}

/** @brief State of a scheduling pass for one service. */
struct service_pass {
    scheduler_state& m_state;
    placement_index m_index;
    /** @brief Workers that would accept new work without their pause. */
    placement_index m_paused;
    /** @brief Capacity reserved for steps that are being opened, until the end of the pass. */
    std::vector<std::pair<worker_index, resources>> m_reserved;
    time_point m_now{};
    /** @brief Workers that accept new work, those in a trial included; the index lacks these. */
    std::vector<worker_index> m_accepting;
    /** @brief Workers that accept new work, or would without their pause, and are in a trial. */
    std::size_t m_in_trial{0};
    /** @brief Workers that are kept free for long-running tasks. */
    std::vector<worker_index> m_kept_free;
};

/** @brief Changes the used capacity of a worker, and its place in the index. */
auto add_used(service_pass& pass, const worker_index index, const resources& demand) -> void
{
    auto& worker = pass.m_state.m_workers[static_cast<std::size_t>(index)];
    const auto free_before = (worker.m_entry.m_capacity - worker.m_used).m_cpu;
    worker.m_used = worker.m_used + demand;
    if (!is_in_trial(pass.m_state, index)) {
        auto& containing = worker.m_paused_until > pass.m_now ? pass.m_paused : pass.m_index;
        update_placement(containing, pass.m_state, index, free_before);
    }
}

auto start_task(service_pass& pass, job_entry& job, step_state& step, const task_ref& task, const worker_index index,
                const run_number run) -> void
{
    auto& state = pass.m_state;
    auto& found = step.m_tasks[static_cast<std::size_t>(task.m_index)];
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    found.m_phase = task_phase::starting;
    found.m_worker = index;
    found.m_run = run;
    found.m_highest_run = run;
    found.m_since = pass.m_now;
    enter_part(found.m_times, job_part::placed, pass.m_now);
    --step.m_waiting;
    // Once the reservation has ended, the step may have waited for capacity, too.
    if (step.m_last_start == time_point{} && pass.m_now - step.m_opening_since < opening_reservation_time) {
        add_sample(state.m_opening_time, static_cast<double>((pass.m_now - step.m_opening_since).count()) / 1'000.0);
    }
    step.m_last_start = pass.m_now;
    placed_run placed;
    placed.m_task = task;
    placed.m_run = run;
    placed.m_demand = reserved_demand(step_of(job, task));
    placed.m_long_running = step_of(job, task).m_long_running;
    placed.m_best_effort = step_of(job, task).m_best_effort;
    placed.m_sent = pass.m_now;
    if (has_stored_places(step_of(job, task))) {
        plan_place(state, job, found, index);
        placed.m_held = !is_place_stored(state, found, index);
    }
    auto& starts = placed.m_held ? state.m_held_starts : state.m_starts;
    const auto demand = placed.m_demand;
    worker.m_runs.push_back(placed);
    add_used(pass, index, demand);
    const auto permit = step.m_permits.find(index);
    starts.push_back({index, task, run, found.m_checkpoint,
                      permit == step.m_permits.end() ? std::string{} : permit->second.m_text, pass.m_now});
}

auto reserve_capacity(service_pass& pass, const worker_index index, const resources& demand) -> void
{
    add_used(pass, index, demand);
    pass.m_reserved.emplace_back(index, demand);
}

/** @brief Releases the reservations from a position on. */
auto release_capacity(service_pass& pass, const std::size_t first) -> void
{
    for (auto position = first; position < pass.m_reserved.size(); ++position) {
        const auto& [index, demand] = pass.m_reserved[position];
        add_used(pass, index, resources{} - demand);
    }
    pass.m_reserved.resize(first);
}

/** @brief Requests a write that opens a step. @return True while capacity should be reserved for the step. */
[[nodiscard]] auto open_step(service_pass& pass, job_entry& job, step_state& step) -> bool
{
    if (!step.m_opening) {
        step.m_opening = true;
        step.m_opening_since = pass.m_now;
        mark_dirty(pass.m_state, job);
    }
    return pass.m_now - step.m_opening_since < opening_reservation_time;
}

[[nodiscard]] auto uses_paused_workers(const service_pass& pass, const waiting_step& waiting, const std::size_t index)
    -> bool
{
    return may_use_paused_workers(pass.m_state, *waiting.m_job, task_of(waiting, index), pass.m_now);
}

/** @brief Selects the worker for a task: a paused one only if no other can hold it, and for a long-running task one
 * with a stale lease only if no other accepts work and can hold it. */
[[nodiscard]] auto choose_worker(service_pass& pass, const waiting_step& waiting, const std::size_t index)
    -> worker_index
{
    auto request = request_of(waiting, index);
    if (waiting.m_job->m_record.m_spec.m_steps[waiting.m_step].m_long_running) {
        request.m_avoids_stale_leases = true;
        const auto worker = choose_worker(pass.m_index, pass.m_state, request, pass.m_now);
        if (worker != no_worker) {
            return worker;
        }
        request.m_avoids_stale_leases = false;
    }
    const auto worker = choose_worker(pass.m_index, pass.m_state, request, pass.m_now);
    return worker == no_worker && uses_paused_workers(pass, waiting, index)
               ? choose_worker(pass.m_paused, pass.m_state, request, pass.m_now)
               : worker;
}

/** @brief Requests the permits that a task lacks for the workers that it may use. */
auto request_permits(service_pass& pass, const waiting_step& waiting, const std::size_t index) -> void
{
    auto candidates = pass.m_index.m_candidates;
    if (uses_paused_workers(pass, waiting, index)) {
        candidates.insert(candidates.end(), pass.m_paused.m_candidates.begin(), pass.m_paused.m_candidates.end());
    }
    request_permits(pass.m_state, task_of(waiting, index), waiting.m_occurrence->m_steps[waiting.m_step], candidates,
                    pass.m_now);
}

/** @brief Reserves capacity for the tasks of a step that is being opened. */
auto reserve_for_step(service_pass& pass, const waiting_step& waiting) -> void
{
    const auto& step = waiting.m_occurrence->m_steps[waiting.m_step];
    const auto& spec = waiting.m_job->m_record.m_spec.m_steps[waiting.m_step];
    for (std::size_t index = 0; index < step.m_tasks.size(); ++index) {
        const auto worker = choose_worker(pass, waiting, index);
        if (worker == no_worker) {
            return;
        }
        reserve_capacity(pass, worker, reserved_demand(spec));
    }
}

[[nodiscard]] auto next_run(const scheduler_state& state, const task_state& task) -> run_number
{
    const auto first = static_cast<std::int64_t>(state.m_token.value()) * runs_per_token + 1;
    return run_number{std::max(first, task.m_highest_run.value() + 1)};
}

/** @brief Fails the job of a waiting task that has no attempt left: the last failure was counted by an earlier decider,
 * or while a run continued that has been lost since. While runs may still be found, one of them can complete the task.
 */
auto give_up(service_pass& pass, const waiting_step& waiting) -> void
{
    if (!waiting.m_recovering) {
        fail_job(pass.m_state, *waiting.m_job, pass.m_now);
    }
}

/** @brief Starts all members of a gang together, or none of them. */
auto start_gang(service_pass& pass, const waiting_step& waiting) -> void
{
    auto& job = *waiting.m_job;
    auto& step = waiting.m_occurrence->m_steps[waiting.m_step];
    const bool in_backoff = std::any_of(step.m_tasks.begin(), step.m_tasks.end(),
                                        [&pass](const task_state& member) { return member.m_not_before > pass.m_now; });
    if (step.m_waiting != step.m_tasks.size() || in_backoff) {
        account_waiting(step, in_backoff ? job_part::back_off : job_part::gang_incomplete, pass.m_now);
        return;
    }
    if (is_out_of_attempts(job, task_of(waiting, 0))) {
        give_up(pass, waiting);
        return;
    }
    auto run = run_number{0};
    for (const auto& member : step.m_tasks) {
        run = std::max(run, next_run(pass.m_state, member));
    }
    const auto first = pass.m_reserved.size();
    // Demands that do not fit only beside these reservations fit again after their release.
    const auto unplaceable = pass.m_index.m_unplaceable;
    const auto unplaceable_on_paused = pass.m_paused.m_unplaceable;
    reserve_for_step(pass, waiting);
    const std::vector<std::pair<worker_index, resources>> members{
        pass.m_reserved.begin() + static_cast<std::ptrdiff_t>(first), pass.m_reserved.end()};
    release_capacity(pass, first);
    pass.m_index.m_unplaceable = unplaceable;
    pass.m_paused.m_unplaceable = unplaceable_on_paused;
    if (members.size() != step.m_tasks.size()) {
        if (waiting.m_needs_permit) {
            request_permits(pass, waiting, 0);
        }
        account_waiting(step, step.m_permits_requested ? job_part::no_permit : job_part::none_fitting, pass.m_now);
        return;
    }
    if (!step.m_opened) {
        account_waiting(step, job_part::step_not_opened, pass.m_now);
        if (open_step(pass, job, step)) {
            reserve_for_step(pass, waiting);
        }
        return;
    }
    for (std::size_t index = 0; index < step.m_tasks.size(); ++index) {
        step.m_tasks[index].m_checkpoint = step.m_tasks.front().m_checkpoint;
        start_task(pass, job, step, task_of(waiting, index), members[index].first, run);
    }
}

/** @brief Returns the workers on which a trial may begin, paused ones included if the task may use them. */
[[nodiscard]] auto trial_candidates(const service_pass& pass, const waiting_step& waiting, const std::size_t index)
    -> std::vector<worker_index>
{
    auto candidates = pass.m_accepting;
    if (uses_paused_workers(pass, waiting, index)) {
        candidates.insert(candidates.end(), pass.m_paused.m_candidates.begin(), pass.m_paused.m_candidates.end());
    }
    return candidates;
}

/** @brief Checks whether a trial that was planned for a worker may still begin there. */
[[nodiscard]] auto accepts_trial(const service_pass& pass, const waiting_step& waiting, const std::size_t index,
                                 const worker_index worker) -> bool
{
    const auto& slot = pass.m_state.m_workers[static_cast<std::size_t>(worker)];
    const auto& service = waiting.m_job->m_record.m_policy.m_service;
    const auto obstacle = find_obstacle(slot, pass.m_now);
    return slot.m_entry.m_service == service &&
           (obstacle == worker_obstacle::none ||
            (obstacle == worker_obstacle::paused && uses_paused_workers(pass, waiting, index)));
}

/** @brief Selects a worker for a trial: a paused one only if no other can hold it, then one on which the trial can
 * begin at once, and among these the one with the fewest runs, all of which would be lost in a crash. */
[[nodiscard]] auto choose_trial_worker(const service_pass& pass, const waiting_step& waiting, const std::size_t index)
    -> worker_index
{
    const auto request = request_of(waiting, index);
    auto best = no_worker;
    std::tuple<bool, bool, std::size_t> best_cost;
    for (const auto candidate : trial_candidates(pass, waiting, index)) {
        const auto& worker = pass.m_state.m_workers[static_cast<std::size_t>(candidate)];
        const std::tuple cost{worker.m_paused_until > pass.m_now, !is_quiet(worker), worker.m_runs.size()};
        if (can_place(pass.m_state, candidate, request, pass.m_now) && !is_in_trial(pass.m_state, candidate) &&
            (best == no_worker || cost < best_cost)) {
            best = candidate;
            best_cost = cost;
        }
    }
    return best;
}

/** @brief Keeps a worker free from other tasks than long-running ones, so that one of those can start there soon. */
auto keep_worker_free(service_pass& pass, const waiting_step& waiting, const std::size_t index) -> void
{
    if (!waiting.m_job->m_record.m_spec.m_steps[waiting.m_step].m_long_running) {
        return;
    }
    const auto worker =
        choose_worker_to_free(pass.m_index, pass.m_state, request_of(waiting, index), pass.m_kept_free, pass.m_now);
    if (worker != no_worker) {
        pass.m_kept_free.push_back(worker);
    }
}

/** @brief Plans the trial of a task, or starts it if it is stored and nothing else can crash its worker. */
auto advance_trial(service_pass& pass, const waiting_step& waiting, const std::size_t index) -> void
{
    auto& state = pass.m_state;
    auto& job = *waiting.m_job;
    auto& step = waiting.m_occurrence->m_steps[waiting.m_step];
    const auto task = task_of(waiting, index);
    const auto request = request_of(waiting, index);
    auto* trial = find_trial(state, task);
    if (trial != nullptr) {
        const auto worker = trial->m_worker;
        if (trial->m_started) {
            return;
        }
        if (!accepts_trial(pass, waiting, index, worker) || !can_place(state, worker, request, pass.m_now)) {
            drop_trial(state, task);
            return;
        }
        if (trial->m_is_stored && is_quiet(state.m_workers[static_cast<std::size_t>(worker)])) {
            trial->m_started = true;
            start_task(pass, job, step, task, worker, trial->m_stored.m_run);
        }
        return;
    }
    // The tasks of a job are much alike: trials of several at once would crash several workers to give up one job.
    if (pass.m_in_trial >= trial_limit(pass.m_accepting.size()) || has_unproven_trial(state, job.m_record.m_id) ||
        awaits_evidence(state, task, pass.m_now)) {
        return;
    }
    const auto worker = choose_trial_worker(pass, waiting, index);
    if (worker == no_worker) {
        if (waiting.m_needs_permit) {
            request_permits(state, task, step, trial_candidates(pass, waiting, index), pass.m_now);
        }
        keep_worker_free(pass, waiting, index);
        return;
    }
    plan_trial(state, task, worker, next_run(state, step.m_tasks[index]));
    ++pass.m_in_trial;
    remove_candidate(pass.m_index, state, worker);
    remove_candidate(pass.m_paused, state, worker);
}

auto close_kept_workers(service_pass& pass) -> void
{
    for (const auto worker : std::exchange(pass.m_kept_free, {})) {
        remove_candidate(pass.m_index, pass.m_state, worker);
    }
}

auto start_tasks(service_pass& pass, const waiting_step& waiting) -> void
{
    auto& job = *waiting.m_job;
    auto& step = waiting.m_occurrence->m_steps[waiting.m_step];
    bool full{false};
    for (std::size_t index = 0; index < step.m_tasks.size(); ++index) {
        auto& member = step.m_tasks[index];
        if (member.m_phase != task_phase::waiting) {
            continue;
        }
        if (waiting.m_awaits_runs && may_run_unseen(pass.m_state, member, pass.m_now)) {
            enter_part(member.m_times, job_part::recovering, pass.m_now);
            continue;
        }
        if (member.m_not_before > pass.m_now) {
            enter_part(member.m_times, job_part::back_off, pass.m_now);
            continue;
        }
        const auto task = task_of(waiting, index);
        if (is_out_of_attempts(job, task)) {
            give_up(pass, waiting);
            if (is_final(job.m_state)) {
                return;
            }
            continue;
        }
        if (is_suspect(member)) {
            enter_part(member.m_times, job_part::trial, pass.m_now);
            advance_trial(pass, waiting, index);
            continue;
        }
        const auto paused_usable = uses_paused_workers(pass, waiting, index);
        const auto worker = full && !paused_usable ? no_worker : choose_worker(pass, waiting, index);
        if (worker == no_worker) {
            if (waiting.m_needs_permit && (!full || paused_usable)) {
                request_permits(pass, waiting, index);
            }
            keep_worker_free(pass, waiting, index);
            // Suspects have workers of their own, and tasks that have waited longer use paused workers.
            full = true;
            enter_part(member.m_times, step.m_permits_requested ? job_part::no_permit : job_part::none_fitting,
                       pass.m_now);
            continue;
        }
        if (!step.m_opened) {
            account_waiting(step, job_part::step_not_opened, pass.m_now);
            // Less urgent steps that are already open would take the capacity while the write is in progress.
            if (open_step(pass, job, step)) {
                reserve_for_step(pass, waiting);
            }
            return;
        }
        start_task(pass, job, step, task, worker, next_run(pass.m_state, member));
    }
}

} // namespace

auto is_ready(const job_entry& job, const occurrence_state& occurrence, const std::size_t step) -> bool
{
    const auto& after = job.m_record.m_spec.m_steps[step].m_after;
    return std::all_of(after.begin(), after.end(), [&occurrence](const std::int64_t earlier) {
        const auto& before = occurrence.m_steps[static_cast<std::size_t>(earlier)];
        return before.m_done == before.m_tasks.size();
    });
}

auto waiting_since(const scheduler_state& state, const job_entry& job, const task_state& task) -> time_point
{
    return std::max({task.m_since, job.m_arrived, job.m_recovered ? state.m_began : time_point{}});
}

auto may_use_paused_workers(const scheduler_state& state, const job_entry& job, const task_ref& task,
                            const time_point now) -> bool
{
    const auto& found = find_step(job, task)->m_tasks[static_cast<std::size_t>(task.m_index)];
    return step_of(job, task).m_long_running && now - waiting_since(state, job, found) >= paused_worker_delay;
}

auto are_jobs_current(const scheduler_state& state, const time_point now) -> bool
{
    return now - state.m_jobs_current_at <= max_copy_age(state.m_settings, state.m_settings.m_cancel_time);
}

auto are_workers_current(const scheduler_state& state, const time_point now) -> bool
{
    return now - state.m_workers_current_at <= max_copy_age(state.m_settings, state.m_settings.m_drain_time);
}

auto may_start(const scheduler_state& state, const time_point now) -> bool
{
    return now < state.m_term_guaranteed_until && are_jobs_current(state, now) && are_workers_current(state, now);
}

auto are_leases_long_enough(const scheduler_state& state, const time_point now) -> bool
{
    return state.m_grant_limit >= now + state.m_settings.m_min_lease;
}

auto is_start_valid(const scheduler_state& state, const start_command& command, const time_point now) -> bool
{
    const auto& worker = state.m_workers[static_cast<std::size_t>(command.m_worker)];
    const auto* job = find_job(state, command.m_task.m_job);
    return may_start(state, now) && is_in_service(worker) && job != nullptr &&
           !is_out_of_attempts(*job, command.m_task) &&
           std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const placed_run& run) {
               return run.m_run == command.m_run && run.m_task == command.m_task && !run.m_stop_requested &&
                      !exceeds_capacity(worker, run.m_demand);
           });
}

auto grant_start_lease(scheduler_state& state, const worker_index index, const time_point now) -> std::int64_t
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    const auto& settings = state.m_settings;
    const auto last_arrival = [&settings](const time_point copied, const milliseconds limit) {
        return copied + max_copy_age(settings, limit) + settings.m_command_timeout;
    };
    const auto end = std::min({now + settings.m_command_timeout + settings.m_start_margin, state.m_grant_limit,
                               last_arrival(state.m_jobs_current_at, settings.m_cancel_time),
                               last_arrival(state.m_workers_current_at, settings.m_drain_time)});
    // A clock that is not slow reaches this time earlier, by less than 100 ms.
    const auto left = end - worker.m_clock_read;
    const auto slowest = left - left * settings.m_clock_drift_permille / 1'000;
    auto lease_until_ms = worker.m_clock_ms + std::chrono::duration_cast<milliseconds>(slowest).count();
    if (worker.m_unresponsive || worker.m_listed_end) {
        lease_until_ms = std::min(lease_until_ms, worker.m_lease_until_ms);
    }
    worker.m_lease_until_ms = std::max(worker.m_lease_until_ms, lease_until_ms);
    return lease_until_ms;
}

auto dispatch(scheduler_state& state, const time_point now) -> void
{
    state.m_dispatch_requested = false;
    if (!are_leases_long_enough(state, now) || !may_start(state, now)) {
        for (const auto& [service, jobs] : state.m_active) {
            account_waiting(jobs, job_part::starts_suspended, now);
        }
        return;
    }
    release_starts(state, now);
    auto workers = collect_workers(state, now);
    for (const auto& [service, jobs] : state.m_active) {
        if (jobs.empty()) {
            continue;
        }
        auto& [candidates, paused] = workers.find(service)->second;
        if (candidates.empty() && paused.empty()) {
            account_waiting(jobs, job_part::none_accepting, now);
            continue;
        }
        auto accepting = candidates;
        const auto tried = [&state](const worker_index index) {
            return is_in_trial(state, index);
        };
        const auto in_trial = std::erase_if(candidates, tried) + std::erase_if(paused, tried);
        service_pass pass{state,
                          make_placement_index(state, std::move(candidates)),
                          make_placement_index(state, std::move(paused)),
                          {},
                          now,
                          std::move(accepting),
                          in_trial,
                          {}};
        for (const auto& waiting : collect_waiting(state, jobs, is_recovered(state, service, now), now)) {
            if (is_final(waiting.m_job->m_state)) {
                continue;
            }
            const auto& spec = waiting.m_job->m_record.m_spec.m_steps[waiting.m_step];
            if (!spec.m_long_running) {
                close_kept_workers(pass);
            }
            if (spec.m_gang) {
                start_gang(pass, waiting);
            }
            else {
                start_tasks(pass, waiting);
            }
        }
        release_capacity(pass, 0);
    }
}

} // namespace cicadalug
