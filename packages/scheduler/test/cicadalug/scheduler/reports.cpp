#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against counting a failure twice: by one decider, and by the next when the worker reports it again.
TEST(reports, a_failed_run_is_counted_once_across_a_takeover)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    simulation.worker("w1").m_fails_all = true;
    const auto job = simulation.submit(make_job("orders", 1, 1'000, milliseconds{300}));
    simulation.run_for(milliseconds{450});
    const task_ref task{job, 0, 0, 0};
    ASSERT_EQ(find_task(simulation.m_state, task)->m_failed_runs.size(), 1U);
    // The failure is stored; its end is reported again because the acknowledgement is lost with the decider.
    simulation.worker("w1").m_ended.push_back({simulation.worker("w1").m_end_count,
                                               task,
                                               find_task(simulation.m_state, task)->m_failed_runs.front(),
                                               run_end::failed,
                                               {}});
    simulation.take_over();
    simulation.run_for(milliseconds{20});
    EXPECT_EQ(find_task(simulation.m_state, task)->m_failed_runs.size(), 1U);
}

// Guards against ignoring a failure because another worker reported the failure of a later run first.
TEST(reports, failed_runs_are_counted_in_any_order)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 2);
    const auto job = simulation.submit(make_job("orders", 1, 1'000, milliseconds{300}));
    const task_ref task{job, 0, 0, 0};
    simulation.take_over();
    auto& state = simulation.m_state;
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_ended.push_back({1, task, run_number{1'004}, run_end::failed, {}});
    apply_report(state, 0, report, simulation.now(), simulation.now());
    report.m_ended.front().m_run = run_number{1'003};
    apply_report(state, 1, report, simulation.now(), simulation.now());
    EXPECT_EQ(find_task(state, task)->m_failed_runs.size(), 2U);
}

// Guards against keeping runs of cancelled jobs alive while cancels cannot be read.
TEST(reports, leases_end_while_the_copy_of_the_jobs_is_not_renewed)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    static_cast<void>(simulation.submit(make_job("orders", 1, 1'000, milliseconds{60'000})));
    simulation.run_for(milliseconds{100});
    simulation.m_job_watch_up = false;
    const auto& settings = simulation.m_state.m_settings;
    simulation.run_for(settings.m_min_copy_age + settings.m_grant_horizon + milliseconds{100});
    EXPECT_LE(lease_end(simulation.m_state, simulation.m_state.m_workers.front()),
              simulation.now() + settings.m_lease_margin);
}

// Guards against leases that end earlier in an outage of the store because the copy of the jobs was idle before.
TEST(reports, leases_outlast_an_outage_as_long_after_an_idle_copy)
{
    scheduler_state state;
    const auto outage = time_point{milliseconds{100'000}};
    state.m_jobs_current_at = outage - state.m_settings.m_min_copy_age;
    update_lease_limits(state, outage, milliseconds{1'200});
    EXPECT_EQ(state.m_grant_limit, outage + state.m_settings.m_grant_horizon);
}

// Guards against ending the runs of an unresponsive worker while another decider may renew its lease.
TEST(reports, leases_expire_only_while_the_term_is_guaranteed)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 2);
    static_cast<void>(simulation.submit(make_job("orders", 1, 30'000, milliseconds{60'000})));
    simulation.run_for(milliseconds{100});
    auto& state = simulation.m_state;
    const auto later = simulation.now() + milliseconds{20'000};
    state.m_term_guaranteed_until = later - milliseconds{1};
    expire_runs(state, later);
    EXPECT_EQ(state.m_workers[0].m_runs.size() + state.m_workers[1].m_runs.size(), 1U);
    state.m_term_guaranteed_until = later + milliseconds{1};
    expire_runs(state, later);
    EXPECT_EQ(state.m_workers[0].m_runs.size() + state.m_workers[1].m_runs.size(), 0U);
}

// Guards against a renewal without a response that extends the lease whose end the decider waits for.
TEST(reports, the_lease_of_an_unresponsive_worker_is_not_extended)
{
    scheduler_simulation simulation;
    simulation.add_vms("orders", 1);
    simulation.run_for(milliseconds{50});
    auto& state = simulation.m_state;
    const auto granted = grant_lease(state, 0, simulation.now());
    state.m_workers[0].m_unresponsive = true;
    EXPECT_EQ(grant_lease(state, 0, simulation.now() + milliseconds{3'000}), granted);
}

// Guards against restarting a task whose first start had no response but is carried out late.
TEST(reports, a_start_without_a_response_is_stopped_before_the_task_restarts)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    const auto job = simulation.submit(make_job("orders", 1, 1'000, milliseconds{300}));
    auto& state = simulation.m_state;
    dispatch(state, simulation.now());
    apply_stored_progress(state, *find_job(state, job), progress_of(*find_job(state, job)));
    dispatch(state, simulation.now());
    ASSERT_EQ(state.m_starts.size(), 1U);
    const auto start = state.m_starts.front();
    state.m_starts.clear();
    auto now = simulation.now() + milliseconds{800};
    apply_start_result(state, start, command_result::unknown, now);
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_clock_ms = state.m_workers[0].m_clock_ms + 900;
    apply_report(state, 0, report, now + milliseconds{1}, now + milliseconds{2});
    state.m_term_guaranteed_until = now + milliseconds{500};
    expire_runs(state, now + milliseconds{3});
    ASSERT_EQ(state.m_stops.size(), 1U);
    dispatch(state, now + milliseconds{4});
    EXPECT_TRUE(state.m_starts.empty());
    apply_stop_result(state, state.m_stops.front(), command_result::accepted, now + milliseconds{5});
    apply_report(state, 0, report, now + milliseconds{6}, now + milliseconds{7});
    state.m_grant_limit = now + milliseconds{5'000};
    dispatch(state, now + milliseconds{200});
    ASSERT_EQ(state.m_starts.size(), 1U);
    EXPECT_GT(state.m_starts.front().m_run, start.m_run);
}

// Guards against a task that waits for as long as its worker responds to renewals, but to no start and no stop.
TEST(reports, a_start_without_a_response_ends_with_its_lease_although_no_stop_is_answered)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 2);
    const auto job = simulation.submit(make_long_running_job("orders", 1, 1));
    auto& state = simulation.m_state;
    // The first write opens the step, the second one stores the place of the run.
    simulation.dispatch_and_store(job);
    simulation.dispatch_and_store(job);
    ASSERT_EQ(state.m_starts.size(), 1U);
    const auto start = state.m_starts.front();
    state.m_starts.clear();
    const auto& worker = state.m_workers[static_cast<std::size_t>(start.m_worker)];
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_clock_ms = worker.m_clock_ms;
    record_start(state, start, state.m_token, worker.m_clock_ms + 1'000);
    const auto now = simulation.now() + milliseconds{800};
    apply_start_result(state, start, command_result::unknown, now);
    report.m_clock_ms += 1'090;
    apply_report(state, start.m_worker, report, now + milliseconds{1}, now + milliseconds{290});
    EXPECT_EQ(worker.m_runs.size(), 1U) << "the start may have been carried out when the report was made";
    report.m_clock_ms += 20;
    apply_report(state, start.m_worker, report, now + milliseconds{291}, now + milliseconds{310});
    EXPECT_TRUE(worker.m_runs.empty());
    state.m_jobs_current_at = now;
    state.m_workers_current_at = now;
    state.m_term_guaranteed_until = now + milliseconds{1'000};
    state.m_grant_limit = now + milliseconds{5'000};
    dispatch(state, now + milliseconds{311});
    apply_stored_progress(state, *find_job(state, job), progress_of(*find_job(state, job)));
    dispatch(state, now + milliseconds{312});
    ASSERT_EQ(state.m_starts.size(), 1U);
    EXPECT_GT(state.m_starts.front().m_run, start.m_run);
    EXPECT_NE(state.m_starts.front().m_worker, start.m_worker);
}

// Guards against a start that counts as lapsed although the worker lists its run.
TEST(reports, a_listed_run_outlasts_the_lease_of_its_start)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    const auto job = simulation.submit(make_long_running_job("orders", 1, 1));
    simulation.run_for(milliseconds{100});
    auto& worker = simulation.m_state.m_workers.front();
    ASSERT_EQ(worker.m_runs.size(), 1U);
    worker.m_runs.front().m_start_until_ms = worker.m_clock_ms;
    worker.m_runs.front().m_confirmed = false;
    worker.m_runs.front().m_no_response_since = simulation.now();
    simulation.run_for(milliseconds{500});
    EXPECT_EQ(worker.m_runs.size(), 1U);
    EXPECT_EQ(simulation.starts_of({job, 0, 0, 0}), 1);
}

// Guards against assuming that runs continue in a new incarnation of their worker.
TEST(reports, a_new_incarnation_of_a_worker_ends_its_runs)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    static_cast<void>(simulation.submit(make_job("orders", 2, 1'000, milliseconds{60'000})));
    simulation.run_for(milliseconds{100});
    auto& state = simulation.m_state;
    ASSERT_EQ(state.m_workers[0].m_runs.size(), 2U);
    worker_report report;
    report.m_incarnation_start_unix_ms = 2;
    report.m_clock_ms = 5;
    apply_report(state, 0, report, simulation.now(), simulation.now());
    EXPECT_TRUE(state.m_workers[0].m_runs.empty());
    EXPECT_EQ(state.m_workers[0].m_used.m_cpu, millicores{0});
}

// Guards against leases that outlast their expected end, as they are measured by the clock of an earlier incarnation.
TEST(reports, a_new_incarnation_of_a_worker_gets_leases_by_its_own_clock)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    auto& state = simulation.m_state;
    worker_report report;
    report.m_incarnation_start_unix_ms = 2;
    report.m_clock_ms = 5;
    apply_report(state, 0, report, simulation.now(), simulation.now());
    EXPECT_EQ(grant_lease(state, 0, simulation.now()), report.m_clock_ms + state.m_settings.m_worker_lease.count());
}

// Guards against a second run of a task while the first one goes on: the worker, cut off soon after it had started
// again, holds the lease of a call that was meant for its last incarnation, whose clock was far ahead.
TEST(reports, a_new_incarnation_holds_the_lease_of_a_call_sent_to_the_last_one)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    simulation.run_for(milliseconds{8'000});
    auto& state = simulation.m_state;
    const auto& worker = state.m_workers.front();
    ASSERT_GT(worker.m_lease_until_ms, state.m_settings.m_longest_lease.count());
    worker_report report;
    report.m_incarnation_start_unix_ms = 2;
    report.m_clock_ms = 5;
    apply_report(state, 0, report, simulation.now(), simulation.now());
    EXPECT_GE(lease_end(state, worker), simulation.now() + state.m_settings.m_longest_lease);
    // The lease that this incarnation is granted is not longer than usual.
    EXPECT_EQ(grant_lease(state, 0, simulation.now()), report.m_clock_ms + state.m_settings.m_worker_lease.count());
}

// Guards against reusing a run number after a restarted worker has carried out a delayed start of an earlier run.
TEST(reports, run_numbers_increase_after_an_earlier_run_is_adopted)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    const auto job = simulation.submit(make_job("orders", 1, 1'000, milliseconds{60'000}));
    simulation.run_for(milliseconds{100});
    auto& state = simulation.m_state;
    const task_ref task{job, 0, 0, 0};
    const auto last = find_task(state, task)->m_run;
    const run_number earlier{last.value() - 1};
    worker_report report;
    report.m_incarnation_start_unix_ms = 2;
    report.m_running.push_back({task, earlier, {}, 0, 0});
    apply_report(state, 0, report, simulation.now(), simulation.now());
    ASSERT_EQ(state.m_workers[0].m_runs.size(), 1U);
    report.m_running.clear();
    report.m_ended.push_back({1, task, earlier, run_end::failed, {}});
    report.m_token = fence_of(state, state.m_workers[0]);
    apply_report(state, 0, report, simulation.now(), simulation.now());
    simulation.list_leases();
    state.m_starts.clear();
    dispatch(state, simulation.now() + milliseconds{200});
    ASSERT_EQ(state.m_starts.size(), 1U);
    EXPECT_GT(state.m_starts.front().m_run, last);
}

// Guards against a job that is written, or accessed after its removal, because a run failed after the job had ended.
TEST(reports, a_failure_after_the_end_of_a_job_does_not_change_it)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 2);
    const auto id = simulation.submit(make_job("orders", 1, 1'000, milliseconds{60'000}));
    simulation.run_for(milliseconds{100});
    auto& state = simulation.m_state;
    auto& job = *find_job(state, id);
    ASSERT_EQ(find_task(state, {id, 0, 0, 0})->m_phase, task_phase::running);
    fail_job(state, job, simulation.now());
    simulation.run_for(milliseconds{20});
    ASSERT_FALSE(job.m_dirty);
    const auto run = find_task(state, {id, 0, 0, 0})->m_run;
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    // The end of an earlier run, of another worker than that of the current one.
    report.m_ended.push_back({1'000, {id, 0, 0, 0}, run_number{run.value() - 1}, run_end::failed, {}});
    const auto other = find_task(state, {id, 0, 0, 0})->m_worker == 0 ? 1 : 0;
    apply_report(state, other, report, simulation.now(), simulation.now());
    EXPECT_FALSE(job.m_dirty);
    EXPECT_EQ(state.m_workers[static_cast<std::size_t>(other)].m_unstored_ends.size(), 0U);
}

// Guards against passes that look at all workers of the term: with each move of a VM, another one has left for good.
TEST(reports, workers_that_left_and_hold_nothing_are_not_current)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    auto& state = simulation.m_state;
    ASSERT_EQ(state.m_current_workers.size(), 2U);
    const auto entry = state.m_workers.front().m_entry;
    unregister_worker(state, entry.m_id);
    expire_runs(state, simulation.now());
    EXPECT_EQ(state.m_current_workers.size(), 1U);
    register_worker(state, entry);
    register_worker(state, entry);
    EXPECT_EQ(state.m_current_workers.size(), 2U);
    EXPECT_EQ(state.m_workers.size(), 2U);
}

// Guards against a restart of tasks that a worker may still run although its entry has expired.
TEST(reports, a_worker_that_left_stays_current_while_it_may_hold_runs)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    static_cast<void>(simulation.submit(make_job("quotes", 1, 1'000, milliseconds{5'000})));
    simulation.run_for(milliseconds{200});
    auto& state = simulation.m_state;
    ASSERT_FALSE(state.m_workers.front().m_runs.empty());
    unregister_worker(state, state.m_workers.front().m_entry.m_id);
    expire_runs(state, simulation.now());
    EXPECT_EQ(state.m_current_workers.size(), 1U);
}

// Guards against restarting a task whose end is missing in the list, as a worker lists a limited number of ends.
TEST(reports, a_run_that_is_missing_in_an_incomplete_report_is_not_abandoned)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    const auto job = simulation.submit(make_job("quotes", 1, 1'000, milliseconds{5'000}));
    simulation.run_for(milliseconds{200});
    auto& state = simulation.m_state;
    const task_ref task{job, 0, 0, 0};
    const auto run = find_task(state, task)->m_run;
    const auto now = simulation.now() + milliseconds{10};
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_incomplete = true;
    apply_report(state, 0, report, now, now);
    dispatch(state, now);
    EXPECT_EQ(find_task(state, task)->m_phase, task_phase::running);
    EXPECT_TRUE(state.m_starts.empty());
    report.m_incomplete = false;
    report.m_ended.push_back({1, task, run, run_end::done, {}});
    apply_report(state, 0, report, now, now);
    EXPECT_EQ(find_job(state, job)->m_state, job_state::completed);
}

