#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/crash_suspicion.hpp>
#include <cicadalug/scheduler/wait_cause.hpp>

#include <gtest/gtest.h>

#include <string>

namespace cicadalug::test {

namespace {

/** @brief A pool of two workers with a long-running job of one task that cannot start yet. */
class wait_cause_test : public ::testing::Test {
protected:
    wait_cause_test() { m_simulation.begin_with("quotes", 2); }

    /** @brief Submits the job without letting any time pass. */
    auto submit() -> void { m_task.m_job = m_simulation.submit(make_long_running_job("quotes", 1, 1)); }

    [[nodiscard]] auto state() -> scheduler_state& { return m_simulation.m_state; }
    [[nodiscard]] auto worker(const std::size_t index) -> worker_slot& { return state().m_workers.at(index); }
    [[nodiscard]] auto task() -> task_state& { return *find_task(state(), m_task); }
    [[nodiscard]] auto explain() -> task_wait { return explain_wait(state(), m_task, m_simulation.now()); }

    [[nodiscard]] auto count(const worker_obstacle obstacle) -> std::int64_t
    {
        return explain().m_workers.at(static_cast<std::size_t>(obstacle));
    }

    scheduler_simulation m_simulation;
    task_ref m_task;
};

} // namespace

TEST_F(wait_cause_test, an_expired_term_is_named)
{
    submit();
    state().m_term_guaranteed_until = m_simulation.now();
    EXPECT_EQ(explain().m_cause, wait_cause::term_not_guaranteed);
}

TEST_F(wait_cause_test, old_copies_are_named)
{
    submit();
    state().m_jobs_current_at = m_simulation.now() - milliseconds{10'000};
    EXPECT_EQ(explain().m_cause, wait_cause::jobs_copy_too_old);
    state().m_jobs_current_at = m_simulation.now();
    state().m_workers_current_at = m_simulation.now() - milliseconds{10'000};
    EXPECT_EQ(explain().m_cause, wait_cause::workers_copy_too_old);
}

TEST_F(wait_cause_test, leases_that_would_be_too_short_are_named)
{
    submit();
    state().m_grant_limit = m_simulation.now() + milliseconds{100};
    EXPECT_EQ(explain().m_cause, wait_cause::leases_too_short);
}

TEST_F(wait_cause_test, recovery_is_named_with_the_workers_that_it_waits_for)
{
    submit();
    m_simulation.run_for(milliseconds{100});
    ASSERT_EQ(task().m_phase, task_phase::running);
    m_simulation.worker("w1").m_reachable = false;
    m_simulation.worker("w2").m_reachable = false;
    m_simulation.take_over();
    state().m_expected_workers.insert(worker_id{"gone"});
    m_simulation.run_for(milliseconds{100});
    EXPECT_EQ(explain().m_cause, wait_cause::recovering);
    EXPECT_EQ(explain().m_unreported, 2);
    EXPECT_EQ(explain().m_expected, 3);
    EXPECT_EQ(explain().m_waited, milliseconds{100});
}

TEST_F(wait_cause_test, a_back_off_is_named)
{
    submit();
    task().m_not_before = m_simulation.now() + milliseconds{100};
    EXPECT_EQ(explain().m_cause, wait_cause::back_off);
}

TEST_F(wait_cause_test, an_incomplete_gang_is_named)
{
    auto record = make_long_running_job("quotes", 2, 1);
    record.m_spec.m_steps.front().m_gang = true;
    m_task.m_job = m_simulation.submit(record);
    find_step(*find_job(state(), m_task.m_job), m_task)->m_waiting = 1;
    EXPECT_EQ(explain().m_cause, wait_cause::gang_incomplete);
}

TEST_F(wait_cause_test, each_stage_of_a_trial_is_named)
{
    submit();
    task().m_suspect = true;
    EXPECT_EQ(explain().m_cause, wait_cause::no_trial);
    plan_trial(state(), m_task, 0, run_number{1'001});
    EXPECT_EQ(explain().m_cause, wait_cause::trial_not_stored);
    EXPECT_EQ(count(worker_obstacle::in_trial), 1);
    state().m_trials.front().m_is_stored = true;
    worker(0).m_runs.emplace_back();
    EXPECT_EQ(explain().m_cause, wait_cause::trial_worker_busy);
    worker(0).m_runs.clear();
    EXPECT_EQ(explain().m_cause, wait_cause::none);
}

TEST_F(wait_cause_test, workers_without_new_work_are_counted_by_their_obstacle)
{
    submit();
    const auto expect_on_first = [this](const worker_obstacle obstacle, const std::string& what) {
        EXPECT_EQ(count(obstacle), 1) << what;
        EXPECT_EQ(count(worker_obstacle::none), 1) << what;
    };
    const auto sound = worker(0);
    worker(0).m_registered = false;
    expect_on_first(worker_obstacle::not_registered, "not registered");
    worker(0) = sound;
    worker(0).m_entry.m_incarnation_start_unix_ms = worker(0).m_incarnation_start_unix_ms + 1;
    expect_on_first(worker_obstacle::other_incarnation, "other incarnation");
    worker(0) = sound;
    worker(0).m_entry.m_state = worker_state::draining;
    expect_on_first(worker_obstacle::draining, "draining");
    worker(0) = sound;
    worker(0).m_cordoned = true;
    expect_on_first(worker_obstacle::cordoned, "cordoned");
    worker(0) = sound;
    worker(0).m_has_reported = false;
    expect_on_first(worker_obstacle::not_reported, "not reported");
    worker(0) = sound;
    worker(0).m_lease_listed = false;
    expect_on_first(worker_obstacle::lease_not_stored, "lease not stored");
    worker(0) = sound;
    worker(0).m_unresponsive = true;
    expect_on_first(worker_obstacle::unresponsive, "unresponsive");
    worker(0) = sound;
    worker(0).m_paused_until = m_simulation.now() + milliseconds{700};
    expect_on_first(worker_obstacle::paused, "paused");
    EXPECT_EQ(explain().m_pause_left, milliseconds{700});
    worker(0) = sound;
    worker(0).m_last_report = m_simulation.now() - milliseconds{2'500};
    expect_on_first(worker_obstacle::report_too_old, "report too old");
}

// Guards against a pause that is named although the task is started on paused workers.
TEST_F(wait_cause_test, a_paused_worker_is_able_once_the_task_has_waited)
{
    submit();
    worker(0).m_cordoned = true;
    worker(1).m_paused_until = m_simulation.now() + milliseconds{10'000};
    EXPECT_EQ(explain().m_cause, wait_cause::none_accepting);
    task().m_since = m_simulation.now() - milliseconds{1'000};
    find_job(state(), m_task.m_job)->m_arrived = task().m_since;
    EXPECT_EQ(explain().m_cause, wait_cause::step_not_opened);
    EXPECT_EQ(count(worker_obstacle::none), 1);
}

TEST_F(wait_cause_test, a_pool_without_a_worker_that_accepts_work_is_named)
{
    submit();
    worker(0).m_cordoned = true;
    worker(1).m_unresponsive = true;
    EXPECT_EQ(explain().m_cause, wait_cause::none_accepting);
}

TEST_F(wait_cause_test, a_task_that_no_accepting_worker_can_hold_is_named)
{
    submit();
    worker(0).m_entry.m_capacity.m_cpu = millicores{100};
    worker(1).m_used.m_cpu = worker(1).m_entry.m_capacity.m_cpu + millicores{1};
    EXPECT_EQ(explain().m_cause, wait_cause::none_fitting);
    EXPECT_EQ(count(worker_obstacle::no_capacity), 2);
    EXPECT_EQ(explain().m_overcommitted, 1);
}

TEST_F(wait_cause_test, labels_and_limits_of_a_step_are_counted)
{
    submit();
    auto& spec = find_job(state(), m_task.m_job)->m_record.m_spec.m_steps.front();
    spec.m_required_label = "lathe";
    EXPECT_EQ(count(worker_obstacle::no_label), 2);
    spec.m_required_label.clear();
    spec.m_max_per_worker = 1;
    placed_run other;
    other.m_task = {m_task.m_job, 0, 0, 1};
    worker(0).m_runs.push_back(other);
    EXPECT_EQ(count(worker_obstacle::step_limit), 1);
    state().m_permit_queues.insert(find_job(state(), m_task.m_job)->m_record.m_policy.m_queue);
    EXPECT_EQ(count(worker_obstacle::no_permit), 2);
}

TEST_F(wait_cause_test, a_step_that_is_being_opened_is_named)
{
    m_simulation.m_store_up = false;
    submit();
    EXPECT_EQ(explain().m_cause, wait_cause::step_not_opened);
    m_simulation.run_for(milliseconds{200});
    EXPECT_EQ(explain().m_cause, wait_cause::step_not_opened);
    EXPECT_GT(explain().m_opening.value_or(microseconds{0}), milliseconds{150});
}

TEST_F(wait_cause_test, only_tasks_that_have_waited_long_are_explained_up_to_a_limit)
{
    m_simulation.m_store_up = false;
    m_task.m_job = m_simulation.submit(make_long_running_job("quotes", 5, 1));
    m_simulation.run_for(milliseconds{990});
    EXPECT_EQ(find_long_waits(state(), milliseconds{1'000}, 2, m_simulation.now()).m_count, 0U);
    m_simulation.run_for(milliseconds{10});
    const auto waits = find_long_waits(state(), milliseconds{1'000}, 2, m_simulation.now());
    EXPECT_EQ(waits.m_count, 5U);
    ASSERT_EQ(waits.m_explained.size(), 2U);
    EXPECT_EQ(waits.m_explained.front().m_waited, milliseconds{1'000});
    m_simulation.m_store_up = true;
    m_simulation.run_for(milliseconds{100});
    EXPECT_EQ(find_long_waits(state(), milliseconds{0}, 2, m_simulation.now()).m_count, 0U);
}

} // namespace cicadalug::test
