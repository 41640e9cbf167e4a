#include <cicadalug/scheduler/crash_suspicion.hpp>
#include <cicadalug/scheduler/end_acknowledgement.hpp>
#include <cicadalug/scheduler/job_estimates.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/permits.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/scheduler/run_place.hpp>
#include <cicadalug/scheduler/stale_lease.hpp>
#include <cicadalug/scheduler/time_accounting.hpp>
#include <cicadalug/scheduler/unanswered_start.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/scheduler/worker_health.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Pauses of a worker after a rejected start: for lack of capacity or health, or if another worker responded. */
constexpr milliseconds rejection_pause{300};
constexpr milliseconds other_worker_pause{1'000};

[[nodiscard]] auto find_run(worker_slot& worker, const task_ref& task, const run_number run)
    -> std::vector<placed_run>::iterator
{
    return std::find_if(worker.m_runs.begin(), worker.m_runs.end(),
                        [&](const placed_run& placed) { return placed.m_run == run && placed.m_task == task; });
}

/** @brief Removes a run and frees its capacity. */
auto remove_run(scheduler_state& state, worker_slot& worker, const std::vector<placed_run>::iterator run) -> void
{
    worker.m_used = worker.m_used - run->m_demand;
    *run = worker.m_runs.back();
    worker.m_runs.pop_back();
    state.m_dispatch_requested = true;
}

/** @brief Checks whether a run on a worker is the one that its task has now; a worker may report a copy of it. */
[[nodiscard]] auto is_current_run(const task_state& task, const worker_index index, const run_number run) -> bool
{
    return task.m_phase != task_phase::waiting && task.m_run == run && task.m_worker == index;
}

/** @brief Removes a run that never ran or has ended without a reported end. */
auto abandon_run(scheduler_state& state, worker_slot& worker, const std::vector<placed_run>::iterator run,
                 const lost_cause cause, const time_point now) -> void
{
    const auto task = run->m_task;
    const auto number = run->m_run;
    const auto index = state.m_worker_by_id.at(worker.m_entry.m_id);
    state.m_events.push_back({run_event_kind::lost, index, task, number, 0, cause, run->m_adopted,
                              lease_end(state, worker), worker.m_last_report, known_lease_of(worker)});
    remove_run(state, worker, run);
    auto* job = find_job(state, task.m_job);
    const auto* known = find_task(state, task);
    if (job != nullptr && known != nullptr && is_current_run(*known, index, number)) {
        apply_task_end(state, *job, {task, number, run_end::expired, {}}, now);
    }
}

auto abandon_all_runs(scheduler_state& state, worker_slot& worker, const lost_cause cause, const time_point now) -> void
{
    while (!worker.m_runs.empty()) {
        abandon_run(state, worker, worker.m_runs.begin(), cause, now);
    }
}

/** @brief Lists a worker as one that is registered or may hold runs. */
auto make_current(scheduler_state& state, worker_slot& worker, const worker_index index) -> void
{
    if (!worker.m_current) {
        worker.m_current = true;
        state.m_current_workers.push_back(index);
    }
}

/** @brief Adopts a reported run that this decider did not start, or of whose start it has no record. */
auto adopt_run(scheduler_state& state, worker_slot& worker, const worker_index index, const running_report& report,
               const time_point now) -> void
{
    placed_run placed;
    placed.m_task = report.m_task;
    placed.m_run = report.m_run;
    placed.m_confirmed = true;
    placed.m_adopted = true;
    auto* job = find_job(state, report.m_task.m_job);
    auto* task = find_task(state, report.m_task);
    if (job == nullptr || task == nullptr || is_final(job->m_state) || task->m_phase == task_phase::done ||
        (task->m_phase != task_phase::waiting && !is_current_run(*task, index, report.m_run))) {
        placed.m_stop_requested = true;
    }
    else if (task->m_phase == task_phase::waiting) {
        begin_running(*task, now, now);
        if (has_stored_places(step_of(*job, report.m_task))) {
            plan_place(state, *job, *task, index);
        }
        task->m_worker = index;
        task->m_run = report.m_run;
        task->m_highest_run = std::max(task->m_highest_run, report.m_run);
        auto& step = *find_step(*job, report.m_task);
        --step.m_waiting;
        step.m_opened = true;
        job->m_started = true;
    }
    if (job != nullptr && report.m_task.m_step >= 0 &&
        static_cast<std::size_t>(report.m_task.m_step) < job->m_record.m_spec.m_steps.size()) {
        placed.m_demand = reserved_demand(step_of(*job, report.m_task));
        placed.m_long_running = step_of(*job, report.m_task).m_long_running;
        placed.m_best_effort = step_of(*job, report.m_task).m_best_effort;
        placed.m_speed_percent = -1;
    }
    else {
        // The size of the run is unknown. Nothing may start beside it until it has been stopped.
        placed.m_demand = worker.m_entry.m_capacity;
    }
    worker.m_used = worker.m_used + placed.m_demand;
    worker.m_runs.push_back(placed);
    // The worker may have left the registry and had no runs before a late start.
    make_current(state, worker, index);
}

auto apply_running_report(scheduler_state& state, worker_slot& worker, const worker_index index,
                          const running_report& report, const time_point now) -> void
{
    const auto run = find_run(worker, report.m_task, report.m_run);
    if (run == worker.m_runs.end()) {
        adopt_run(state, worker, index, report, now);
        return;
    }
    run->m_confirmed = true;
    run->m_no_response_since.reset();
    auto* task = find_task(state, report.m_task);
    if (task == nullptr || !is_current_run(*task, index, report.m_run)) {
        return;
    }
    if (task->m_phase == task_phase::starting) {
        begin_running(*task, run->m_sent, now);
    }
    // A run that is being stopped counts as unavailable from the command on.
    task->m_percent = run->m_stop_requested || run->m_ending ? 0 : report.m_percent;
    task->m_usage = report.m_usage;
    if (!report.m_checkpoint.empty()) {
        task->m_checkpoint = report.m_checkpoint;
    }
}

/** @brief Stops the remaining runs of a task that is done. */
auto stop_other_runs(scheduler_state& state, const task_ref& task) -> void
{
    for (auto& worker : state.m_workers) {
        for (auto& run : worker.m_runs) {
            run.m_stop_requested = run.m_stop_requested || run.m_task == task;
        }
    }
}

/** @brief Stops the runs of a gang of which one member has not been started. */
auto stop_gang(scheduler_state& state, const start_command& rejected) -> void
{
    for (auto& worker : state.m_workers) {
        for (auto& run : worker.m_runs) {
            const bool member = run.m_run == rejected.m_run && run.m_task.m_job == rejected.m_task.m_job &&
                                run.m_task.m_occurrence == rejected.m_task.m_occurrence &&
                                run.m_task.m_step == rejected.m_task.m_step;
            run.m_stop_requested = run.m_stop_requested || member;
        }
    }
}

/** @brief Applies a reported end to its task. */
auto apply_end(scheduler_state& state, worker_slot& worker, const ended_report& report, const time_point now) -> void
{
    const auto index = state.m_worker_by_id.at(worker.m_entry.m_id);
    update_worker_health(state, worker, report, now);
    if (report.m_outcome == run_end::failed) {
        state.m_events.push_back({run_event_kind::failed, index, report.m_task, report.m_run,
                                  static_cast<std::int64_t>(worker.m_failed_work.size())});
    }
    const auto run = find_run(worker, report.m_task, report.m_run);
    if (run != worker.m_runs.end()) {
        remove_run(state, worker, run);
    }
    auto* job = find_job(state, report.m_task.m_job);
    auto* task = find_task(state, report.m_task);
    if (job == nullptr || task == nullptr) {
        return;
    }
    if (report.m_outcome == run_end::failed) {
        record_survived_run(state, index, report.m_task, report.m_run);
    }
    const bool current = is_current_run(*task, index, report.m_run);
    if (report.m_outcome == run_end::done && current) {
        learn_run_time(state, *job, *task, now);
    }
    if (report.m_outcome == run_end::done && !current) {
        stop_other_runs(state, report.m_task);
    }
    // The end of an earlier run does not affect a run that continues elsewhere, unless it completes the task.
    if (current || task->m_phase == task_phase::waiting || report.m_outcome == run_end::done) {
        apply_task_end(state, *job, {report.m_task, report.m_run, report.m_outcome, report.m_checkpoint}, now);
    }
    else if (report.m_outcome == run_end::failed && !is_final(job->m_state) && count_failure(*task, report.m_run)) {
        mark_dirty(state, *job);
    }
}

auto apply_ended_report(scheduler_state& state, worker_slot& worker, const ended_report& report, const time_point now)
    -> void
{
    if (report.m_number <= worker.m_last_end) {
        return;
    }
    worker.m_last_end = report.m_number;
    apply_end(state, worker, report, now);
    record_applied_end(state, worker, report);
}

[[nodiscard]] auto is_listed(const worker_report& report, const placed_run& run) -> bool
{
    return std::any_of(report.m_running.begin(), report.m_running.end(), [&run](const running_report& running) {
        return running.m_run == run.m_run && running.m_task == run.m_task;
    });
}

/** @brief Abandons runs missing in the report of a poll that was sent after their start or stop had been settled. */
auto drop_missing_runs(scheduler_state& state, worker_slot& worker, const worker_report& report, const time_point sent,
                       const time_point now) -> void
{
    for (std::size_t position = 0; position < worker.m_runs.size();) {
        const auto place = worker.m_runs.begin() + static_cast<std::ptrdiff_t>(position);
        auto& run = *place;
        const bool listed = is_listed(report, run);
        const bool settled =
            (run.m_confirmed && run.m_sent < sent) || (run.m_stop_accepted && *run.m_stop_accepted <= sent);
        // A start without a response may still be carried out; after a stop, the worker permanently rejects it.
        run.m_stop_requested =
            run.m_stop_requested || (!listed && run.m_no_response_since && *run.m_no_response_since <= sent);
        if (!listed && has_start_lapsed(state, run, report)) {
            // Other workers are tried first.
            worker.m_paused_until = std::max(worker.m_paused_until, now + rejection_pause);
            abandon_run(state, worker, place, lost_cause::start_not_accepted, now);
        }
        else if (!listed && is_start_fenced(run, report)) {
            abandon_run(state, worker, place, lost_cause::start_fenced, now);
        }
        else if (!listed && settled) {
            abandon_run(state, worker, place, lost_cause::missing_in_report, now);
        }
        else {
            ++position;
        }
    }
}

/** @brief Checks whether a run may be one of a new incarnation: it is in its report, or its start was accepted after
 * the poll that the report answers. */
[[nodiscard]] auto may_have_started(const worker_report& report, const placed_run& run, const time_point sent) -> bool
{
    return is_listed(report, run) || (run.m_confirmed && run.m_sent >= sent);
}

/** @brief Abandons the runs of an earlier incarnation. The new one may carry out a start without a response until it
 * has answered a call with a higher fencing token or with a stop of that run. */
auto end_runs_of_incarnation(scheduler_state& state, worker_slot& worker, const worker_report& report,
                             const time_point sent, const time_point now) -> void
{
    for (std::size_t position = 0; position < worker.m_runs.size();) {
        auto& run = worker.m_runs[position];
        if (may_have_started(report, run, sent)) {
            ++position;
            continue;
        }
        run.m_stop_requested = true;
        // The earlier incarnation may have accepted a stop; the new one has not.
        run.m_stop_accepted.reset();
        run.m_stop_sent = {};
        if (run.m_confirmed) {
            abandon_run(state, worker, worker.m_runs.begin() + static_cast<std::ptrdiff_t>(position),
                        lost_cause::new_incarnation, now);
        }
        else {
            ++position;
        }
    }
}

/** @brief Ends the runs of a worker if the report comes from another incarnation of it. That is a newer one, whatever
 * their start times: the clock of a VM may be set back, and reports are applied in the order of the renewals. */
auto apply_incarnation(scheduler_state& state, worker_slot& worker, const worker_report& report, const time_point sent,
                       const time_point now) -> void
{
    const auto known = worker.m_incarnation_start_unix_ms;
    if (report.m_incarnation_start_unix_ms == 0) {
        return;
    }
    worker.m_incarnation_start_unix_ms = report.m_incarnation_start_unix_ms;
    if (worker.m_has_reported && known != 0 && report.m_incarnation_start_unix_ms != known) {
        const auto index = state.m_worker_by_id.at(worker.m_entry.m_id);
        raise_fence(state, index, report.m_incarnation_start_unix_ms);
        auto suspects = find_crash_suspects(state, index);
        std::erase_if(suspects, [&](const lost_run& suspect) {
            const auto run = find_run(worker, suspect.m_task, suspect.m_run);
            return run != worker.m_runs.end() && may_have_started(report, *run, sent);
        });
        end_runs_of_incarnation(state, worker, report, sent, now);
        suspects.insert(suspects.end(), worker.m_lost_runs.begin(), worker.m_lost_runs.end());
        worker.m_lost_runs.clear();
        count_crashes(state, index, suspects, now);
        worker.m_last_end = 0;
        worker.m_acknowledged_end = 0;
        worker.m_confirmed_end = 0;
        worker.m_unstored_ends.clear();
        // The clock of the new incarnation starts again.
        worker.m_clock_ms = 0;
        open_to_stale_leases(worker);
        // The new incarnation has no fencing token, so that an earlier decider may have granted it a lease, too.
        worker.m_has_reported = false;
        worker.m_cordoned = false;
        worker.m_failed_work.clear();
        state.m_dispatch_requested = true;
    }
}

/** @brief Abandons the runs of a worker whose lease has ended, except for starts that its next incarnation may still
 * carry out: these are stopped first. */
auto end_lapsed_runs(scheduler_state& state, worker_slot& worker, const worker_index index, const time_point now)
    -> void
{
    auto suspects = find_crash_suspects(state, index);
    for (std::size_t position = 0; position < worker.m_runs.size();) {
        auto& run = worker.m_runs[position];
        if (may_start_in_next_incarnation(state, worker, run, now)) {
            run.m_stop_requested = true;
            std::erase_if(suspects, [&run](const lost_run& lost) { return lost.m_task == run.m_task; });
            ++position;
            continue;
        }
        abandon_run(state, worker, worker.m_runs.begin() + static_cast<std::ptrdiff_t>(position),
                    lost_cause::lease_over, now);
    }
    record_lost_runs(state, index, suspects, now);
}

} // namespace

