#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

/** @brief Lets the only worker of a simulation restart and answer a call with its raised token. */
auto restart(scheduler_simulation& simulation) -> void
{
    auto& state = simulation.m_state;
    worker_report report;
    report.m_incarnation_start_unix_ms = 2;
    report.m_clock_ms = 5;
    apply_report(state, 0, report, simulation.now(), simulation.now());
    report.m_token = fence_of(state, state.m_workers[0]);
    apply_report(state, 0, report, simulation.now(), simulation.now());
}

} // namespace

// Guards against a second run of a task whose worker the next decider does not wait for: its entry has expired, and it
// is not in the stored list of workers with leases.
TEST(leased_workers, no_task_starts_on_a_worker_that_is_not_in_the_stored_list)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    static_cast<void>(simulation.submit(make_job("quotes", 2, 30'000, milliseconds{60'000})));
    simulation.run_for(milliseconds{200});
    ASSERT_EQ(simulation.total_starts(), 1) << "the second task does not fit";
    simulation.m_store_up = false;
    simulation.add_vms("quotes", 1);
    simulation.run_for(milliseconds{200});
    EXPECT_EQ(simulation.total_starts(), 1) << "started on a worker that is not in the stored list";
    EXPECT_TRUE(has_unlisted_lease(simulation.m_state, simulation.now()));
    simulation.m_store_up = true;
    simulation.run_for(milliseconds{20});
    EXPECT_EQ(simulation.total_starts(), 2);
    EXPECT_FALSE(has_unlisted_lease(simulation.m_state, simulation.now()));
}

// Guards against a second run of a task by a successor that cannot reach the worker of the first one, and does not know
// that it has restarted: a write from before the restart says nothing about the new incarnation.
TEST(leased_workers, no_task_starts_on_a_restarted_worker_that_is_not_listed_as_such)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    const auto in_flight = begin_lease_list(state, simulation.now());
    restart(simulation);
    complete_lease_list(state, in_flight);
    EXPECT_TRUE(has_unlisted_lease(state, simulation.now()));
    EXPECT_EQ(find_obstacle(state.m_workers[0], simulation.now()), worker_obstacle::lease_not_stored);
    const auto listed = begin_lease_list(state, simulation.now());
    const auto restarted = restarted_workers(state, listed, simulation.now());
    ASSERT_EQ(restarted.size(), 1U);
    EXPECT_GE(restarted.begin()->second, state.m_settings.m_longest_lease);
    complete_lease_list(state, listed);
    EXPECT_FALSE(has_unlisted_lease(state, simulation.now()));
    EXPECT_EQ(find_obstacle(state.m_workers[0], simulation.now()), worker_obstacle::none);
}

// Guards against a successor that waits for the stale lease of a worker although it has ended.
TEST(leased_workers, a_list_with_ended_stale_leases_is_out_of_date)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    restart(simulation);
    simulation.list_leases();
    EXPECT_FALSE(has_ended_lease_in_list(state, simulation.now()));
    state.m_workers[0].m_stale_until_ms = 0;
    EXPECT_TRUE(has_ended_lease_in_list(state, simulation.now()));
    EXPECT_TRUE(restarted_workers(state, begin_lease_list(state, simulation.now()), simulation.now()).empty());
}

