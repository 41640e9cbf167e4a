#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/end_acknowledgement.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against done tasks that a successor runs again: an end was acknowledged as other jobs had been stored.
TEST(end_acknowledgement, an_end_is_acknowledged_only_when_the_progress_of_its_job_is_stored)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 2);
    const auto stored = simulation.submit(make_job("orders", 2, 1'000, milliseconds{300}));
    const auto refused = simulation.submit(make_job("orders", 1, 1'000, milliseconds{300}));
    simulation.run_for(milliseconds{10});
    simulation.m_store_up = false;
    auto& state = simulation.m_state;
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_ended.push_back({55, {stored, 0, 0, 0}, run_number{1}, run_end::done, {}});
    report.m_ended.push_back({56, {refused, 0, 0, 0}, run_number{1}, run_end::done, {}});
    report.m_ended.push_back({57, {job_id{"removed"}, 0, 0, 0}, run_number{1}, run_end::done, {}});
    apply_report(state, 0, report, simulation.now(), simulation.now());
    report.m_ended = {{7, {stored, 0, 0, 1}, run_number{1}, run_end::done, {}}};
    apply_report(state, 1, report, simulation.now(), simulation.now());
    acknowledge_ends(state);
    EXPECT_EQ(state.m_workers[0].m_acknowledged_end, 54);
    EXPECT_EQ(state.m_workers[1].m_acknowledged_end, 6);

    apply_stored_progress(state, *find_job(state, stored), progress_of(*find_job(state, stored)));
    acknowledge_ends(state);
    EXPECT_EQ(state.m_workers[0].m_acknowledged_end, 55);
    EXPECT_EQ(state.m_workers[1].m_acknowledged_end, 7) << "no end of the other job holds it back";

    apply_stored_progress(state, *find_job(state, refused), progress_of(*find_job(state, refused)));
    acknowledge_ends(state);
    EXPECT_EQ(state.m_workers[0].m_acknowledged_end, 57);
}

// Guards against an end that is acknowledged with a write that began before it was reported.
TEST(end_acknowledgement, an_end_is_not_acknowledged_by_a_write_that_began_before_it)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    const auto id = simulation.submit(make_job("orders", 3, 1'000, milliseconds{300}));
    simulation.run_for(milliseconds{10});
    simulation.m_store_up = false;
    auto& state = simulation.m_state;
    auto& job = *find_job(state, id);
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_ended.push_back({1, {id, 0, 0, 0}, run_number{1}, run_end::done, {}});
    apply_report(state, 0, report, simulation.now(), simulation.now());
    const auto written = progress_of(job);
    report.m_ended = {{2, {id, 0, 0, 1}, run_number{1}, run_end::done, {}}};
    apply_report(state, 0, report, simulation.now(), simulation.now());
    apply_stored_progress(state, job, written);
    acknowledge_ends(state);
    EXPECT_EQ(state.m_workers[0].m_acknowledged_end, 1);
}

// Guards against an end that a successor needs: a failed job ignores it, and the failure itself is not stored yet.
TEST(end_acknowledgement, an_end_without_effect_waits_for_the_state_that_made_it_so)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 2);
    const auto id = simulation.submit(make_job("orders", 2, 1'000, milliseconds{300}));
    simulation.run_for(milliseconds{10});
    simulation.m_store_up = false;
    auto& state = simulation.m_state;
    auto& job = *find_job(state, id);
    fail_job(state, job, simulation.now());
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_ended.push_back({1, {id, 0, 0, 1}, run_number{1}, run_end::done, {}});
    apply_report(state, 0, report, simulation.now(), simulation.now());
    acknowledge_ends(state);
    EXPECT_EQ(state.m_workers[0].m_acknowledged_end, 0);
    apply_stored_progress(state, job, progress_of(job));
    acknowledge_ends(state);
    EXPECT_EQ(state.m_workers[0].m_acknowledged_end, 1);
}

// Guards against losing an end that is not stored, as the last incarnation of its worker had reported a higher number.
TEST(end_acknowledgement, ends_of_a_new_incarnation_are_not_acknowledged_with_the_numbers_of_the_last_one)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 2);
    const auto id = simulation.submit(make_job("orders", 3, 1'000, milliseconds{300}));
    simulation.run_for(milliseconds{10});
    simulation.m_store_up = false;
    auto& state = simulation.m_state;
    auto& job = *find_job(state, id);
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    report.m_ended.push_back({57, {id, 0, 0, 0}, run_number{1}, run_end::done, {}});
    apply_report(state, 0, report, simulation.now(), simulation.now());
    report.m_ended.front().m_task.m_index = 1;
    apply_report(state, 1, report, simulation.now(), simulation.now());
    const auto written = progress_of(job);
    report.m_incarnation_start_unix_ms = 2;
    report.m_ended = {{1, {id, 0, 0, 2}, run_number{1}, run_end::done, {}}};
    apply_report(state, 0, report, simulation.now(), simulation.now());
    apply_stored_progress(state, job, written);
    acknowledge_ends(state);
    EXPECT_EQ(state.m_workers[0].m_acknowledged_end, 0);
    EXPECT_EQ(state.m_workers[1].m_acknowledged_end, 57);
    apply_stored_progress(state, job, progress_of(job));
    acknowledge_ends(state);
    EXPECT_EQ(state.m_workers[0].m_acknowledged_end, 1);
}

// Guards against renewals that acknowledge ends which the worker has forgotten: the next incarnation, which one of them
// reaches late, forgets ends with the same numbers.
TEST(end_acknowledgement, an_end_is_acknowledged_until_the_response_confirms_it)
{
    worker_slot worker;
    worker.m_incarnation_start_unix_ms = 1;
    EXPECT_EQ(unconfirmed_acknowledgement(worker), 0);
    worker.m_acknowledged_end = 57;
    EXPECT_EQ(unconfirmed_acknowledgement(worker), 57);
    confirm_acknowledgement(worker, 1, 55);
    EXPECT_EQ(unconfirmed_acknowledgement(worker), 57);
    confirm_acknowledgement(worker, 1, 57);
    EXPECT_EQ(unconfirmed_acknowledgement(worker), 0);
}

// Guards against ends that are never acknowledged: the response to the acknowledgement came from the next incarnation.
TEST(end_acknowledgement, another_incarnation_confirms_nothing)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 1);
    auto& state = simulation.m_state;
    auto& worker = state.m_workers[0];
    const auto called = worker.m_incarnation_start_unix_ms;
    worker.m_confirmed_end = 57;
    worker_report report;
    report.m_incarnation_start_unix_ms = called + 1;
    apply_report(state, 0, report, simulation.now(), simulation.now());
    confirm_acknowledgement(worker, called, 57);
    worker.m_acknowledged_end = 3;
    EXPECT_EQ(unconfirmed_acknowledgement(worker), 3);
}

} // namespace cicadalug::test
