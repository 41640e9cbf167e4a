#include <cicadalug/scheduler/job_estimates.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/run_place.hpp>
#include <cicadalug/scheduler/stored_progress.hpp>
#include <cicadalug/scheduler/time_accounting.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Maximum number of open tasks of a job with a schedule; its other due occurrences are opened as these end. */
constexpr std::int64_t max_open_tasks{100'000};

[[nodiscard]] auto make_occurrence(const job_spec& spec, const std::int64_t number) -> occurrence_state
{
    occurrence_state occurrence;
    occurrence.m_number = number;
    occurrence.m_steps.resize(spec.m_steps.size());
    for (std::size_t step = 0; step < spec.m_steps.size(); ++step) {
        occurrence.m_steps[step].m_tasks.resize(static_cast<std::size_t>(spec.m_steps[step].m_count));
        occurrence.m_steps[step].m_waiting = occurrence.m_steps[step].m_tasks.size();
    }
    return occurrence;
}

auto restore_occurrence(occurrence_state& occurrence, const occurrence_progress& stored) -> void
{
    for (std::size_t step = 0; step < occurrence.m_steps.size() && step < stored.m_steps.size(); ++step) {
        const bool opened = step < stored.m_opened.size() && stored.m_opened[step];
        occurrence.m_steps[step].m_opened = opened;
        occurrence.m_steps[step].m_recovered = opened;
        auto& tasks = occurrence.m_steps[step].m_tasks;
        for (std::size_t index = 0; index < tasks.size() && index < stored.m_steps[step].size(); ++index) {
            const auto& stored_task = stored.m_steps[step][index];
            tasks[index].m_failed_runs = stored_task.m_failed_runs;
            tasks[index].m_checkpoint = stored_task.m_checkpoint;
            if (stored_task.m_done) {
                tasks[index].m_phase = task_phase::done;
                ++occurrence.m_steps[step].m_done;
                --occurrence.m_steps[step].m_waiting;
            }
        }
    }
}

/** @brief Implements both overloads of find_step(), for a const and a mutable job. */
template<typename Job>
[[nodiscard]] auto find_step_of(Job& job, const task_ref& task)
{
    const auto occurrence = std::find_if(job.m_open.begin(), job.m_open.end(), [&task](const occurrence_state& open) {
        return open.m_number == task.m_occurrence;
    });
    const auto step = static_cast<std::size_t>(task.m_step);
    const bool exists = occurrence != job.m_open.end() && task.m_step >= 0 && step < occurrence->m_steps.size();
    return exists ? &occurrence->m_steps[step] : nullptr;
}

[[nodiscard]] auto total_occurrences(const job_entry& job) -> std::int64_t
{
    return std::max<std::int64_t>(job.m_record.m_spec.m_occurrences, 1);
}

[[nodiscard]] auto next_occurrence(const job_entry& job) -> std::int64_t
{
    return job.m_open.empty() ? job.m_first_open : job.m_open.back().m_number + 1;
}

[[nodiscard]] auto is_due(const job_spec& spec, const std::int64_t occurrence, const std::int64_t unix_ms) -> bool
{
    const auto first = std::max<std::int64_t>(0, spec.m_first_due_unix_ms);
    if (spec.m_occurrences <= 0 || first > unix_ms) {
        return spec.m_occurrences <= 0;
    }
    // The product of number and interval could overflow.
    return spec.m_interval <= milliseconds{0} || occurrence <= (unix_ms - first) / spec.m_interval.count();
}

/** @brief Returns the number of occurrences of a job that may be open at the same time. */
[[nodiscard]] auto max_open_occurrences(const job_record& record, const std::size_t value_bytes) -> std::size_t
{
    std::int64_t tasks{0};
    for (const auto& step : record.m_spec.m_steps) {
        tasks += std::clamp<std::int64_t>(step.m_count, 0, max_open_tasks);
    }
    const auto limit = std::max<std::int64_t>(1, max_open_tasks / std::max<std::int64_t>(1, tasks));
    return std::min(static_cast<std::size_t>(limit), storable_occurrences(record, value_bytes));
}

/** @brief Opens the due occurrences of a job. @return True if any was opened. */
auto open_occurrences(job_entry& job, const scheduler_settings& settings, const std::int64_t unix_ms) -> bool
{
    const auto& spec = job.m_record.m_spec;
    const auto limit = max_open_occurrences(job.m_record, settings.m_value_bytes);
    bool opened{false};
    for (auto next = next_occurrence(job); next < total_occurrences(job); ++next) {
        if (!is_due(spec, next, unix_ms) || job.m_open.size() >= limit) {
            break;
        }
        job.m_open.push_back(make_occurrence(spec, next));
        opened = true;
    }
    return opened;
}

auto restore_crashes(scheduler_state& state, const job_entry& job, const std::vector<crash_progress>& crashes) -> void
{
    for (const auto& stored : crashes) {
        const task_ref ref{job.m_record.m_id, stored.m_occurrence, stored.m_step, stored.m_index};
        auto* task = find_task(state, ref);
        if (task == nullptr || task->m_phase == task_phase::done) {
            continue;
        }
        task->m_crashed_runs = stored.m_crashed_runs;
        task->m_suspect = stored.m_suspect;
        if (!stored.m_trial.empty()) {
            task->m_trial = stored.m_trial.front();
            task->m_highest_run = task->m_trial->m_run;
            state.m_recovered_trials.push_back({ref, *task->m_trial});
            state.m_recovered_trial_workers.insert(task->m_trial->m_worker);
        }
    }
}

auto append_crashes(job_progress& progress, const occurrence_state& occurrence) -> void
{
    for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
        const auto& tasks = occurrence.m_steps[step].m_tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            const auto& task = tasks[index];
            if (task.m_phase == task_phase::done || (!task.m_suspect && task.m_crashed_runs.empty())) {
                continue;
            }
            crash_progress stored{occurrence.m_number,
                                  static_cast<std::int64_t>(step),
                                  static_cast<std::int64_t>(index),
                                  task.m_crashed_runs,
                                  task.m_suspect,
                                  {}};
            if (task.m_trial) {
                stored.m_trial.push_back(*task.m_trial);
            }
            progress.m_crashes.push_back(std::move(stored));
        }
    }
}

