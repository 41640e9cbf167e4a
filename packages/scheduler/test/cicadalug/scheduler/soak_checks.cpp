#include "soak_checks.hpp"

#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/wait_cause.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace cicadalug::test {

namespace {

/** @brief The rule LOST: a task that has not run for this long, in calm that began this long before, is lost. */
constexpr milliseconds lost_time{3'000};
constexpr milliseconds calm_before{4'000};

/** @brief The rule LOST: the longest wait of a long-running task, with all takeovers that fall into it. */
constexpr milliseconds longest_wait{9'000};

/** @brief Jobs of short tasks have to end within this time in calm, beside this many idle workers. */
constexpr milliseconds settle_time{10'000};
constexpr std::int64_t idle_workers{3};

/** @brief A VM is in touch after this time without disruption. */
constexpr milliseconds contact_time{3'000};
constexpr milliseconds grace_after_run{6'000};

[[nodiscard]] auto text_of(const task_ref& task) -> std::string
{
    return task.m_job.str() + '.' + std::to_string(task.m_step) + '.' + std::to_string(task.m_index);
}

auto report(soak_checks& checks, const soak_simulation& simulation, const std::string& text) -> void
{
    const auto time = std::chrono::duration_cast<milliseconds>(simulation.now().time_since_epoch()).count();
    checks.m_findings.m_violations.push_back(std::to_string(time - 1'000'000) + " ms: " + text);
}

/** @brief Describes why a task waits, for the report of a violation. */
[[nodiscard]] auto describe_wait(const soak_simulation& simulation, const task_ref& task) -> std::string
{
    if (simulation.decider() == nullptr) {
        return "no decider";
    }
    const auto& state = simulation.decider()->state();
    const auto* job = find_job(state, task.m_job);
    if (job == nullptr || find_step(*job, task) == nullptr) {
        return "not known to the decider";
    }
    const auto& found = find_step(*job, task)->m_tasks[static_cast<std::size_t>(task.m_index)];
    std::ostringstream text;
    text << "phase " << static_cast<int>(found.m_phase) << " run " << found.m_run.value();
    const auto wait = explain_wait(state, task, simulation.now());
    text << " cause " << name_of(wait.m_cause) << " unreported " << wait.m_unreported << " expected "
         << wait.m_expected;
    for (std::size_t obstacle = 0; obstacle < wait.m_workers.size(); ++obstacle) {
        if (wait.m_workers[obstacle] > 0) {
            text << ' ' << name_of(static_cast<worker_obstacle>(obstacle)) << '=' << wait.m_workers[obstacle];
        }
    }
    return text.str();
}

[[nodiscard]] auto has_room(const soak_simulation& simulation, const soak_worker& worker, const job_record& record,
                            const step_spec& spec) -> bool
{
    const auto entry = simulation.m_registry.find(worker.m_entry.m_id);
    const auto& policy = record.m_policy;
    if (entry == simulation.m_registry.end() || !worker.m_alive || !worker.m_reaches_decider ||
        !worker.m_reaches_store || !worker.m_answers_commands || worker.m_fails_all ||
        worker.m_entry.m_service != policy.m_service || worker.m_entry.m_state != worker_state::ready) {
        return false;
    }
    const auto& labels = worker.m_entry.m_labels;
    if (!spec.m_required_label.empty() &&
        std::find(labels.begin(), labels.end(), spec.m_required_label) == labels.end()) {
        return false;
    }
    auto free = worker.m_entry.m_capacity;
    std::int64_t members{0};
    for (const auto& run : worker.m_runs) {
        free = free - run.m_demand;
        members += run.m_task.m_job == record.m_id ? 1 : 0;
    }
    return fits(spec.m_demand + spec.m_demand, free) && (spec.m_max_per_worker <= 0 || members < spec.m_max_per_worker);
}

/** @brief Checks that each long-running task whose turn has come runs where there is room for it. */
auto check_waits(soak_checks& checks, const soak_simulation& simulation, const std::map<task_ref, std::int64_t>& runs,
                 const time_point calm_since) -> void
{
    const auto now = simulation.now();
    for (const auto& id : simulation.m_long_running) {
        const auto& job = simulation.m_jobs.at(id);
        const auto& spec = job.m_record.m_spec.m_steps.front();
        if (job.m_cancelled) {
            continue;
        }
        const bool room =
            std::any_of(simulation.m_workers.begin(), simulation.m_workers.end(),
                        [&](const auto& worker) { return has_room(simulation, worker.second, job.m_record, spec); });
        for (std::int64_t index = 0; index < spec.m_count; ++index) {
            const task_ref task{id, 0, 0, index};
            auto& wait = checks.m_waits.try_emplace(task, soak_checks::wait{{}, now, false}).first->second;
            if (runs.contains(task)) {
                wait = {now, now, false};
            }
            if (!room) {
                wait.m_room_since = now;
            }
            const auto since = std::max({wait.m_room_since, calm_since + calm_before, job.m_submitted});
            const auto waited = std::chrono::duration_cast<milliseconds>(now - since);
            checks.m_findings.m_longest_wait = std::max(checks.m_findings.m_longest_wait, waited);
            const bool in_grace =
                wait.m_last_run != time_point{} && now - lost_time < wait.m_last_run + grace_after_run;
            if (waited >= lost_time && !in_grace && !wait.m_reported) {
                wait.m_reported = true;
                report(checks, simulation, "LOST " + text_of(task) + ' ' + describe_wait(simulation, task));
            }
        }
    }
}

/** @brief Returns until when a late call to an earlier incarnation of a worker may prolong a run there. */
[[nodiscard]] auto stale_end_of(const soak_simulation& simulation, const soak_worker& worker) -> time_point
{
    return worker.m_incarnation > 1 ? worker.m_started + soak_longest_lateness + simulation.longest_lease()
                                    : time_point{};
}

/** @brief Returns until when a late start of a task that got no answer may be carried out, and the run may last. */
[[nodiscard]] auto late_start_end_of(const soak_simulation& simulation, const task_ref& task) -> time_point
{
    const auto sent = simulation.m_unanswered_starts.find(task);
    return sent == simulation.m_unanswered_starts.end()
               ? time_point{}
               : sent->second + soak_longest_lateness + simulation.longest_lease();
}

/** @brief Updates the waits of long-running tasks that run. */
auto note_runs(soak_checks& checks, const soak_simulation& simulation) -> void
{
    for (const auto& [id, worker] : simulation.m_workers) {
        for (const auto& run : worker.m_runs) {
            if (run.m_long_running) {
                auto& wait = checks.m_long_waits[run.m_task];
                wait.m_worker = id;
                wait.m_possible_until = std::max(wait.m_possible_until, simulation.now());
                wait.m_reported = false;
            }
        }
    }
}

/** @brief Checks that no member of a gang waits in vain if there has been no disruption near its start. */
auto check_lonely_runs(soak_checks& checks, soak_simulation& simulation, const time_point calm_since) -> void
{
    for (const auto& run : std::exchange(simulation.m_gangs.m_lonely, {})) {
        if (run.m_begin > calm_since + contact_time && !simulation.m_jobs.at(run.m_task.m_job).m_cancelled) {
            report(checks, simulation, "GANG " + text_of(run.m_task) + " has ended alone");
        }
    }
}

/** @brief Describes the runs of a task, for the report of a violation. */
[[nodiscard]] auto describe_runs(const soak_simulation& simulation, const task_ref& task) -> std::string
{
    std::ostringstream text;
    for (const auto& [id, worker] : simulation.m_workers) {
        for (const auto& run : worker.m_runs) {
            if (run.m_task == task) {
                const auto age = std::chrono::duration_cast<milliseconds>(simulation.now() - run.m_begin).count();
                text << ' ' << id << " run " << run.m_run.value() << " for " << age << " ms"
                     << (run.m_stale ? " by a stale start" : "")
                     << (worker.m_has_stale_lease ? " on a stale lease" : "");
            }
        }
    }
    return text.str();
}

auto check_single_runs(soak_checks& checks, const soak_simulation& simulation,
                       const std::map<task_ref, std::int64_t>& runs) -> void
{
    for (const auto& [task, count] : runs) {
        if (count > 1 && !checks.m_run_twice[task]) {
            checks.m_run_twice[task] = true;
            report(checks, simulation, "TWICE " + text_of(task) + describe_runs(simulation, task));
        }
    }
}

/** @brief Number of entries in the workers' lists for each run. */
using placed_runs = std::map<std::pair<task_ref, run_number>, std::int64_t>;

/** @brief Describes a contradiction between the tasks of an occurrence and the runs on workers. */
[[nodiscard]] auto find_contradiction(const job_entry& job, const occurrence_state& occurrence,
                                      const placed_runs& placed) -> std::string
{
    const auto& id = job.m_record.m_id;
    for (std::size_t number = 0; number < occurrence.m_steps.size(); ++number) {
        const auto& tasks = occurrence.m_steps[number].m_tasks;
        std::size_t waiting{0};
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            const task_ref task{id, occurrence.m_number, static_cast<std::int64_t>(number),
                                static_cast<std::int64_t>(index)};
            const auto phase = tasks[index].m_phase;
            waiting += phase == task_phase::waiting ? 1 : 0;
            const auto found = placed.find({task, tasks[index].m_run});
            const bool has_one = found != placed.end() && found->second == 1;
            if (phase != task_phase::waiting && phase != task_phase::done && !has_one) {
                return "runs of " + text_of(task);
            }
        }
        if (waiting != occurrence.m_steps[number].m_waiting) {
            return "waiting tasks of " + id.str();
        }
    }
    return {};
}

/** @brief Describes the first contradiction in the scheduler's state; empty if there is none. */
[[nodiscard]] auto find_contradiction(const scheduler_state& state) -> std::string
{
    placed_runs placed;
    for (const auto& worker : state.m_workers) {
        resources used;
        for (const auto& run : worker.m_runs) {
            used = used + run.m_demand;
            ++placed[{run.m_task, run.m_run}];
        }
        if (!(used == worker.m_used)) {
            return "used capacity of " + worker.m_entry.m_id.str();
        }
    }
    for (const auto& [service, jobs] : state.m_active) {
        for (const auto* job : jobs) {
            for (const auto& occurrence : job->m_open) {
                auto contradiction = find_contradiction(*job, occurrence, placed);
                if (!contradiction.empty()) {
                    return contradiction;
                }
            }
        }
    }
    return {};
}

/** @brief Checks whether a worker accepts work of a job, and is not in use by half. */
[[nodiscard]] auto is_idle(const soak_simulation& simulation, const soak_worker& worker, const job_record& record)
    -> bool
{
    auto doubled = record.m_spec.m_steps.front();
    doubled.m_required_label.clear();
    doubled.m_max_per_worker = 0;
    doubled.m_demand = {millicores{worker.m_entry.m_capacity.m_cpu.value() / 4}, mebibytes{2'000}, 0};
    return has_room(simulation, worker, record, doubled);
}

} // namespace

auto check_end(soak_checks& checks, const soak_simulation& simulation, const time_point calm_since) -> void
{
    const auto settled = simulation.now() - settle_time;
    std::map<service_id, std::pair<std::int64_t, task_ref>> waiting;
    for (const auto& [id, job] : simulation.m_jobs) {
        const auto& spec = job.m_record.m_spec.m_steps.front();
        const bool ended = job.m_cancelled || (job.m_progress && is_final(job.m_progress->m_state));
        if (ended || spec.m_long_running || std::max(job.m_submitted, calm_since) > settled) {
            continue;
        }
        const bool runs =
            std::any_of(simulation.m_workers.begin(), simulation.m_workers.end(), [&id = id](const auto& entry) {
                return std::any_of(entry.second.m_runs.begin(), entry.second.m_runs.end(),
                                   [&id](const soak_run& run) { return run.m_task.m_job == id; });
            });
        const auto idle = std::count_if(
            simulation.m_workers.begin(), simulation.m_workers.end(),
            [&, &job = job](const auto& worker) { return is_idle(simulation, worker.second, job.m_record); });
        if (!runs && idle >= idle_workers) {
            auto& [count, last] = waiting[job.m_record.m_policy.m_service];
            ++count;
            last = {id, 0, 0, 0};
        }
    }
    for (const auto& [service, jobs] : waiting) {
        report(checks, simulation,
               "LOST " + std::to_string(jobs.first) + " jobs of " + service.str() + ", such as " +
                   text_of(jobs.second) + ' ' + describe_wait(simulation, jobs.second));
    }
}

auto check_long_waits(soak_checks& checks, const soak_simulation& simulation) -> void
{
    const auto now = simulation.now();
    note_runs(checks, simulation);
    for (const auto& id : simulation.m_long_running) {
        const auto& job = simulation.m_jobs.at(id);
        const auto& spec = job.m_record.m_spec.m_steps.front();
        if (job.m_cancelled) {
            continue;
        }
        const bool room =
            std::any_of(simulation.m_workers.begin(), simulation.m_workers.end(),
                        [&](const auto& worker) { return has_room(simulation, worker.second, job.m_record, spec); });
        for (std::int64_t index = 0; index < spec.m_count; ++index) {
            const task_ref task{id, 0, 0, index};
            auto& wait = checks.m_long_waits[task];
            if (const auto worker = simulation.m_workers.find(wait.m_worker); worker != simulation.m_workers.end()) {
                wait.m_possible_until = std::max(wait.m_possible_until, stale_end_of(simulation, worker->second));
            }
            wait.m_possible_until = std::max(wait.m_possible_until, late_start_end_of(simulation, task));
            wait.m_room_since = room ? wait.m_room_since : now;
            const auto since = std::max({wait.m_possible_until, wait.m_room_since, job.m_submitted});
            if (now - since > longest_wait && !wait.m_reported) {
                wait.m_reported = true;
                report(checks, simulation,
                       "LOST for 9 s " + text_of(task) + " last on " + wait.m_worker.str() + ' ' +
                           describe_wait(simulation, task));
            }
        }
    }
}

auto check_step(soak_checks& checks, soak_simulation& simulation, const time_point calm_since) -> void
{
    std::map<task_ref, std::int64_t> runs;
    for (const auto& [id, worker] : simulation.m_workers) {
        for (const auto& run : worker.m_runs) {
            ++runs[run.m_task];
        }
    }
    for (const auto& text : std::exchange(simulation.m_broken_rules, {})) {
        report(checks, simulation, text);
    }
    check_single_runs(checks, simulation, runs);
    check_lonely_runs(checks, simulation, calm_since);
    check_waits(checks, simulation, runs, calm_since);
    if (!checks.m_inconsistent && simulation.decider() != nullptr) {
        if (const auto contradiction = find_contradiction(simulation.decider()->state()); !contradiction.empty()) {
            checks.m_inconsistent = true;
            report(checks, simulation, "STATE " + contradiction);
        }
    }
}

} // namespace cicadalug::test