auto find_worker(const scheduler_state& state, const worker_id& id) -> worker_index
{
    const auto found = state.m_worker_by_id.find(id);
    return found == state.m_worker_by_id.end() ? no_worker : found->second;
}

auto release_worker(scheduler_state& state, const worker_id& id) -> void
{
    const auto index = find_worker(state, id);
    if (index != no_worker) {
        state.m_workers[static_cast<std::size_t>(index)].m_cordoned = false;
        state.m_dispatch_requested = true;
    }
}

auto register_worker(scheduler_state& state, const worker_entry& entry) -> void
{
    const auto [known, added] =
        state.m_worker_by_id.try_emplace(entry.m_id, static_cast<worker_index>(state.m_workers.size()));
    if (added) {
        state.m_workers.emplace_back();
    }
    auto& worker = state.m_workers[static_cast<std::size_t>(known->second)];
    expect_late_calls(state, entry);
    const auto start = entry.m_incarnation_start_unix_ms;
    const auto last_start = std::exchange(worker.m_entry, entry).m_incarnation_start_unix_ms;
    worker.m_registered = true;
    make_current(state, worker, known->second);
    // An entry may be older than the last report; it shows a new incarnation only if it differs from the last entry.
    if (last_start != 0 && start != 0 && start != last_start && start != worker.m_incarnation_start_unix_ms) {
        raise_fence(state, known->second, start);
    }
    state.m_dispatch_requested = true;
}