// Guards against runs that occupy a worker for good after an incomplete report.
TEST(reports, a_run_that_is_missing_in_a_complete_report_is_abandoned)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    static_cast<void>(simulation.submit(make_job("quotes", 1, 1'000, milliseconds{5'000})));
    simulation.run_for(milliseconds{200});
    auto& state = simulation.m_state;
    const auto now = simulation.now() + milliseconds{10};
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_incomplete = true;
    apply_report(state, 0, report, now, now);
    EXPECT_EQ(state.m_workers.front().m_runs.size(), 1U);
    report.m_incomplete = false;
    apply_report(state, 0, report, now, now);
    EXPECT_TRUE(state.m_workers.front().m_runs.empty());
}

// Guards against a run that is never stopped, as its worker left and held nothing before a start was carried out late.
TEST(reports, a_worker_that_left_is_current_again_when_it_reports_a_run)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    unregister_worker(state, state.m_workers.front().m_entry.m_id);
    expire_runs(state, simulation.now());
    ASSERT_TRUE(state.m_current_workers.empty());
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_clock_ms = state.m_workers.front().m_clock_ms;
    report.m_running.push_back({{job_id{"cancelled"}, 0, 0, 0}, run_number{1}, {}, 0, 0});
    apply_report(state, 0, report, simulation.now(), simulation.now());
    expire_runs(state, simulation.now());
    EXPECT_EQ(state.m_current_workers.size(), 1U);
    ASSERT_EQ(state.m_stops.size(), 1U);
    EXPECT_EQ(state.m_stops.front().m_worker, 0);
}