/** @brief Allows the starts of trials that are stored. */
auto confirm_trials(scheduler_state& state, const job_entry& job, const job_progress& stored) -> void
{
    for (auto& trial : state.m_trials) {
        const bool found = trial.m_task.m_job == job.m_record.m_id &&
                           std::any_of(stored.m_crashes.begin(), stored.m_crashes.end(), [&](const auto& crash) {
                               return !crash.m_trial.empty() && crash.m_trial.front().m_run == trial.m_stored.m_run &&
                                      crash.m_occurrence == trial.m_task.m_occurrence &&
                                      crash.m_step == trial.m_task.m_step && crash.m_index == trial.m_task.m_index;
                           });
        if (found) {
            trial.m_is_stored = true;
            state.m_dispatch_requested = true;
        }
    }
}

auto stop_runs(scheduler_state& state, const job_entry& job) -> void
{
    for (auto& worker : state.m_workers) {
        for (auto& run : worker.m_runs) {
            run.m_stop_requested = run.m_stop_requested || run.m_task.m_job == job.m_record.m_id;
        }
    }
}

auto finish_job(scheduler_state& state, job_entry& job, const job_state final_state, const time_point now) -> void
{
    job.m_state = final_state;
    job.m_finished = now;
    std::erase(state.m_active[job.m_record.m_policy.m_service], &job);
    if (final_state != job_state::completed) {
        stop_runs(state, job);
    }
    mark_dirty(state, job);
}

[[nodiscard]] auto is_done(const occurrence_state& occurrence) -> bool
{
    return std::all_of(occurrence.m_steps.begin(), occurrence.m_steps.end(),
                       [](const step_state& step) { return step.m_done == step.m_tasks.size(); });
}