auto unregister_worker(scheduler_state& state, const worker_id& id) -> void
{
    const auto index = find_worker(state, id);
    if (index != no_worker) {
        state.m_workers[static_cast<std::size_t>(index)].m_registered = false;
        state.m_dispatch_requested = true;
    }
}

auto apply_registry(scheduler_state& state, const std::vector<worker_entry>& entries) -> void
{
    for (auto& worker : state.m_workers) {
        worker.m_registered = false;
    }
    for (const auto& entry : entries) {
        register_worker(state, entry);
    }
    state.m_dispatch_requested = true;
}

auto apply_report(scheduler_state& state, const worker_index index, const worker_report& report, const time_point sent,
                  const time_point now) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    const bool of_last_incarnation = report.m_incarnation_start_unix_ms == worker.m_incarnation_start_unix_ms;
    if (of_last_incarnation && sent <= worker.m_restart_detected) {
        // The response of an incarnation that has ended since.
        return;
    }
    apply_incarnation(state, worker, report, sent, now);
    if (report.m_clock_ms >= worker.m_clock_ms || !worker.m_has_reported) {
        worker.m_clock_ms = report.m_clock_ms;
        worker.m_clock_read = now;
    }
    if (!worker.m_has_reported) {
        if (worker.m_takes_stale_leases) {
            inherit_lease(state, index, report, now);
        }
        else {
            expect_earlier_calls(state, index, report, sent, now);
            expect_listed_end(state, worker);
        }
        state.m_dispatch_requested = true;
    }
    bound_stale_lease(state, index, report);
    clear_lost_runs(state, index);
    worker.m_has_reported = true;
    worker.m_unresponsive = false;
    worker.m_last_report = now;
    state.m_expected_workers.erase(worker.m_entry.m_id);
    drop_replaced_workers(state, worker);
    for (const auto& end : report.m_ended) {
        apply_ended_report(state, worker, end, now);
    }
    for (const auto& running : report.m_running) {
        // A run without a record is adopted, without a check against the ends applied so far. This relies on two facts:
        // a worker lists a run either as running or as ended, and its reports are applied in the order of the renewals,
        // of which only one is in flight. A run whose end has been applied is therefore not listed as running again.
        apply_running_report(state, worker, index, running, now);
    }
    // The end of a run that is missing in an incomplete report may be listed later.
    if (!report.m_incomplete) {
        drop_missing_runs(state, worker, report, sent, now);
    }
    close_to_stale_leases(state, index, report);
}