// Guards against lost runs of which the log does not tell why they count as ended, and by whose start they ran.
TEST(reports, a_lost_run_has_its_cause_and_the_known_end_of_its_lease)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    static_cast<void>(simulation.submit(make_long_running_job("quotes", 1, 1)));
    simulation.run_for(milliseconds{200});
    simulation.take_over();
    simulation.run_for(milliseconds{20});
    auto& state = simulation.m_state;
    const auto end = lease_end(state, state.m_workers.front());
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_clock_ms = state.m_workers.front().m_clock_ms;
    apply_report(state, 0, report, simulation.now(), simulation.now());
    ASSERT_EQ(state.m_events.size(), 1U);
    EXPECT_EQ(state.m_events.front().m_cause, lost_cause::missing_in_report);
    EXPECT_TRUE(state.m_events.front().m_adopted);
    EXPECT_EQ(state.m_events.front().m_lease_end, end);
}

// Guards against a second run of a task beside an adopted one, whose worker is cut off before it gets a lease of this
// term: an earlier decider may have granted it a full one just before.
TEST(reports, an_adopted_run_is_not_restarted_while_an_inherited_lease_may_run)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    const auto job = simulation.submit(make_long_running_job("quotes", 1, 1));
    simulation.run_for(milliseconds{200});
    const task_ref task{job, 0, 0, 0};
    ASSERT_EQ(simulation.starts_of(task), 1);
    const auto busy = simulation.worker("w1").m_runs.empty() ? "w2" : "w1";
    simulation.take_over();
    // As while relays are awaited, the first report comes without a lease.
    simulation.m_job_watch_up = false;
    simulation.run_for(milliseconds{10});
    const auto reported = simulation.now();
    const auto& settings = simulation.m_state.m_settings;
    ASSERT_TRUE(find_task(simulation.m_state, task)->m_phase == task_phase::running);
    simulation.m_job_watch_up = true;
    simulation.worker(busy).m_reachable = false;
    simulation.run_for(settings.m_worker_lease);
    EXPECT_EQ(simulation.starts_of(task), 1) << "started again while the first run may have a lease";
    simulation.run_for(settings.m_worker_lease / 10);
    EXPECT_EQ(simulation.starts_of(task), 2)
        << "not started again " << (simulation.now() - reported).count() / 1'000 << " ms after the last report";
}

