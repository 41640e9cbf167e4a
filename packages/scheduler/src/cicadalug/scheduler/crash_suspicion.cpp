#include <cicadalug/scheduler/crash_suspicion.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/run_place.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace cicadalug {

namespace {

/** @brief A run that its worker still reports this long after the start does not crash workers at once: those seen did
 * so 10 ms after the start. With 300 ms, suspects were left 27 s after the last deadly job. */
constexpr milliseconds proof_time{100};

/** @brief A run that its worker still reports this long after the start is not blamed for a crash, and a task that has
 * survived it in a trial is no suspect any more. Longer than the run time of most tasks. */
constexpr milliseconds soundness_time{5'000};

/** @brief A task is given up after it has crashed this many workers, the last of them in a trial; the platform's rules
 * state the number. */
constexpr std::size_t crashes_to_give_up{2};

/** @brief A task that had survived the start of its runs for a while becomes a suspect with this many crashes, and its
 * trial lasts until the run ends or its soundness_time is over; the platform's rules allow two more starts. */
constexpr std::size_t crashes_of_survivors{3};

/** @brief A gang spans workers and has no trials. It is given up after this many crashes; the platform's rules allow
 * two more starts. */
constexpr std::size_t gang_crashes_to_give_up{3};

/** @brief From this many trials in a row on that were lost without evidence of a crash, or without an answer to their
 * start, each counts as a crash: a worker that crashed for good leaves no evidence, and two such losses in a row are
 * unlikely to have another cause. */
constexpr std::int64_t lost_trials_to_count{2};

/** @brief The next trial of a task waits this long for evidence about a lost one. A worker that has crashed returns
 * within 1 s after the end of its lease in most cases. */
constexpr milliseconds evidence_time{2'000};

/** @brief Workers whose incarnations started within this time of each other have restarted for the same cause. */
constexpr milliseconds common_restart_time{1'000};

/** @brief At most one in this many workers of a pool is in a trial, so that trials cannot take the pool down. With
 * four, 70 suspects in a pool that had shrunk to 5 workers were not all started within 30 s. */
constexpr std::size_t workers_per_trial{2};

[[nodiscard]] auto slot_of(const scheduler_state& state, const worker_index index) -> const worker_slot&
{
    return state.m_workers[static_cast<std::size_t>(index)];
}

/** @brief Checks whether a run was reported by its worker some time after its start. */
[[nodiscard]] auto has_survived(const worker_slot& worker, const placed_run& run, const milliseconds time) -> bool
{
    return run.m_confirmed && worker.m_last_report >= run.m_sent + time;
}

/** @brief Counts a trial of which it is not known whether it crashed a worker. @return True if it counts as a crash. */
[[nodiscard]] auto count_lost_trial(task_state& task, const run_number run) -> bool
{
    if (task.m_last_lost_trial != run) {
        task.m_last_lost_trial = run;
        ++task.m_lost_trials;
    }
    return task.m_lost_trials >= lost_trials_to_count;
}

/** @brief Returns the task on which crashes are counted: the first one of a gang. */
[[nodiscard]] auto counted_task(const job_entry& job, task_ref task) -> task_ref
{
    if (step_of(job, task).m_gang) {
        task.m_index = 0;
    }
    return task;
}

[[nodiscard]] auto find_placed(const worker_slot& worker, const task_trial& trial) -> const placed_run*
{
    const auto found = std::find_if(worker.m_runs.begin(), worker.m_runs.end(), [&trial](const placed_run& run) {
        return run.m_task == trial.m_task && run.m_run == trial.m_stored.m_run;
    });
    return found == worker.m_runs.end() ? nullptr : &*found;
}

auto log_event(scheduler_state& state, const run_event_kind kind, const worker_index worker, const task_ref& task,
               const run_number run, const std::size_t crashes) -> void
{
    state.m_events.push_back({kind, worker, task, run, static_cast<std::int64_t>(crashes)});
}

auto clear_suspicion(scheduler_state& state, const worker_index worker, const task_ref& task, const run_number run)
    -> void
{
    auto* job = find_job(state, task.m_job);
    auto* found = find_task(state, task);
    if (job == nullptr || found == nullptr || is_final(job->m_state)) {
        return;
    }
    found->m_suspect = false;
    found->m_lost_trials = 0;
    found->m_trial.reset();
    if (step_of(*job, task).m_long_running) {
        found->m_proven_run = std::max(found->m_proven_run, run);
    }
    log_event(state, run_event_kind::cleared, worker, task, run, found->m_crashed_runs.size());
    mark_dirty(state, *job);
}

/** @brief Checks whether the progress of a task records a trial. */
[[nodiscard]] auto is_recorded(const task_state& task, const stored_trial& trial) -> bool
{
    return task.m_trial && task.m_trial->m_run == trial.m_run;
}

/** @brief Removes a trial from the store, so that a successor does not take it for one that goes on. A newer trial of
 * the task stays. */
auto remove_stored_trial(scheduler_state& state, const task_ref& task, const stored_trial& trial) -> void
{
    auto* job = find_job(state, task.m_job);
    auto* found = find_task(state, task);
    if (job != nullptr && found != nullptr && is_recorded(*found, trial) && !is_final(job->m_state)) {
        found->m_trial.reset();
        mark_dirty(state, *job);
    }
}

/** @brief Checks whether the cause of the loss of a run is still unknown. */
[[nodiscard]] auto awaits_evidence(const worker_slot& worker, const task_ref& task, const run_number run) -> bool
{
    return std::any_of(worker.m_lost_runs.begin(), worker.m_lost_runs.end(),
                       [&](const lost_run& lost) { return lost.m_task == task && lost.m_run == run; });
}

/** @brief Ends a trial if its outcome is known. @return True if it has ended. */
[[nodiscard]] auto end_trial(scheduler_state& state, const task_trial& trial) -> bool
{
    const auto* job = find_job(state, trial.m_task.m_job);
    const auto* task = find_task(state, trial.m_task);
    if (job == nullptr || task == nullptr || is_final(job->m_state) || task->m_phase == task_phase::done) {
        return true;
    }
    if (!trial.m_started) {
        return task->m_phase != task_phase::waiting || !task->m_suspect || !is_recorded(*task, trial.m_stored);
    }
    const auto* run = find_placed(slot_of(state, trial.m_worker), trial);
    if (run == nullptr) {
        if (!awaits_evidence(slot_of(state, trial.m_worker), trial.m_task, trial.m_stored.m_run)) {
            remove_stored_trial(state, trial.m_task, trial.m_stored);
        }
        return true;
    }
    const bool repeated = task->m_crashed_runs.size() >= crashes_of_survivors;
    if (!has_survived(slot_of(state, trial.m_worker), *run, repeated ? soundness_time : proof_time)) {
        return false;
    }
    clear_suspicion(state, trial.m_worker, trial.m_task, trial.m_stored.m_run);
    return true;
}

/** @brief Implements both overloads of find_trial(), for a const and a mutable state. */
template<typename State>
[[nodiscard]] auto find_trial_in(State& state, const task_ref& task)
{
    const auto found = std::find_if(state.m_trials.begin(), state.m_trials.end(),
                                    [&task](const task_trial& trial) { return trial.m_task == task; });
    return found == state.m_trials.end() ? nullptr : &*found;
}

/** @brief Checks whether another worker restarted along with one that the last decider had a trial on, although no
 * trial was on the other: the task is then not the likely cause. */
[[nodiscard]] auto has_restarted_with_others(const scheduler_state& state, const worker_slot& worker) -> bool
{
    return std::any_of(state.m_current_workers.begin(), state.m_current_workers.end(), [&](const worker_index index) {
        const auto& other = slot_of(state, index);
        const auto& id = other.m_entry.m_id;
        const auto lease = state.m_expected_leases.find(id);
        const bool restarted = (lease != state.m_expected_leases.end() && lease->second.m_stale_end) ||
                               state.m_expected_unheard.contains(id);
        if (id == worker.m_entry.m_id || !restarted || state.m_recovered_trial_workers.contains(id)) {
            return false;
        }
        const auto start =
            other.m_has_reported ? other.m_incarnation_start_unix_ms : other.m_entry.m_incarnation_start_unix_ms;
        const milliseconds apart{start - worker.m_incarnation_start_unix_ms};
        return std::chrono::abs(apart) <= common_restart_time;
    });
}

/** @brief Result of a look at a trial that the last decider began. */
enum class trial_evidence : std::uint8_t { none, crashed, lost, continues, settled };

[[nodiscard]] auto judge_recovered(const scheduler_state& state, const task_state& task, const recovered_trial& trial,
                                   const worker_index index) -> trial_evidence
{
    if (task.m_phase != task_phase::waiting) {
        return task.m_run == trial.m_stored.m_run ? trial_evidence::continues : trial_evidence::settled;
    }
    if (index != no_worker) {
        const auto& worker = slot_of(state, index);
        if (worker.m_has_reported) {
            if (worker.m_incarnation_start_unix_ms == trial.m_stored.m_incarnation_start_unix_ms) {
                return trial_evidence::settled;
            }
            return has_restarted_with_others(state, worker) ? trial_evidence::lost : trial_evidence::crashed;
        }
        return is_replaced(state, worker) ? trial_evidence::crashed : trial_evidence::none;
    }
    const bool replaced =
        !trial.m_stored.m_vm.empty() &&
        std::any_of(state.m_current_workers.begin(), state.m_current_workers.end(), [&](const worker_index other) {
            const auto& worker = slot_of(state, other);
            return worker.m_registered && worker.m_entry.m_vm == trial.m_stored.m_vm;
        });
    return replaced ? trial_evidence::crashed : trial_evidence::none;
}

auto resolve_recovered_trials(scheduler_state& state, const time_point now) -> void
{
    for (auto& trial : std::exchange(state.m_recovered_trials, {})) {
        const auto* job = find_job(state, trial.m_task.m_job);
        const auto* task = find_task(state, trial.m_task);
        if (job == nullptr || task == nullptr || is_final(job->m_state)) {
            continue;
        }
        const auto index = find_worker(state, trial.m_stored.m_worker);
        const auto evidence = judge_recovered(state, *task, trial, index);
        if (evidence == trial_evidence::crashed) {
            count_crashes(state, index, {{trial.m_task, trial.m_stored.m_run, true, true, false}}, now);
        }
        else if (evidence == trial_evidence::lost) {
            count_crashes(state, index, {{trial.m_task, trial.m_stored.m_run, false, true, false}}, now);
            // The next decider may not know of the other restarts any more.
            remove_stored_trial(state, trial.m_task, trial.m_stored);
        }
        else if (evidence == trial_evidence::continues) {
            state.m_trials.push_back({trial.m_task, task->m_worker, trial.m_stored, true, true});
        }
        else if (evidence == trial_evidence::none) {
            state.m_recovered_trials.push_back(std::move(trial));
        }
        else {
            remove_stored_trial(state, trial.m_task, trial.m_stored);
        }
    }
}

} // namespace

auto find_crash_suspects(const scheduler_state& state, const worker_index index) -> std::vector<lost_run>
{
    const auto& worker = slot_of(state, index);
    std::vector<lost_run> found;
    if (worker.m_entry.m_state == worker_state::draining || worker.m_cordoned) {
        return found;
    }
    for (const auto& trial : state.m_trials) {
        const auto* run = trial.m_worker == index && trial.m_started ? find_placed(worker, trial) : nullptr;
        if (run != nullptr) {
            return {{trial.m_task, trial.m_stored.m_run, run->m_confirmed, true, false}};
        }
    }
    for (const auto& run : worker.m_runs) {
        const bool survived = has_survived(worker, run, proof_time);
        // Long-running tasks are there for most crashes, whatever the cause.
        const bool sound = survived && (run.m_long_running || has_survived(worker, run, soundness_time));
        if (!run.m_ending && !run.m_held && !sound) {
            found.push_back({run.m_task, run.m_run, run.m_confirmed, false, survived});
        }
    }
    return found;
}

auto count_crashes(scheduler_state& state, const worker_index index, const std::vector<lost_run>& runs,
                   const time_point now) -> void
{
    for (const auto& lost : runs) {
        auto* job = find_job(state, lost.m_task.m_job);
        if (job == nullptr || is_final(job->m_state) || find_task(state, lost.m_task) == nullptr) {
            continue;
        }
        const auto ref = counted_task(*job, lost.m_task);
        auto* task = find_task(state, ref);
        auto& counted = task->m_crashed_runs;
        if (task->m_phase == task_phase::done || lost.m_run <= task->m_proven_run ||
            std::find(counted.begin(), counted.end(), lost.m_run) != counted.end()) {
            continue;
        }
        if (!lost.m_confirmed && !(lost.m_in_trial && count_lost_trial(*task, lost.m_run))) {
            // The worker may have gone down before the start arrived.
            task->m_suspect = true;
            mark_dirty(state, *job);
            continue;
        }
        counted.push_back(lost.m_run);
        // Most of the runs beside a deadly one have survived for a while and are not the cause.
        task->m_suspect = task->m_suspect || !lost.m_survived || counted.size() >= crashes_of_survivors;
        log_event(state, run_event_kind::crashed, index, ref, lost.m_run, counted.size());
        mark_dirty(state, *job);
        const bool gang = step_of(*job, ref).m_gang;
        if (gang ? counted.size() >= gang_crashes_to_give_up
                 : lost.m_in_trial && counted.size() >= crashes_to_give_up) {
            log_event(state, run_event_kind::given_up, index, ref, lost.m_run, counted.size());
            fail_job(state, *job, now);
        }
    }
}

auto record_lost_runs(scheduler_state& state, const worker_index index, const std::vector<lost_run>& runs,
                      const time_point now) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    for (const auto& lost : runs) {
        auto* job = find_job(state, lost.m_task.m_job);
        auto* task = find_task(state, lost.m_task);
        if (job == nullptr || task == nullptr || is_final(job->m_state) || task->m_phase == task_phase::done) {
            continue;
        }
        if (lost.m_in_trial && count_lost_trial(*task, lost.m_run)) {
            count_crashes(state, index, {lost}, now);
            continue;
        }
        if (!lost.m_survived) {
            task->m_suspect = true;
            log_event(state, run_event_kind::suspected, index, lost.m_task, lost.m_run, task->m_crashed_runs.size());
            mark_dirty(state, *job);
        }
        worker.m_lost_runs.push_back(lost);
    }
}

auto clear_lost_runs(scheduler_state& state, const worker_index index) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    for (const auto& lost : std::exchange(worker.m_lost_runs, {})) {
        const auto* task = find_task(state, lost.m_task);
        if (task != nullptr && task->m_suspect && task->m_crashed_runs.empty()) {
            clear_suspicion(state, index, lost.m_task, lost.m_run);
        }
    }
}

auto record_survived_run(scheduler_state& state, const worker_index index, const task_ref& task, const run_number run)
    -> void
{
    const auto* found = find_task(state, task);
    if (found != nullptr && found->m_suspect) {
        clear_suspicion(state, index, task, run);
    }
}

auto is_replaced(const scheduler_state& state, const worker_slot& worker) -> bool
{
    return !worker.m_registered && !worker.m_entry.m_vm.empty() &&
           std::any_of(state.m_current_workers.begin(), state.m_current_workers.end(), [&](const worker_index index) {
               const auto& other = slot_of(state, index);
               return other.m_registered && other.m_entry.m_vm == worker.m_entry.m_vm;
           });
}

auto update_trials(scheduler_state& state, const time_point now) -> void
{
    for (std::size_t position = 0; position < state.m_workers.size(); ++position) {
        auto& worker = state.m_workers[position];
        if (!worker.m_lost_runs.empty() && is_replaced(state, worker)) {
            const auto lost = std::exchange(worker.m_lost_runs, {});
            count_crashes(state, static_cast<worker_index>(position), lost, now);
        }
    }
    resolve_recovered_trials(state, now);
    std::erase_if(state.m_trials, [&state](const task_trial& trial) { return end_trial(state, trial); });
}

auto is_suspect(const task_state& task) noexcept -> bool
{
    return task.m_suspect;
}

auto is_in_trial(const scheduler_state& state, const worker_index worker) -> bool
{
    return std::any_of(state.m_trials.begin(), state.m_trials.end(),
                       [worker](const task_trial& trial) { return trial.m_worker == worker; });
}

auto is_quiet(const worker_slot& worker) -> bool
{
    return std::all_of(worker.m_runs.begin(), worker.m_runs.end(),
                       [&worker](const placed_run& run) { return has_survived(worker, run, proof_time); });
}

auto trial_limit(const std::size_t workers) noexcept -> std::size_t
{
    return std::max<std::size_t>(1, workers / workers_per_trial);
}

auto find_trial(const scheduler_state& state, const task_ref& task) -> const task_trial*
{
    return find_trial_in(state, task);
}

auto find_trial(scheduler_state& state, const task_ref& task) -> task_trial*
{
    return find_trial_in(state, task);
}

auto awaits_evidence(const scheduler_state& state, const task_ref& task, const time_point now) -> bool
{
    const auto* job = find_job(state, task.m_job);
    const auto* step = job == nullptr ? nullptr : find_step(*job, task);
    if (step == nullptr) {
        return false;
    }
    const auto& found = step->m_tasks[static_cast<std::size_t>(task.m_index)];
    const bool lost = found.m_lost_trials > 0 && found.m_last_lost_trial == found.m_run;
    return lost && now - found.m_since < evidence_time &&
           std::any_of(state.m_workers.begin(), state.m_workers.end(),
                       [&](const worker_slot& worker) { return awaits_evidence(worker, task, found.m_run); });
}

auto has_unproven_trial(const scheduler_state& state, const job_id& job) -> bool
{
    return std::any_of(state.m_trials.begin(), state.m_trials.end(), [&](const task_trial& trial) {
        if (trial.m_task.m_job != job) {
            return false;
        }
        const auto& worker = slot_of(state, trial.m_worker);
        const auto* run = find_placed(worker, trial);
        return run == nullptr || !has_survived(worker, *run, proof_time);
    });
}

auto plan_trial(scheduler_state& state, const task_ref& task, const worker_index worker, const run_number run) -> void
{
    const auto& slot = slot_of(state, worker);
    const stored_trial stored{run, slot.m_entry.m_id, slot.m_entry.m_vm, slot.m_incarnation_start_unix_ms};
    state.m_trials.push_back({task, worker, stored, false, false});
    auto* found = find_task(state, task);
    found->m_highest_run = run;
    found->m_trial = stored;
    auto& job = *find_job(state, task.m_job);
    if (has_stored_places(step_of(job, task))) {
        plan_place(state, job, *found, worker);
    }
    mark_dirty(state, job);
}

auto drop_trial(scheduler_state& state, const task_ref& task) -> void
{
    std::erase_if(state.m_trials,
                  [&task](const task_trial& trial) { return trial.m_task == task && !trial.m_started; });
    if (auto* found = find_task(state, task); found != nullptr && found->m_trial) {
        found->m_trial.reset();
        mark_dirty(state, *find_job(state, task.m_job));
    }
}

} // namespace cicadalug