auto record_start(scheduler_state& state, const start_command& command, const fencing_token token,
                  const std::int64_t lease_until_ms) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(command.m_worker)];
    const auto run = find_run(worker, command.m_task, command.m_run);
    if (run != worker.m_runs.end()) {
        run->m_token = token;
        run->m_start_until_ms = lease_until_ms;
    }
}

auto apply_start_result(scheduler_state& state, const start_command& command, const command_result result,
                        const time_point now) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(command.m_worker)];
    const auto run = find_run(worker, command.m_task, command.m_run);
    if (result == command_result::fenced) {
        state.m_deposed = true;
        return;
    }
    if (run == worker.m_runs.end()) {
        return;
    }
    auto* task = find_task(state, command.m_task);
    const bool current = task != nullptr && task->m_run == command.m_run && task->m_phase == task_phase::starting;
    switch (result) {
    case command_result::accepted:
        run->m_confirmed = true;
        run->m_sent = now;
        if (current) {
            begin_running(*task, now, now);
        }
        return;
    case command_result::unknown:
        run->m_no_response_since = now;
        return;
    case command_result::unavailable:
    case command_result::insufficient_capacity:
    case command_result::lease_expired:
        worker.m_paused_until = std::max(worker.m_paused_until, now + rejection_pause);
        break;
    case command_result::other_worker:
        worker.m_paused_until = now + other_worker_pause;
        break;
    case command_result::no_permit:
        drop_permit(state, command.m_task, command.m_worker);
        break;
    default:
        break;
    }
    abandon_run(state, worker, run, lost_cause::start_not_accepted, now);
    const auto* job = find_job(state, command.m_task.m_job);
    if (job != nullptr && step_of(*job, command.m_task).m_gang) {
        stop_gang(state, command);
    }
    if (current) {
        task->m_not_before = now + state.m_settings.m_task_backoff;
    }
}