// Guards against a list of leased workers without one that has reported in this term and has no lease of it yet: the
// next decider would not wait for it.
TEST(reports, a_worker_counts_as_leased_from_its_first_report_on)
{
    scheduler_simulation simulation;
    simulation.add_vms("quotes", 1);
    auto& state = simulation.m_state;
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_clock_ms = 5;
    apply_report(state, 0, report, simulation.now(), simulation.now());
    const auto& worker = state.m_workers.front();
    EXPECT_TRUE(has_lease(state, worker, simulation.now() + state.m_settings.m_worker_lease));
    EXPECT_EQ(worker.m_lease_until_ms, 0) << "an inherited lease must not be sent";
}

// Guards against waiting for leases that no earlier decider can have granted.
TEST(reports, no_lease_is_inherited_after_all_leases_of_earlier_terms_have_ended)
{
    scheduler_simulation simulation;
    simulation.add_vms("quotes", 1);
    auto& state = simulation.m_state;
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_clock_ms = 5;
    report.m_incarnation_age = milliseconds{100'000};
    const auto later = inherited_leases_end(state);
    apply_report(state, 0, report, later, later);
    EXPECT_FALSE(has_lease(state, state.m_workers.front(), later));
}

// Guards against a second run of a task beside a start that had no response and is carried out late, by the next
// incarnation of its worker.
TEST(reports, a_start_without_a_response_is_stopped_at_a_new_incarnation_before_the_task_restarts)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    const auto job = simulation.submit(make_job("orders", 1, 1'000, milliseconds{300}));
    auto& state = simulation.m_state;
    dispatch(state, simulation.now());
    apply_stored_progress(state, *find_job(state, job), progress_of(*find_job(state, job)));
    dispatch(state, simulation.now());
    ASSERT_EQ(state.m_starts.size(), 1U);
    const auto start = state.m_starts.front();
    state.m_starts.clear();
    auto now = simulation.now() + milliseconds{100};
    apply_start_result(state, start, command_result::unknown, now);
    worker_report report;
    report.m_incarnation_start_unix_ms = 2;
    report.m_clock_ms = 5;
    now += milliseconds{100};
    state.m_term_guaranteed_until = now + milliseconds{500};
    apply_report(state, 0, report, now, now);
    expire_runs(state, now);
    EXPECT_EQ(state.m_stops.size(), 1U) << "the new incarnation was not told to reject the start";
    dispatch(state, now);
    EXPECT_TRUE(state.m_starts.empty()) << "the task was started again while its start may be carried out";
    apply_stop_result(state, {0, start.m_task, start.m_run}, command_result::accepted, now);
    report.m_clock_ms += 10;
    report.m_token = fence_of(state, state.m_workers[0]);
    now += milliseconds{10};
    apply_report(state, 0, report, now, now);
    simulation.list_leases();
    // The start may have crashed the worker: its task restarts in a trial, which is stored first.
    dispatch(state, now);
    EXPECT_TRUE(state.m_starts.empty());
    apply_stored_progress(state, *find_job(state, job), progress_of(*find_job(state, job)));
    dispatch(state, now);
    EXPECT_EQ(state.m_starts.size(), 1U);
}

// Guards against a second run of a task whose start the new incarnation of its worker has accepted after it was polled.
TEST(reports, a_start_that_a_new_incarnation_accepts_after_its_first_poll_is_kept)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    const auto job = simulation.submit(make_job("orders", 1, 1'000, milliseconds{60'000}));
    simulation.run_for(milliseconds{100});
    auto& state = simulation.m_state;
    const task_ref task{job, 0, 0, 0};
    ASSERT_EQ(find_task(state, task)->m_phase, task_phase::running);
    const auto accepted = state.m_workers.front().m_runs.front().m_sent;
    worker_report report;
    report.m_incarnation_start_unix_ms = 2;
    report.m_clock_ms = 5;
    apply_report(state, 0, report, accepted - milliseconds{1}, simulation.now());
    EXPECT_EQ(find_task(state, task)->m_phase, task_phase::running);
    EXPECT_TRUE(find_task(state, task)->m_crashed_runs.empty());
    // A later poll settles it.
    const auto later = simulation.now() + milliseconds{10};
    apply_report(state, 0, report, later, later);
    EXPECT_EQ(find_task(state, task)->m_phase, task_phase::waiting);
}

