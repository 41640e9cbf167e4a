#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/crash_suspicion.hpp>

#include <gtest/gtest.h>

#include <cstddef>
#include <vector>

namespace cicadalug::test {

namespace {

/** @brief Makes all tasks of a job suspects that have survived the start of their runs in three crashes. */
auto suspect_after_three_crashes(scheduler_simulation& simulation, const job_id& id) -> void
{
    auto& step = find_job(simulation.m_state, id)->m_open.front().m_steps.front();
    step.m_opened = true;
    for (auto& task : step.m_tasks) {
        task.m_suspect = true;
        task.m_crashed_runs = {run_number{1}, run_number{2}, run_number{3}};
    }
}

/** @brief Submits jobs of four tasks of 700 ms. @return Their ids. */
auto submit_jobs(scheduler_simulation& simulation, const int count) -> std::vector<job_id>
{
    std::vector<job_id> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        ids.push_back(simulation.submit(make_job("quotes", 4, 2'000, milliseconds{700})));
    }
    return ids;
}

} // namespace

class crash_suspicion : public testing::TestWithParam<bool> {};

INSTANTIATE_TEST_SUITE_P(restart, crash_suspicion, testing::Bool());

// Guards against a task that crashes its workers and is started again each time their leases have expired.
TEST_P(crash_suspicion, a_task_that_crashes_its_workers_is_given_up)
{
    scheduler_simulation simulation;
    simulation.m_restart_keeps_id = GetParam();
    simulation.begin_with("quotes", 6);
    const auto deadly = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{700}));
    simulation.m_deadly.insert({deadly, 0, 0, 0});
    simulation.run_for(milliseconds{60'000});
    EXPECT_EQ(simulation.starts_of({deadly, 0, 0, 0}), 2);
    EXPECT_EQ(simulation.stored_state(deadly), job_state::failed);
}

// Guards against sound tasks that are condemned with the deadly task beside them.
TEST_P(crash_suspicion, sound_tasks_beside_a_deadly_one_are_completed)
{
    scheduler_simulation simulation;
    simulation.m_restart_keeps_id = GetParam();
    simulation.begin_with("quotes", 6);
    const auto before = submit_jobs(simulation, 8);
    const auto deadly = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{700}));
    simulation.m_deadly.insert({deadly, 0, 0, 0});
    const auto after = submit_jobs(simulation, 8);
    simulation.run_for(milliseconds{30'000});
    EXPECT_EQ(simulation.stored_state(deadly), job_state::failed);
    EXPECT_LE(simulation.m_crash_count, 3);
    for (const auto* ids : {&before, &after}) {
        for (const auto& id : *ids) {
            EXPECT_EQ(simulation.stored_state(id), job_state::completed);
        }
    }
}

// Guards against suspects that are never started again after many crashes at once.
TEST_P(crash_suspicion, sound_jobs_are_completed_after_a_surge_with_deadly_ones)
{
    scheduler_simulation simulation;
    simulation.m_restart_keeps_id = GetParam();
    simulation.begin_with("quotes", 20);
    std::vector<job_id> sound;
    std::vector<job_id> deadly;
    for (int number = 0; number < 200; ++number) {
        const bool kills = number % 10 == 3;
        auto record = make_job("quotes", 6, 2'000, milliseconds{700});
        record.m_spec.m_steps.push_back(record.m_spec.m_steps.front());
        record.m_spec.m_steps.back().m_after = {0};
        const auto id = simulation.submit(record);
        if (kills) {
            simulation.m_deadly.insert({id, 0, number % 2, 2});
        }
        (kills ? deadly : sound).push_back(id);
        simulation.run_for(milliseconds{50});
    }
    simulation.run_for(milliseconds{40'000});
    for (const auto& id : sound) {
        EXPECT_EQ(simulation.stored_state(id), job_state::completed);
    }
    for (const auto& id : deadly) {
        EXPECT_EQ(simulation.stored_state(id), job_state::failed);
    }
    for (const auto& trial : simulation.m_state.m_trials) {
        const auto& worker = simulation.m_state.m_workers[static_cast<std::size_t>(trial.m_worker)];
        ADD_FAILURE() << trial.m_task.m_job.str() << '.' << trial.m_task.m_step << '.' << trial.m_task.m_index << " on "
                      << worker.m_entry.m_id.str() << " stored " << trial.m_is_stored << " started " << trial.m_started
                      << " runs " << worker.m_runs.size();
    }
}

// Guards against a job that crashes several workers at a time with trials of several of its tasks, of which one is
// enough to give it up.
TEST_P(crash_suspicion, a_deadly_job_has_one_trial_at_a_time)
{
    scheduler_simulation simulation;
    simulation.m_restart_keeps_id = GetParam();
    simulation.begin_with("quotes", 12);
    // Each task needs a worker of its own.
    const auto deadly = simulation.submit(make_job("quotes", 6, 20'000, milliseconds{700}));
    for (std::int64_t index = 0; index < 6; ++index) {
        simulation.m_deadly.insert({deadly, 0, 0, index});
    }
    simulation.run_for(milliseconds{100});
    ASSERT_EQ(simulation.m_crash_count, 6);
    simulation.run_for(milliseconds{20'000});
    EXPECT_EQ(simulation.m_crash_count, 7);
    EXPECT_EQ(simulation.stored_state(deadly), job_state::failed);
}

// Guards against sound jobs that are not completed after a time with many jobs all of whose tasks crash their workers.
TEST_P(crash_suspicion, sound_jobs_are_completed_after_many_deadly_ones)
{
    scheduler_simulation simulation;
    simulation.m_restart_keeps_id = GetParam();
    simulation.m_crash_delay = milliseconds{10};
    simulation.begin_with("quotes", 9);
    std::vector<job_id> sound;
    std::vector<job_id> deadly;
    for (int number = 0; number < 150; ++number) {
        const auto id = simulation.submit(make_job("quotes", 6, 1'800, milliseconds{800}));
        const bool kills = number % 7 == 3;
        for (std::int64_t index = 0; kills && index < 6; ++index) {
            simulation.m_deadly.insert({id, 0, 0, index});
        }
        (kills ? deadly : sound).push_back(id);
        simulation.run_for(milliseconds{100});
    }
    simulation.run_for(milliseconds{25'000});
    for (const auto& id : sound) {
        EXPECT_EQ(simulation.stored_state(id), job_state::completed);
    }
    for (const auto& id : deadly) {
        EXPECT_EQ(simulation.stored_state(id), job_state::failed);
    }
}

// Guards against crashes that a successor of the decider does not know of.
TEST_P(crash_suspicion, crashes_count_through_takeovers)
{
    scheduler_simulation simulation;
    simulation.m_restart_keeps_id = GetParam();
    simulation.begin_with("quotes", 6);
    const auto deadly = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{700}));
    simulation.m_deadly.insert({deadly, 0, 0, 0});
    for (int tick = 0; tick < 3'000 && simulation.starts_of({deadly, 0, 0, 0}) < 2; ++tick) {
        simulation.run_for(milliseconds{10});
    }
    // Right after the second start, which was a trial.
    simulation.take_over();
    simulation.run_for(milliseconds{60'000});
    EXPECT_EQ(simulation.starts_of({deadly, 0, 0, 0}), 2);
    EXPECT_EQ(simulation.stored_state(deadly), job_state::failed);
}

// Guards against giving up sound tasks whose workers crash again and again for another cause.
TEST_P(crash_suspicion, proven_tasks_are_not_blamed_for_crashes)
{
    scheduler_simulation simulation;
    simulation.m_restart_keeps_id = GetParam();
    simulation.begin_with("quotes", 3);
    const auto serving = simulation.submit(make_long_running_job("quotes", 3, 0));
    for (int round = 0; round < 6; ++round) {
        simulation.run_for(milliseconds{5'000});
        for (const auto& id : simulation.worker_ids()) {
            if (simulation.worker(id.str()).m_alive && !simulation.worker(id.str()).m_runs.empty()) {
                simulation.crash(id);
                break;
            }
        }
    }
    simulation.run_for(milliseconds{5'000});
    EXPECT_EQ(simulation.m_crash_count, 6);
    EXPECT_EQ(simulation.stored_state(serving), job_state::running);
    for (std::int64_t index = 0; index < 3; ++index) {
        EXPECT_EQ(find_task(simulation.m_state, {serving, 0, 0, index})->m_phase, task_phase::running);
        EXPECT_FALSE(is_suspect(*find_task(simulation.m_state, {serving, 0, 0, index})));
    }
}

// Guards against long-running tasks that crash all workers of a pool without end.
TEST_P(crash_suspicion, a_long_running_task_that_crashes_its_workers_is_given_up)
{
    scheduler_simulation simulation;
    simulation.m_restart_keeps_id = GetParam();
    simulation.begin_with("quotes", 6);
    const auto deadly = simulation.submit(make_long_running_job("quotes", 2, 0));
    simulation.m_deadly.insert({deadly, 0, 0, 1});
    simulation.run_for(milliseconds{60'000});
    EXPECT_EQ(simulation.starts_of({deadly, 0, 0, 1}), 2);
    EXPECT_EQ(simulation.stored_state(deadly), job_state::failed);
}

// Guards against tasks that crash their workers some time after their start, when younger runs are on the worker.
TEST_P(crash_suspicion, a_task_that_crashes_its_workers_late_is_given_up)
{
    scheduler_simulation simulation;
    simulation.m_restart_keeps_id = GetParam();
    simulation.m_crash_delay = milliseconds{600};
    simulation.begin_with("quotes", 6);
    const auto deadly = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{900}));
    simulation.m_deadly.insert({deadly, 0, 0, 0});
    std::vector<job_id> sound;
    for (int number = 0; number < 600; ++number) {
        sound.push_back(simulation.submit(make_job("quotes", 2, 2'000, milliseconds{700})));
        simulation.run_for(milliseconds{50});
    }
    simulation.run_for(milliseconds{30'000});
    // Three starts more after the third crash would break the platform's rules.
    EXPECT_LE(simulation.starts_of({deadly, 0, 0, 0}), 4);
    EXPECT_EQ(simulation.stored_state(deadly), job_state::failed);
    for (const auto& id : sound) {
        EXPECT_EQ(simulation.stored_state(id), job_state::completed);
    }
}

// Guards against counting a worker that was only cut off as crashed.
TEST(crash_suspicion_evidence, a_worker_that_was_only_cut_off_clears_its_tasks)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    const auto job = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{20'000}));
    simulation.run_for(milliseconds{40});
    ASSERT_EQ(simulation.starts_of({job, 0, 0, 0}), 1);
    auto& worker = simulation.worker("w1");
    worker.m_reachable = false;
    simulation.run_for(milliseconds{5'000});
    EXPECT_TRUE(is_suspect(*find_task(simulation.m_state, {job, 0, 0, 0})));
    // The lease of the run has expired on the worker.
    worker.m_runs.clear();
    worker.m_reachable = true;
    simulation.run_for(milliseconds{100});
    EXPECT_FALSE(is_suspect(*find_task(simulation.m_state, {job, 0, 0, 0})));
    EXPECT_TRUE(find_task(simulation.m_state, {job, 0, 0, 0})->m_crashed_runs.empty());
    simulation.run_for(milliseconds{1'000});
    EXPECT_EQ(simulation.starts_of({job, 0, 0, 0}), 2);
}

// Guards against counting the crash of a run against a task that a later run has proven sound.
TEST(crash_suspicion_evidence, late_evidence_does_not_count_against_a_proven_task)
{
    scheduler_simulation simulation;
    simulation.m_restart_time = milliseconds{8'000};
    simulation.begin_with("quotes", 2);
    const auto job = simulation.submit(make_long_running_job("quotes", 1, 0));
    const task_ref task{job, 0, 0, 0};
    simulation.run_for(milliseconds{40});
    ASSERT_EQ(simulation.starts_of(task), 1);
    // For another cause, right after the start.
    simulation.crash(
        simulation.m_state.m_workers[static_cast<std::size_t>(find_task(simulation.m_state, task)->m_worker)]
            .m_entry.m_id);
    simulation.run_for(milliseconds{6'000});
    ASSERT_EQ(simulation.starts_of(task), 2);
    ASSERT_FALSE(is_suspect(*find_task(simulation.m_state, task))) << "proven by its trial";
    simulation.run_for(milliseconds{4'000});
    EXPECT_FALSE(is_suspect(*find_task(simulation.m_state, task)));
    EXPECT_TRUE(find_task(simulation.m_state, task)->m_crashed_runs.empty());
}

// Guards against tasks of a job that wait for each other's long trials, one after the other.
TEST(crash_suspicion_evidence, long_trials_of_a_job_overlap)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 10);
    const auto job = simulation.submit(make_job("quotes", 4, 2'000, milliseconds{2'000}));
    suspect_after_three_crashes(simulation, job);
    simulation.run_for(milliseconds{4'000});
    EXPECT_EQ(simulation.stored_state(job), job_state::completed);
}

// Guards against suspects that wait for one trial at a time after their pool has shrunk.
TEST(crash_suspicion_evidence, many_suspects_in_a_small_pool_are_completed_in_time)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 5);
    const auto ids = submit_jobs(simulation, 15);
    for (const auto& id : ids) {
        auto& step = find_job(simulation.m_state, id)->m_open.front().m_steps.front();
        step.m_opened = true;
        for (auto& task : step.m_tasks) {
            task.m_suspect = true;
        }
    }
    simulation.run_for(milliseconds{7'000});
    for (const auto& id : ids) {
        EXPECT_EQ(simulation.stored_state(id), job_state::completed);
    }
}

// Guards against a trial without a response that leaves its worker reserved, or that starts in place of a trial that
// is not stored.
TEST(crash_suspicion_evidence, no_trial_starts_before_it_is_stored)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 6);
    const auto deadly = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{700}));
    simulation.m_deadly.insert({deadly, 0, 0, 0});
    simulation.run_for(milliseconds{100});
    ASSERT_EQ(simulation.m_crash_count, 1);
    simulation.m_store_up = false;
    simulation.run_for(milliseconds{10'000});
    EXPECT_EQ(simulation.m_crash_count, 1);
    simulation.m_store_up = true;
    simulation.run_for(milliseconds{10'000});
    EXPECT_EQ(simulation.m_crash_count, 2);
    EXPECT_TRUE(simulation.m_state.m_trials.empty());
}

// Guards against progress that entry VMs of the earlier version cannot read, or that this one cannot read of them.
TEST(crash_suspicion_evidence, progress_is_compatible_with_the_earlier_format)
{
    job_progress progress;
    progress.m_state = job_state::running;
    progress.m_first_open = 4;
    const auto earlier = encode(progress);
    progress.m_crashes.push_back(
        {0, 1, 2, {run_number{2'001}}, true, {{run_number{2'002}, worker_id{"w1"}, vm_id{"vm1"}, 77}}});
    const auto current = encode(progress);
    // An earlier decoder reads its own fields and ignores what follows.
    ASSERT_EQ(current.substr(0, earlier.size()), earlier);
    const auto read = decode_job_progress(current);
    ASSERT_TRUE(read.has_value());
    ASSERT_EQ(read.assume_value().m_crashes.size(), 1U);
    EXPECT_EQ(read.assume_value().m_crashes.front().m_crashed_runs.front(), run_number{2'001});
    EXPECT_EQ(read.assume_value().m_crashes.front().m_trial.front().m_vm, vm_id{"vm1"});
    const auto old = decode_job_progress(earlier);
    ASSERT_TRUE(old.has_value());
    EXPECT_EQ(old.assume_value().m_first_open, 4);
    EXPECT_TRUE(old.assume_value().m_crashes.empty());
}

// Guards against a trial that ended without a crash and is counted as one by a successor, after its worker was
// replaced.
TEST(crash_suspicion_evidence, a_trial_that_was_not_accepted_is_not_stored_any_more)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    auto& state = simulation.m_state;
    const auto job = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{700}));
    const task_ref ref{job, 0, 0, 0};
    auto* task = find_task(state, ref);
    find_step(*find_job(state, job), ref)->m_opened = true;
    task->m_suspect = true;
    dispatch(state, simulation.now());
    ASSERT_TRUE(task->m_trial);
    apply_stored_progress(state, *find_job(state, job), progress_of(*find_job(state, job)));
    dispatch(state, simulation.now());
    ASSERT_EQ(state.m_starts.size(), 1U);
    const auto start = state.m_starts.front();
    state.m_starts.clear();
    apply_start_result(state, start, command_result::unavailable, simulation.now());
    update_trials(state, simulation.now());
    EXPECT_FALSE(task->m_trial);
    EXPECT_TRUE(state.m_trials.empty());
}

// Guards against a trial whose start had no response, and that reserves its worker without end.
TEST(crash_suspicion_evidence, a_trial_without_a_response_ends_and_another_begins)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    const auto job = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{700}));
    const task_ref ref{job, 0, 0, 0};
    find_step(*find_job(state, job), ref)->m_opened = true;
    find_task(state, ref)->m_suspect = true;
    dispatch(state, simulation.now());
    apply_stored_progress(state, *find_job(state, job), progress_of(*find_job(state, job)));
    dispatch(state, simulation.now());
    ASSERT_EQ(state.m_starts.size(), 1U);
    const auto start = state.m_starts.front();
    state.m_starts.clear();
    apply_start_result(state, start, command_result::unknown, simulation.now());
    simulation.run_for(milliseconds{1'500});
    EXPECT_EQ(simulation.starts_of(ref), 1);
    EXPECT_EQ(simulation.stored_state(job), job_state::completed);
    EXPECT_TRUE(state.m_trials.empty());
}

// Guards against giving up a task for crashes of workers that have not started it: a start without an answer may not
// have arrived.
TEST(crash_suspicion_evidence, an_unanswered_start_makes_a_suspect_and_is_no_crash)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    const auto job = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{700}));
    const task_ref ref{job, 0, 0, 0};
    auto* task = find_task(state, ref);
    find_step(*find_job(state, job), ref)->m_opened = true;
    dispatch(state, simulation.now());
    ASSERT_EQ(state.m_starts.size(), 1U);
    const auto start = state.m_starts.front();
    state.m_starts.clear();
    apply_start_result(state, start, command_result::unknown, simulation.now());
    worker_report report;
    report.m_incarnation_start_unix_ms = 2;
    report.m_clock_ms = 5;
    const auto later = simulation.now() + milliseconds{100};
    apply_report(state, 0, report, later, later);
    EXPECT_TRUE(is_suspect(*task));
    EXPECT_TRUE(task->m_crashed_runs.empty());
}

// Guards against a task that is never started again, and a worker that stays reserved for it: the worker of the last
// decider's trial reports after this decider has planned another trial, and before that is stored.
TEST(crash_suspicion_evidence, the_end_of_an_inherited_trial_leaves_a_newer_one_planned)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 3);
    const auto job = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{20'000}));
    const task_ref task{job, 0, 0, 0};
    find_task(simulation.m_state, task)->m_suspect = true;
    find_step(*find_job(simulation.m_state, job), task)->m_opened = true;
    for (int tick = 0; tick < 100 && simulation.starts_of(task) == 0; ++tick) {
        simulation.run_for(milliseconds{10});
    }
    ASSERT_EQ(simulation.m_state.m_trials.size(), 1U);
    auto& last = simulation.worker(simulation.m_state.m_trials.front().m_stored.m_worker.str());
    last.m_reachable = false;
    last.m_runs.clear();
    simulation.take_over();
    // The leases of the other workers are listed in this time.
    simulation.run_for(milliseconds{100});
    simulation.m_store_up = false;
    for (int tick = 0; tick < 1'000 && simulation.m_state.m_trials.empty(); ++tick) {
        simulation.run_for(milliseconds{10});
    }
    ASSERT_EQ(simulation.m_state.m_trials.size(), 1U);
    ASSERT_EQ(simulation.m_state.m_recovered_trials.size(), 1U);
    last.m_reachable = true;
    simulation.run_for(milliseconds{50});
    simulation.m_store_up = true;
    simulation.run_for(milliseconds{1'000});
    EXPECT_EQ(simulation.starts_of(task), 2);
    EXPECT_TRUE(simulation.m_state.m_trials.empty());
    EXPECT_FALSE(is_suspect(*find_task(simulation.m_state, task)));
}

// Guards against a deadly task that is tried again between the end of the lease of its trial's worker and the return of
// that worker, which proves the crash.
TEST_P(crash_suspicion, no_trial_begins_while_evidence_about_the_last_one_may_follow)
{
    scheduler_simulation simulation;
    simulation.m_restart_keeps_id = GetParam();
    simulation.m_restart_time = milliseconds{4'500};
    simulation.begin_with("quotes", 6);
    const auto deadly = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{700}));
    simulation.m_deadly.insert({deadly, 0, 0, 0});
    simulation.run_for(milliseconds{20'000});
    EXPECT_EQ(simulation.starts_of({deadly, 0, 0, 0}), 2);
    EXPECT_EQ(simulation.stored_state(deadly), job_state::failed);
}

// Guards against a crash that a successor does not count, as the worker's clock was set back before it started again.
TEST(crash_suspicion_evidence, a_crash_in_an_inherited_trial_counts_whatever_the_start_time_of_the_next_incarnation)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    const auto job = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{20'000}));
    const task_ref task{job, 0, 0, 0};
    auto& state = simulation.m_state;
    find_task(state, task)->m_suspect = true;
    const auto& worker = state.m_workers.front();
    ASSERT_TRUE(worker.m_has_reported);
    const stored_trial trial{run_number{500}, worker.m_entry.m_id, worker.m_entry.m_vm,
                             worker.m_incarnation_start_unix_ms + 1'000};
    find_task(state, task)->m_trial = trial;
    state.m_recovered_trials.push_back({task, trial});
    update_trials(state, simulation.now());
    EXPECT_EQ(find_task(state, task)->m_crashed_runs.size(), 1U);
}

// Guards against a task that crashes workers which never return: without evidence, its trials would never end.
TEST(crash_suspicion_evidence, a_task_whose_trials_are_lost_again_and_again_is_given_up)
{
    scheduler_simulation simulation;
    simulation.m_restart_time = milliseconds{600'000};
    simulation.begin_with("quotes", 12);
    const auto deadly = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{700}));
    simulation.m_deadly.insert({deadly, 0, 0, 0});
    simulation.run_for(milliseconds{60'000});
    EXPECT_LE(simulation.starts_of({deadly, 0, 0, 0}), 4);
    EXPECT_EQ(simulation.stored_state(deadly), job_state::failed);
}

// Guards against a long-running suspect without a run while all workers that can hold it are paused.
TEST(crash_suspicion_evidence, a_long_running_suspect_is_tried_on_a_paused_worker)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    const auto job = simulation.submit(make_long_running_job("quotes", 2, 1));
    simulation.run_for(milliseconds{100});
    auto& state = simulation.m_state;
    for (auto& worker : state.m_workers) {
        worker.m_paused_until = simulation.now() + milliseconds{10'000};
    }
    simulation.fail_runs(worker_id{"w1"});
    simulation.fail_runs(worker_id{"w2"});
    simulation.run_for(milliseconds{50});
    for (std::int64_t index = 0; index < 2; ++index) {
        ASSERT_EQ(find_task(state, {job, 0, 0, index})->m_phase, task_phase::waiting);
        find_task(state, {job, 0, 0, index})->m_suspect = true;
    }
    simulation.run_for(milliseconds{500});
    EXPECT_TRUE(state.m_trials.empty()) << "paused workers are used after a wait only";
    for (int tick = 0; tick < 200; ++tick) {
        simulation.run_for(milliseconds{10});
        ASSERT_LE(state.m_trials.size(), 1U) << "both workers in trials at once";
    }
    EXPECT_EQ(simulation.starts_of({job, 0, 0, 0}), 2);
    EXPECT_EQ(simulation.starts_of({job, 0, 0, 1}), 2);
}

} // namespace cicadalug::test