auto close_done_occurrences(scheduler_state& state, job_entry& job, const time_point now) -> void
{
    while (!job.m_open.empty() && is_done(job.m_open.front())) {
        account_job_end(job, job.m_open.front());
        job.m_first_open = job.m_open.front().m_number + 1;
        job.m_open.erase(job.m_open.begin());
    }
    if (job.m_open.empty() && job.m_first_open >= total_occurrences(job)) {
        finish_job(state, job, job_state::completed, now);
    }
}

/** @brief Counts the runs of a gang in which a member failed; members that fail in the same run count once. */
[[nodiscard]] auto failed_runs_of_gang(const step_state& step) -> std::size_t
{
    std::set<run_number> runs;
    for (const auto& member : step.m_tasks) {
        runs.insert(member.m_failed_runs.begin(), member.m_failed_runs.end());
    }
    return runs.size();
}

} // namespace

auto find_job(const scheduler_state& state, const job_id& id) -> job_entry*
{
    const auto found = state.m_jobs.find(id);
    return found == state.m_jobs.end() ? nullptr : found->second.get();
}

auto find_step(const job_entry& job, const task_ref& task) -> const step_state*
{
    return find_step_of(job, task);
}

auto find_step(job_entry& job, const task_ref& task) -> step_state*
{
    return find_step_of(job, task);
}

auto find_task(scheduler_state& state, const task_ref& task) -> task_state*
{
    auto* job = find_job(state, task.m_job);
    auto* step = job == nullptr ? nullptr : find_step(*job, task);
    if (step == nullptr || task.m_index < 0 || static_cast<std::size_t>(task.m_index) >= step->m_tasks.size()) {
        return nullptr;
    }
    return &step->m_tasks[static_cast<std::size_t>(task.m_index)];
}

auto step_of(const job_entry& job, const task_ref& task) -> const step_spec&
{
    return job.m_record.m_spec.m_steps[static_cast<std::size_t>(task.m_step)];
}

auto reserved_demand(const step_spec& step) -> resources
{
    auto demand = step.m_demand;
    if (step.m_best_effort) {
        demand.m_cpu = millicores{0};
    }
    return demand;
}

auto has_required_label(const step_spec& step, const worker_slot& worker) -> bool
{
    const auto& labels = worker.m_entry.m_labels;
    return step.m_required_label.empty() ||
           std::find(labels.begin(), labels.end(), step.m_required_label) != labels.end();
}

auto mark_dirty(scheduler_state& state, job_entry& job) -> void
{
    ++job.m_changes;
    if (!job.m_dirty) {
        job.m_dirty = true;
        state.m_dirty.push_back(&job);
    }
}

auto mark_started(scheduler_state& state, job_entry& job) -> bool
{
    if (job.m_started) {
        return false;
    }
    job.m_started = true;
    mark_dirty(state, job);
    return true;
}

auto add_job(scheduler_state& state, job_record record, const std::optional<job_progress>& progress,
             const bool recovered, const clock_reading& clock) -> void
{
    if (state.m_jobs.contains(record.m_id)) {
        return;
    }
    auto job = std::make_unique<job_entry>();
    job->m_record = std::move(record);
    job->m_recovered = recovered;
    job->m_read = clock.m_now;
    job->m_arrived =
        clock.m_now - milliseconds{std::max<std::int64_t>(0, clock.m_unix_ms - job->m_record.m_arrived_unix_ms)};
    if (progress) {
        job->m_state = progress->m_state;
        job->m_stored_state = progress->m_state;
        job->m_started = progress->m_state != job_state::queued;
        job->m_first_open = progress->m_first_open;
        for (const auto& stored : progress->m_open) {
            job->m_open.push_back(make_occurrence(job->m_record.m_spec, stored.m_occurrence));
            restore_occurrence(job->m_open.back(), stored);
        }
    }
    auto& entry = *job;
    state.m_jobs.emplace(entry.m_record.m_id, std::move(job));
    const bool cancelled = state.m_early_cancels.erase(entry.m_record.m_id) > 0;
    if (is_final(entry.m_state)) {
        entry.m_open.clear();
        entry.m_finished = clock.m_now;
        return;
    }
    if (progress) {
        restore_crashes(state, entry, progress->m_crashes);
        restore_places(state, entry, progress->m_places);
    }
    open_occurrences(entry, state.m_settings, clock.m_unix_ms);
    account_ready_steps(entry, clock.m_now);
    const auto& terms = entry.m_record.m_policy;
    entry.m_deadline = entry.m_arrived + estimate_objective(state, entry);
    state.m_active[terms.m_service].push_back(&entry);
    state.m_dispatch_requested = true;
    if (cancelled) {
        cancel_job(state, entry.m_record.m_id, clock.m_now);
    }
}

