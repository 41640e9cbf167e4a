#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/time_accounting.hpp>
#include <cicadalug/scheduler/wait_cause.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

class time_accounting_test : public ::testing::Test {
protected:
    time_accounting_test() { m_simulation.begin_with("orders", 2); }

    /** @brief Submits a job with two steps, one after the other, with two tasks each. */
    auto submit_chain(const milliseconds run_time) -> void
    {
        auto record = make_job("orders", 2, 1'000, run_time);
        record.m_spec.m_steps.push_back(record.m_spec.m_steps.front());
        record.m_spec.m_steps.back().m_after = {0};
        m_id = m_simulation.submit(record);
    }

    [[nodiscard]] auto state() -> scheduler_state& { return m_simulation.m_state; }
    [[nodiscard]] auto job() -> job_entry& { return *find_job(state(), m_id); }
    [[nodiscard]] auto task() -> task_state& { return *find_task(state(), {m_id, 0, 0, 0}); }

    auto expect_complete_account() -> void
    {
        ASSERT_EQ(job().m_state, job_state::completed);
        EXPECT_EQ(total(job().m_times), job().m_finished - job().m_arrived);
        for (const auto part : job().m_times.m_parts) {
            EXPECT_GE(part, microseconds{0});
        }
    }

    /** @brief Checks that a waiting task is accounted to the part that its explanation names. */
    auto expect_explained(const job_part part) -> void
    {
        EXPECT_EQ(name_of(task().m_times.m_part), name_of(part));
        EXPECT_EQ(name_of(explain_wait(state(), {m_id, 0, 0, 0}, m_simulation.now()).m_cause), name_of(part));
    }

    scheduler_simulation m_simulation;
    job_id m_id;
};

} // namespace

// Guards against time of a step that is missing in the account of its job, or in it twice.
TEST_F(time_accounting_test, parts_of_the_critical_chain_add_up_to_the_time_of_the_job)
{
    submit_chain(milliseconds{300});
    m_simulation.run_for(milliseconds{3'000});
    expect_complete_account();
    EXPECT_GE(job().m_times[job_part::running], milliseconds{600});
    EXPECT_GT(job().m_times[job_part::step_not_opened], milliseconds{0});
}

TEST_F(time_accounting_test, the_wait_for_capacity_is_none_fitting)
{
    static_cast<void>(m_simulation.submit(make_job("orders", 64, 1'000, milliseconds{1'000})));
    m_simulation.run_for(milliseconds{100});
    submit_chain(milliseconds{300});
    m_simulation.run_for(milliseconds{200});
    expect_explained(job_part::none_fitting);
    m_simulation.run_for(milliseconds{10'000});
    expect_complete_account();
    EXPECT_GT(job().m_times[job_part::none_fitting], milliseconds{400});
}

TEST_F(time_accounting_test, the_wait_for_a_worker_that_accepts_work_is_none_accepting)
{
    for (auto& worker : state().m_workers) {
        worker.m_cordoned = true;
    }
    submit_chain(milliseconds{300});
    m_simulation.run_for(milliseconds{500});
    expect_explained(job_part::none_accepting);
    for (auto& worker : state().m_workers) {
        release_worker(state(), worker.m_entry.m_id);
    }
    m_simulation.run_for(milliseconds{3'000});
    expect_complete_account();
    EXPECT_GT(job().m_times[job_part::none_accepting], milliseconds{400});
}

TEST_F(time_accounting_test, the_wait_for_the_store_is_step_not_opened)
{
    m_simulation.m_store_up = false;
    submit_chain(milliseconds{300});
    m_simulation.run_for(milliseconds{500});
    expect_explained(job_part::step_not_opened);
    m_simulation.m_store_up = true;
    m_simulation.run_for(milliseconds{3'000});
    expect_complete_account();
    EXPECT_GT(job().m_times[job_part::step_not_opened], milliseconds{400});
}

TEST_F(time_accounting_test, the_wait_for_a_copy_is_starts_suspended)
{
    submit_chain(milliseconds{300});
    state().m_term_guaranteed_until = m_simulation.now();
    dispatch(state(), m_simulation.now());
    EXPECT_EQ(task().m_times.m_part, job_part::starts_suspended);
}

TEST_F(time_accounting_test, a_back_off_is_named)
{
    submit_chain(milliseconds{300});
    task().m_not_before = m_simulation.now() + milliseconds{400};
    m_simulation.run_for(milliseconds{200});
    expect_explained(job_part::back_off);
    m_simulation.run_for(milliseconds{3'000});
    expect_complete_account();
    EXPECT_GE(job().m_times[job_part::back_off], milliseconds{300});
}

// Guards against a repeated run that appears as run time of the job, as if its tasks were longer than expected.
TEST_F(time_accounting_test, the_time_of_failed_runs_is_told_from_that_of_the_last_one)
{
    submit_chain(milliseconds{500});
    m_simulation.run_for(milliseconds{300});
    m_simulation.fail_runs(worker_id{"w1"});
    m_simulation.fail_runs(worker_id{"w2"});
    m_simulation.run_for(milliseconds{5'000});
    expect_complete_account();
    EXPECT_GT(job().m_times[job_part::unfinished_runs], milliseconds{100});
    EXPECT_LT(job().m_times[job_part::running], milliseconds{1'200});
}

// Guards against the time before a takeover that is accounted to a stage of the new decider.
TEST_F(time_accounting_test, the_time_before_a_takeover_is_named)
{
    submit_chain(milliseconds{500});
    m_simulation.run_for(milliseconds{300});
    m_simulation.take_over();
    m_simulation.run_for(milliseconds{5'000});
    expect_complete_account();
    EXPECT_EQ(job().m_times[job_part::before_term], milliseconds{300});
    EXPECT_EQ(job().m_times[job_part::accepted], milliseconds{0});
}

} // namespace cicadalug::test