// Guards against one start after the other on a worker that refuses them, as they take too long to reach it.
TEST(reports, a_worker_that_refuses_a_late_start_is_paused)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    const auto job = simulation.submit(make_job("orders", 1, 1'000, milliseconds{300}));
    auto& state = simulation.m_state;
    dispatch(state, simulation.now());
    apply_stored_progress(state, *find_job(state, job), progress_of(*find_job(state, job)));
    dispatch(state, simulation.now());
    ASSERT_EQ(state.m_starts.size(), 1U);
    const auto start = state.m_starts.front();
    state.m_starts.clear();
    apply_start_result(state, start, command_result::lease_expired, simulation.now());
    EXPECT_GT(state.m_workers.front().m_paused_until, simulation.now());
}

// Guards against a worker whose reports are ignored for the rest of the term because its clock was set back before it
// started again: its runs were never restarted, and it got no more work.
TEST(reports, an_incarnation_with_an_earlier_start_time_is_a_new_one)
{
    scheduler_simulation simulation;
    auto& worker = simulation.worker("w1");
    worker.m_incarnation = 5;
    simulation.begin_with("quotes", 1);
    const auto job = simulation.submit(make_long_running_job("quotes", 1, 1));
    simulation.run_for(milliseconds{200});
    ASSERT_EQ(simulation.starts_of({job, 0, 0, 0}), 1);
    worker.m_runs.clear();
    worker.m_incarnation = 3;
    simulation.run_for(milliseconds{500});
    EXPECT_EQ(simulation.starts_of({job, 0, 0, 0}), 2);
    EXPECT_EQ(worker.m_runs.size(), 1U);
    simulation.run_for(milliseconds{5'000});
    EXPECT_EQ(simulation.starts_of({job, 0, 0, 0}), 2) << "the run of the new incarnation is kept";
}

// Guards against a task that is never started because its step counts too few waiting tasks, after two workers have
// reported the same run of another one.
TEST(reports, a_run_that_two_workers_report_leaves_the_count_of_waiting_tasks)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 2);
    const auto job = simulation.submit(make_long_running_job("orders", 2, 1));
    simulation.run_for(milliseconds{100});
    const auto first = simulation.worker("w1").m_runs.front();
    simulation.worker("w2").m_runs.push_back(first);
    simulation.run_for(milliseconds{10});
    EXPECT_EQ(simulation.worker("w2").m_runs.size(), 1U) << "the second copy is stopped";
    simulation.fail_runs(worker_id{"w2"});
    simulation.run_for(milliseconds{1'500});
    EXPECT_EQ(simulation.worker("w1").m_runs.size() + simulation.worker("w2").m_runs.size(), 2U);
    EXPECT_EQ(find_step(*find_job(simulation.m_state, job), {job, 0, 0, 0})->m_waiting, 0U);
}

// Guards against a wait for leases that have ended while the jobs were read, which takes seconds with thousands of
// them.
TEST(reports, inherited_leases_are_measured_from_the_election)
{
    scheduler_state state;
    state.m_began = time_point{milliseconds{10'000}};
    const auto without = inherited_leases_end(state);
    state.m_elected = state.m_began - milliseconds{3'000};
    EXPECT_EQ(inherited_leases_end(state), without - milliseconds{3'000});
}

} // namespace cicadalug::test