auto apply_stop_result(scheduler_state& state, const stop_command& command, const command_result result,
                       const time_point now) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(command.m_worker)];
    if (result == command_result::fenced) {
        state.m_deposed = true;
        return;
    }
    const auto run = find_run(worker, command.m_task, command.m_run);
    if (run != worker.m_runs.end() && result == command_result::accepted && !run->m_stop_accepted) {
        run->m_stop_accepted = now;
    }
}

auto end_runs_of_worker(scheduler_state& state, const worker_index index, const time_point now) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    abandon_all_runs(state, worker, lost_cause::vm_command, now);
    worker.m_lease_until_ms = 0;
    worker.m_inherited_until_ms = 0;
    worker.m_stale_until_ms = 0;
    worker.m_takes_stale_leases = false;
}

auto expire_runs(scheduler_state& state, const time_point now) -> void
{
    forget_ended_stale_leases(state, now);
    for (const auto position : state.m_current_workers) {
        auto& worker = state.m_workers[static_cast<std::size_t>(position)];
        worker.m_silent_since =
            worker.m_unresponsive ? std::optional{worker.m_silent_since.value_or(now)} : std::nullopt;
        const bool expired = lease_end(state, worker) < now && now < state.m_term_guaranteed_until;
        if (worker.m_has_reported && !worker.m_runs.empty() && expired) {
            end_lapsed_runs(state, worker, position, now);
        }
        for (auto& run : worker.m_runs) {
            const bool repeat = run.m_stop_sent == time_point{} ||
                                (!run.m_stop_accepted && now - run.m_stop_sent > state.m_settings.m_start_timeout);
            if (run.m_stop_requested && repeat) {
                run.m_stop_sent = now;
                state.m_stops.push_back({position, run.m_task, run.m_run});
            }
        }
    }
    update_trials(state, now);
    std::erase_if(state.m_current_workers, [&state](const worker_index index) {
        auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        worker.m_current =
            worker.m_registered || !worker.m_runs.empty() || !worker.m_has_reported || worker.m_takes_stale_leases;
        return !worker.m_current;
    });
}

} // namespace cicadalug
