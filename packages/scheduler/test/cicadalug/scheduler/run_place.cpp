#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/crash_suspicion.hpp>
#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/run_place.hpp>

#include <gtest/gtest.h>

#include <cstddef>
#include <functional>
#include <utility>

namespace cicadalug::test {

namespace {

/** @brief Two workers, and a long-running job of one task whose step is open. */
class run_place_test : public ::testing::Test {
protected:
    run_place_test()
    {
        m_simulation.begin_with("quotes", 2);
        m_job = m_simulation.submit(make_long_running_job("quotes", 1, 1));
        m_simulation.dispatch_and_store(m_job);
    }

    [[nodiscard]] auto state() -> scheduler_state& { return m_simulation.m_state; }
    [[nodiscard]] auto task() -> task_state& { return *find_task(state(), {m_job, 0, 0, 0}); }
    [[nodiscard]] auto stored() -> job_progress { return progress_of(*find_job(state(), m_job)); }
    auto store() -> void { apply_stored_progress(state(), *find_job(state(), m_job), stored()); }

    scheduler_simulation m_simulation;
    job_id m_job;
};

/** @brief Counts the starts that are sent when a place is stored, after a change of the worker since the decision. */
[[nodiscard]] auto starts_after(const std::function<void(worker_slot&, time_point)>& change) -> std::size_t
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    static_cast<void>(simulation.submit(make_long_running_job("quotes", 1, 1)));
    simulation.m_store_interval = milliseconds{200};
    for (int step = 0; step < 100 && state.m_held_starts.empty(); ++step) {
        simulation.run_for(milliseconds{10});
    }
    EXPECT_EQ(state.m_held_starts.size(), 1U);
    change(state.m_workers[0], simulation.now());
    for (auto* job : std::exchange(state.m_dirty, {})) {
        job->m_dirty = false;
        apply_stored_progress(state, *job, progress_of(*job));
    }
    dispatch(state, simulation.now());
    return state.m_starts.size();
}

} // namespace

// Guards against a second run of a task on a worker of which a successor does not know: it waits for the stored worker
// only.
TEST_F(run_place_test, no_run_is_started_before_its_worker_is_stored)
{
    EXPECT_TRUE(state().m_starts.empty());
    ASSERT_EQ(task().m_phase, task_phase::starting);
    const auto worker = state().m_workers[static_cast<std::size_t>(task().m_worker)].m_entry.m_id;
    ASSERT_EQ(stored().m_places.size(), 1U);
    EXPECT_EQ(stored().m_places.front().m_worker, worker);
    dispatch(state(), m_simulation.now());
    EXPECT_TRUE(state().m_starts.empty());
    store();
    dispatch(state(), m_simulation.now());
    ASSERT_EQ(state().m_starts.size(), 1U);
    EXPECT_TRUE(state().m_held_starts.empty());
}