auto cancel_job(scheduler_state& state, const job_id& id, const time_point now) -> void
{
    auto* job = find_job(state, id);
    if (job == nullptr) {
        state.m_early_cancels.try_emplace(id, now);
        return;
    }
    if (!is_final(job->m_state)) {
        finish_job(state, *job, job_state::cancelled, now);
        state.m_dispatch_requested = true;
    }
}

auto old_early_cancels(const scheduler_state& state, const time_point read_before, const std::size_t limit)
    -> std::vector<job_id>
{
    std::vector<job_id> found;
    for (const auto& [id, read] : state.m_early_cancels) {
        if (read < read_before && found.size() < limit) {
            found.push_back(id);
        }
    }
    return found;
}

auto occupying_runs_of(const scheduler_state& state, const job_id& id) -> occupying_runs
{
    occupying_runs found;
    for (const auto& worker : state.m_workers) {
        for (const auto& run : worker.m_runs) {
            if (run.m_task.m_job != id) {
                continue;
            }
            ++found.m_count;
            // A run that was adopted from a report has no time of its start.
            if (run.m_sent != time_point{}) {
                found.m_last_start = std::max(found.m_last_start, std::optional{run.m_sent});
            }
        }
    }
    return found;
}

auto open_due_occurrences(scheduler_state& state, const clock_reading& clock) -> void
{
    for (auto& [service, jobs] : state.m_active) {
        for (auto* job : jobs) {
            if (job->m_record.m_spec.m_occurrences > 0 && open_occurrences(*job, state.m_settings, clock.m_unix_ms)) {
                account_ready_steps(*job, clock.m_now);
                state.m_dispatch_requested = true;
            }
        }
    }
}

auto count_failure(task_state& task, const run_number run) -> bool
{
    auto& counted = task.m_failed_runs;
    if (std::find(counted.begin(), counted.end(), run) != counted.end()) {
        return false;
    }
    counted.push_back(run);
    return true;
}

auto is_out_of_attempts(const job_entry& job, const task_ref& task) -> bool
{
    const auto* step = find_step(job, task);
    if (step == nullptr || task.m_index < 0 || static_cast<std::size_t>(task.m_index) >= step->m_tasks.size() ||
        step_of(job, task).m_long_running) {
        return false;
    }
    const auto failures = step_of(job, task).m_gang
                              ? failed_runs_of_gang(*step)
                              : step->m_tasks[static_cast<std::size_t>(task.m_index)].m_failed_runs.size();
    return failures > 0 && static_cast<std::int64_t>(failures) >= job.m_record.m_policy.m_max_attempts;
}

auto fail_job(scheduler_state& state, job_entry& job, const time_point now) -> void
{
    finish_job(state, job, job_state::failed, now);
}