// Guards against a second run of a task whose worker the successor cannot reach, and against a wait for workers that
// have not restarted: it would keep tasks of workers that are lost for good from running.
TEST(leased_workers, a_successor_waits_longer_for_restarted_workers_only)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    state.m_expected_workers = {worker_id{"gone"}, worker_id{"restarted"}};
    const service_id service{"quotes"};
    const auto end = inherited_leases_end(state);
    const auto restarted_end = state.m_began + milliseconds{8'000};
    state.m_expected_leases[worker_id{"restarted"}].m_stale_end = restarted_end;
    state.m_term_guaranteed_until = restarted_end + milliseconds{1'000};
    EXPECT_EQ(awaited_workers(state, end - milliseconds{1}).size(), 2U);
    EXPECT_EQ(awaited_workers(state, end), std::vector{worker_id{"restarted"}});
    EXPECT_FALSE(is_recovered(state, service, end + milliseconds{1}));
    const auto passed_on = restarted_workers(state, {}, end);
    ASSERT_EQ(passed_on.size(), 1U) << "the next decider has to wait, too";
    EXPECT_GE(end + passed_on.begin()->second, restarted_end);
    EXPECT_FALSE(is_recovered(state, service, restarted_end));
    EXPECT_TRUE(is_recovered(state, service, restarted_end + milliseconds{500}));
    state.m_expected_workers.erase(worker_id{"restarted"});
    EXPECT_TRUE(is_recovered(state, service, end + milliseconds{1}));
}

// Guards against tasks of a whole service that do not run for 22 s (LOST), as a worker restarted and was lost for good
// around a takeover: a worker whose entry is missing counts as gone.
TEST(leased_workers, a_successor_does_not_wait_longer_for_a_restarted_worker_whose_entry_has_ended)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    simulation.list_leases();
    simulation.take_over();
    auto& state = simulation.m_state;
    auto entry = state.m_workers[0].m_entry;
    ++entry.m_incarnation_start_unix_ms;
    entry.m_incarnation_start_unix_ms += state.m_expected_incarnations[entry.m_id];
    register_worker(state, entry);
    const auto end = expected_lease_end(state, entry.m_id);
    EXPECT_GT(end, inherited_leases_end(state));
    unregister_worker(state, entry.m_id);
    EXPECT_EQ(expected_lease_end(state, entry.m_id), inherited_leases_end(state));
    register_worker(state, entry);
    EXPECT_EQ(expected_lease_end(state, entry.m_id), end);
}

// Guards against a second run of a task that an incarnation carries out of which no decider has heard: it is
// registered, and its worker is cut off. Workers whose incarnation has not changed are not waited for any longer.
TEST(leased_workers, a_successor_waits_longer_for_a_worker_that_is_registered_with_another_incarnation)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    simulation.list_leases();
    simulation.take_over();
    auto& state = simulation.m_state;
    ASSERT_EQ(state.m_expected_incarnations.size(), 2U);
    const auto id = state.m_workers[0].m_entry.m_id;
    const auto other_id = state.m_workers[1].m_entry.m_id;
    auto entry = state.m_workers[0].m_entry;
    entry.m_incarnation_start_unix_ms = state.m_expected_incarnations[id];
    register_worker(state, entry);
    EXPECT_EQ(expected_lease_end(state, id), inherited_leases_end(state));
    ++entry.m_incarnation_start_unix_ms;
    register_worker(state, entry);
    const auto end = expected_lease_end(state, id);
    EXPECT_GE(end, state.m_began + state.m_settings.m_late_call_time + state.m_settings.m_longest_lease);
    EXPECT_EQ(expected_lease_end(state, other_id), inherited_leases_end(state));
    const service_id service{"quotes"};
    state.m_term_guaranteed_until = end + milliseconds{1'000};
    EXPECT_FALSE(is_recovered(state, service, end));
    EXPECT_TRUE(is_recovered(state, service, end + milliseconds{1}));
}

// Guards against a task that does not run while deciders change (LOST): each of them waits anew for a restart that the
// first one has seen. It lists the end of the wait.
TEST(leased_workers, the_wait_for_a_restarted_worker_is_not_prolonged_by_a_takeover)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    simulation.list_leases();
    simulation.take_over();
    auto& state = simulation.m_state;
    auto entry = state.m_workers[0].m_entry;
    entry.m_incarnation_start_unix_ms = state.m_expected_incarnations[entry.m_id] + 1;
    EXPECT_FALSE(has_unlisted_end(state, simulation.now()));
    register_worker(state, entry);
    EXPECT_TRUE(has_unlisted_end(state, simulation.now()));
    const auto end = expected_lease_end(state, entry.m_id);
    simulation.worker(entry.m_id.str()).m_reachable = false;
    simulation.run_for(milliseconds{3'000});
    simulation.list_leases();
    EXPECT_FALSE(has_unlisted_end(state, simulation.now()));
    simulation.take_over();
    register_worker(state, entry);
    const auto& margin = state.m_settings.m_lease_margin;
    EXPECT_GE(expected_lease_end(state, entry.m_id), end);
    EXPECT_LE(expected_lease_end(state, entry.m_id), end + margin + milliseconds{1});
}

// Guards against a successor of a successor that takes the incarnation of a worker which neither has reached for the
// one that was called.
TEST(leased_workers, the_called_incarnations_of_expected_workers_are_listed_with_them)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    simulation.list_leases();
    simulation.take_over();
    auto& state = simulation.m_state;
    const auto called = state.m_expected_incarnations;
    ASSERT_EQ(called.size(), 2U);
    EXPECT_EQ(incarnations_of_listed_workers(state, {}, simulation.now()), called);
    EXPECT_TRUE(incarnations_of_listed_workers(state, {}, inherited_leases_end(state)).empty());
}