// Guards against a task that waits for a start which was never sent, because its worker was lost before the write.
TEST_F(run_place_test, a_held_start_ends_with_the_lease_of_its_worker)
{
    const auto run = task().m_run;
    const auto& worker = state().m_workers[static_cast<std::size_t>(task().m_worker)];
    const auto end = lease_end(state(), worker);
    state().m_term_guaranteed_until = end + milliseconds{1'000};
    state().m_grant_limit = end + milliseconds{5'000};
    state().m_jobs_current_at = end;
    state().m_workers_current_at = end;
    expire_runs(state(), end + milliseconds{10});
    EXPECT_EQ(task().m_phase, task_phase::waiting);
    store();
    dispatch(state(), end + milliseconds{20});
    EXPECT_TRUE(state().m_starts.empty()) << "the start of a run that has ended";
    for (const auto& command : state().m_held_starts) {
        EXPECT_GT(command.m_run, run);
    }
}

// Guards against a task that counts as a cause of a crash although its start was never sent.
TEST_F(run_place_test, a_held_start_is_not_suspected_of_a_crash)
{
    EXPECT_TRUE(find_crash_suspects(state(), task().m_worker).empty());
    store();
    dispatch(state(), m_simulation.now());
    EXPECT_EQ(find_crash_suspects(state(), task().m_worker).size(), 1U);
}

// Guards against a task that waits for a worker on which it cannot run.
TEST_F(run_place_test, a_successor_waits_for_the_stored_worker_only)
{
    m_simulation.run_for(milliseconds{200});
    ASSERT_EQ(m_simulation.total_starts(), 1);
    const auto place = task().m_place.value_or(run_place{}).m_worker;
    ASSERT_TRUE(m_simulation.worker(place.str()).m_alive);
    m_simulation.take_over();
    ASSERT_TRUE(task().m_place);
    EXPECT_TRUE(may_run_unseen(state(), task(), m_simulation.now()));
    EXPECT_FALSE(is_recovered(state(), service_id{"quotes"}, m_simulation.now()));
    state().m_expected_workers.erase(place);
    EXPECT_FALSE(may_run_unseen(state(), task(), m_simulation.now()));
    EXPECT_FALSE(is_recovered(state(), service_id{"quotes"}, m_simulation.now()));
}

// Guards against a second run of a task that a decider of an earlier version, which stores no places, has started
// elsewhere.
TEST_F(run_place_test, a_place_from_before_a_decider_without_places_is_ignored)
{
    auto progress = stored();
    ASSERT_EQ(progress.m_places.size(), 1U);
    task().m_place.reset();
    state().m_places_since = fencing_token{progress.m_places.front().m_token.value() + 1};
    restore_places(state(), *find_job(state(), m_job), progress.m_places);
    EXPECT_FALSE(task().m_place);
    EXPECT_TRUE(may_run_unseen(state(), task(), m_simulation.now()));
    state().m_places_since = progress.m_places.front().m_token;
    restore_places(state(), *find_job(state(), m_job), progress.m_places);
    EXPECT_TRUE(task().m_place);
}

// Guards against a successor that waits for the wrong worker: a run was found on another one than the stored one.
TEST_F(run_place_test, the_worker_of_a_run_that_is_found_is_stored)
{
    m_simulation.run_for(milliseconds{200});
    const auto place = task().m_place.value_or(run_place{}).m_worker;
    m_simulation.take_over();
    task().m_place->m_worker = worker_id{"other"};
    m_simulation.run_for(milliseconds{100});
    ASSERT_TRUE(task().m_place);
    EXPECT_EQ(task().m_place->m_worker, place);
    EXPECT_TRUE(task().m_place->m_is_stored);
}

// Guards against progress that earlier versions cannot read, or from which they lose the crashes.
TEST(run_place, places_are_encoded_after_what_earlier_versions_read)
{
    job_progress progress;
    progress.m_state = job_state::running;
    const auto without = encode(progress);
    progress.m_places.push_back({0, 1, 2, worker_id{"w1"}, fencing_token{7}});
    const auto with = encode(progress);
    EXPECT_EQ(with.compare(0, without.size(), without), 0);
    const auto decoded = decode_job_progress(with);
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded.assume_value().m_places.size(), 1U);
    EXPECT_EQ(decoded.assume_value().m_places.front().m_worker, worker_id{"w1"});
    EXPECT_EQ(decoded.assume_value().m_places.front().m_token, fencing_token{7});
    EXPECT_TRUE(decoded.assume_value().m_crashes.empty());
}

// Guards against a start on a worker whose stored end a successor would not outwait, or whose stale lease no successor
// knows of: it was decided before, and waited for the write of its place.
TEST(run_place, a_held_start_is_not_sent_to_a_worker_that_accepts_no_new_work_since)
{
    EXPECT_EQ(starts_after([](worker_slot&, const time_point) {}), 1U);
    EXPECT_EQ(starts_after([](worker_slot& slot, const time_point now) { slot.m_listed_end = now; }), 0U)
        << "an end is stored";
    EXPECT_EQ(starts_after([](worker_slot& slot, const time_point) { slot.m_takes_stale_leases = true; }), 0U)
        << "takes stale leases";
    EXPECT_EQ(starts_after([](worker_slot& slot, const time_point) { slot.m_lease_listed = false; }), 0U)
        << "its lease is not listed any more";
}

} // namespace cicadalug::test