auto apply_task_end(scheduler_state& state, job_entry& job, const task_end& end, const time_point now) -> void
{
    const auto& [task, run, outcome, checkpoint] = end;
    auto* found = find_task(state, task);
    if (found == nullptr || found->m_phase == task_phase::done || is_final(job.m_state)) {
        return;
    }
    const auto& spec = step_of(job, task);
    auto& step = *find_step(job, task);
    if (!checkpoint.empty()) {
        found->m_checkpoint = checkpoint;
    }
    state.m_dispatch_requested = true;
    if (outcome == run_end::done && !spec.m_long_running) {
        const auto complete = [&step](task_state& member) {
            if (member.m_phase != task_phase::done) {
                step.m_waiting -= member.m_phase == task_phase::waiting ? 1U : 0U;
                member.m_phase = task_phase::done;
                ++step.m_done;
            }
        };
        // The end of one member counts for the whole gang.
        if (spec.m_gang) {
            std::for_each(step.m_tasks.begin(), step.m_tasks.end(), complete);
        }
        else {
            complete(*found);
        }
        if (step.m_done == step.m_tasks.size()) {
            account_step_end(step, *found, now);
            account_ready_steps(job, now);
            learn_step_overrun(state, job, spec, step, now);
        }
        mark_dirty(state, job);
        close_done_occurrences(state, job, now);
        return;
    }
    step.m_interrupted = true;
    if (found->m_phase != task_phase::waiting) {
        found->m_phase = task_phase::waiting;
        ++step.m_waiting;
        account_unfinished_run(*found, now);
    }
    if (outcome == run_end::failed && found->m_worker != no_worker) {
        found->m_failed_workers.push_back(found->m_worker);
    }
    found->m_worker = no_worker;
    found->m_percent = 0;
    found->m_since = now;
    if (outcome == run_end::failed && !spec.m_long_running && count_failure(*found, run)) {
        const auto failures = static_cast<std::int64_t>(found->m_failed_runs.size());
        found->m_not_before = now + state.m_settings.m_task_backoff * failures;
        mark_dirty(state, job);
    }
    else if (!checkpoint.empty()) {
        mark_dirty(state, job);
    }
    // The last failure may be that of an earlier run, which was counted while this one continued.
    if (is_out_of_attempts(job, task)) {
        fail_job(state, job, now);
    }
}

auto apply_stored_progress(scheduler_state& state, job_entry& job, const job_progress& stored) -> void
{
    job.m_stored_state = stored.m_state;
    job.m_stored_changes = std::max(job.m_stored_changes, stored.m_changes);
    state.m_dispatch_requested = state.m_dispatch_requested || job.m_refused;
    job.m_refused = false;
    confirm_trials(state, job, stored);
    confirm_places(state, job, stored.m_places);
    for (auto& occurrence : job.m_open) {
        const auto found =
            std::find_if(stored.m_open.begin(), stored.m_open.end(), [&occurrence](const occurrence_progress& open) {
                return open.m_occurrence == occurrence.m_number;
            });
        if (found == stored.m_open.end()) {
            continue;
        }
        for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
            if (found->m_opened[step] && !occurrence.m_steps[step].m_opened) {
                occurrence.m_steps[step].m_opened = true;
                occurrence.m_steps[step].m_opening = false;
                state.m_dispatch_requested = true;
            }
        }
    }
}

auto progress_of(const job_entry& job) -> job_progress
{
    job_progress progress;
    progress.m_changes = job.m_changes;
    progress.m_state = job.m_state;
    if (progress.m_state == job_state::queued && job.m_started) {
        progress.m_state = job_state::running;
    }
    progress.m_first_open = job.m_first_open;
    if (is_final(job.m_state)) {
        return progress;
    }
    for (const auto& occurrence : job.m_open) {
        occurrence_progress stored;
        stored.m_occurrence = occurrence.m_number;
        for (const auto& step : occurrence.m_steps) {
            std::vector<task_progress> tasks;
            tasks.reserve(step.m_tasks.size());
            for (const auto& task : step.m_tasks) {
                const bool done = task.m_phase == task_phase::done;
                tasks.push_back({done, task.m_failed_runs, done ? std::string{} : task.m_checkpoint});
            }
            stored.m_steps.push_back(std::move(tasks));
            stored.m_opened.push_back(step.m_opened || step.m_opening);
        }
        progress.m_open.push_back(std::move(stored));
        append_crashes(progress, occurrence);
        append_places(progress, occurrence);
    }
    return progress;
}

auto pending_jobs(const scheduler_state& state, const queue_id& queue) -> std::int64_t
{
    std::int64_t count{0};
    for (const auto& [service, jobs] : state.m_active) {
        count += std::count_if(jobs.begin(), jobs.end(), [&queue](const job_entry* job) {
            return !job->m_started && job->m_record.m_policy.m_queue == queue;
        });
    }
    return count;
}

} // namespace cicadalug