// Guards against a successor that waits for late calls of which this decider has taken account already: the list names
// the incarnation of which the decider has heard last, by an entry or by a report that is newer than the entry.
TEST(leased_workers, the_list_names_the_incarnation_that_was_heard_of_last)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    auto& worker = state.m_workers[0];
    auto entry = worker.m_entry;
    entry.m_incarnation_start_unix_ms = 1;
    register_worker(state, entry);
    restart(simulation);
    const std::vector<worker_index> leased{0};
    EXPECT_EQ(incarnations_of_listed_workers(state, leased, simulation.now()).at(entry.m_id), 2);
    entry.m_incarnation_start_unix_ms = 3;
    register_worker(state, entry);
    EXPECT_EQ(incarnations_of_listed_workers(state, leased, simulation.now()).at(entry.m_id), 3);
}

// Guards against a wait for late calls to an incarnation that the last decider has called: the list of incarnations is
// written less often than the bounds.
TEST(leased_workers, the_bounds_name_the_incarnation_of_a_restarted_worker)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    const auto id = state.m_workers[0].m_entry.m_id;
    restart(simulation);
    const auto bounds = lease_bounds_of(state, begin_lease_list(state, simulation.now()), simulation.now());
    scheduler_state successor;
    successor.m_expected_workers = {id};
    successor.m_expected_incarnations[id] = 1;
    inherit_lease_bounds(successor, bounds, simulation.now());
    EXPECT_EQ(successor.m_expected_incarnations[id], 2);
    EXPECT_TRUE(is_settled(successor, id));
    EXPECT_GT(expected_lease_end(successor, id), simulation.now());
}

// Guards against a second run of a task on an incarnation that the last decider knew from its entry only: late calls to
// the one before may still bring it the longest lease.
TEST(leased_workers, an_incarnation_that_has_not_answered_is_not_settled)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    auto entry = state.m_workers[0].m_entry;
    entry.m_incarnation_start_unix_ms = 1;
    register_worker(state, entry);
    simulation.run_for(milliseconds{50});
    ASSERT_TRUE(lease_bounds_of(state, begin_lease_list(state, simulation.now()), simulation.now()).m_leases.empty());
    entry.m_incarnation_start_unix_ms = 2;
    register_worker(state, entry);
    const auto bounds = lease_bounds_of(state, begin_lease_list(state, simulation.now()), simulation.now());
    ASSERT_EQ(bounds.m_leases.size(), 1U);
    EXPECT_FALSE(bounds.m_leases.at(entry.m_id).m_settled);
}

// Guards against counting a worker as listed after a write without it, which may be carried out without a response.
TEST(leased_workers, a_worker_left_out_of_a_list_does_not_count_as_listed)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    auto& state = simulation.m_state;
    ASSERT_TRUE(state.m_workers[0].m_lease_listed);
    state.m_workers[0].m_lease_until_ms = 0;
    state.m_workers[0].m_inherited_until_ms = 0;
    const auto listed = begin_lease_list(state, simulation.now());
    EXPECT_EQ(listed, std::vector<worker_index>{1});
    EXPECT_FALSE(state.m_workers[0].m_lease_listed);
    EXPECT_TRUE(state.m_workers[1].m_lease_listed);
}

// Guards against a decider that waits for workers which left long before its term: a list that is only written beside
// progress of jobs keeps naming them.
TEST(leased_workers, a_list_with_ended_leases_is_out_of_date)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    auto& state = simulation.m_state;
    EXPECT_FALSE(has_ended_lease_in_list(state, simulation.now()));
    simulation.m_store_up = false;
    simulation.worker("w2").m_reachable = false;
    simulation.run_for(milliseconds{3'000});
    EXPECT_FALSE(has_ended_lease_in_list(state, simulation.now()));
    simulation.run_for(milliseconds{1'000});
    EXPECT_TRUE(has_ended_lease_in_list(state, simulation.now()));
    complete_lease_list(state, begin_lease_list(state, simulation.now()));
    EXPECT_FALSE(has_ended_lease_in_list(state, simulation.now()));
}

// Guards against a list that keeps naming workers which a decider found in it and which never reported.
TEST(leased_workers, a_list_with_expected_workers_is_out_of_date_when_all_inherited_leases_have_ended)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    state.m_expected_workers.insert(worker_id{"gone"});
    state.m_expected_listed = true;
    EXPECT_TRUE(are_expected_workers_listed(state, simulation.now()));
    EXPECT_FALSE(has_ended_lease_in_list(state, simulation.now()));
    simulation.run_for(milliseconds{6'000});
    EXPECT_FALSE(are_expected_workers_listed(state, simulation.now()));
    EXPECT_TRUE(has_ended_lease_in_list(state, simulation.now()));
    state.m_expected_listed = false;
    EXPECT_FALSE(has_ended_lease_in_list(state, simulation.now()));
}

// Guards against a wait of seconds after each takeover for workers that have been replaced on their VMs.
TEST(leased_workers, a_takeover_does_not_wait_for_a_worker_whose_successor_on_its_vm_has_reported)
{
    scheduler_simulation simulation;
    simulation.m_restart_time = milliseconds{300};
    simulation.begin_with("quotes", 2);
    const auto job = simulation.submit(make_long_running_job("quotes", 2, 1));
    simulation.run_for(milliseconds{200});
    ASSERT_EQ(simulation.total_starts(), 2);
    simulation.crash(worker_id{"w2"});
    simulation.run_for(milliseconds{20});
    simulation.take_over();
    ASSERT_EQ(count_expected_workers(simulation.m_state, service_id{"quotes"}), 2);
    simulation.run_for(milliseconds{100});
    EXPECT_EQ(count_expected_workers(simulation.m_state, service_id{"quotes"}), 1);
    EXPECT_EQ(simulation.total_starts(), 2);
    simulation.run_for(milliseconds{400});
    EXPECT_EQ(count_expected_workers(simulation.m_state, service_id{"quotes"}), 0);
    EXPECT_EQ(simulation.total_starts(), 3);
}

// Guards against a second run of a task whose worker may still hold the first one: another VM says nothing about it.
TEST(leased_workers, only_a_report_from_its_vm_ends_the_wait_for_a_worker)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    auto& state = simulation.m_state;
    state.m_expected_workers = {worker_id{"gone"}, worker_id{"unknown"}, worker_id{"w1"}};
    state.m_expected_vms = {{worker_id{"gone"}, vm_id{"vm9"}}, {worker_id{"w1"}, state.m_workers[0].m_entry.m_vm}};
    drop_replaced_workers(state, state.m_workers[1]);
    EXPECT_EQ(state.m_expected_workers.size(), 3U);
    auto replacement = state.m_workers[1];
    replacement.m_entry.m_vm = vm_id{};
    drop_replaced_workers(state, replacement);
    EXPECT_EQ(state.m_expected_workers.size(), 3U);
    replacement.m_entry.m_vm = vm_id{"vm9"};
    drop_replaced_workers(state, replacement);
    EXPECT_EQ(state.m_expected_workers, (std::set{worker_id{"unknown"}, worker_id{"w1"}}));
}

// Guards against a successor that does not know the VMs of workers for which this decider still waits itself.
TEST(leased_workers, the_vms_of_expected_workers_are_listed_with_them)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    state.m_expected_workers = {worker_id{"gone"}};
    state.m_expected_vms = {{worker_id{"gone"}, vm_id{"vm9"}}};
    const auto leased = begin_lease_list(state, simulation.now());
    const auto& entry = state.m_workers[0].m_entry;
    EXPECT_EQ(vms_of_listed_workers(state, leased, false), (std::map{std::pair{entry.m_id, entry.m_vm}}));
    EXPECT_EQ(vms_of_listed_workers(state, leased, true).size(), 2U);
}

} // namespace cicadalug::test
