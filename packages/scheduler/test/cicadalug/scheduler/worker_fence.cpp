#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

/** @brief A pool with one worker, which has reported its first incarnation. */
class worker_fence : public ::testing::Test {
protected:
    worker_fence()
    {
        m_simulation.begin_with("orders", 1);
        auto entry = worker().m_entry;
        entry.m_incarnation_start_unix_ms = worker().m_incarnation_start_unix_ms;
        register_worker(state(), entry);
    }

    [[nodiscard]] auto state() -> scheduler_state& { return m_simulation.m_state; }
    [[nodiscard]] auto worker() -> worker_slot& { return state().m_workers.front(); }
    [[nodiscard]] auto fence() -> fencing_token { return fence_of(state(), worker()); }

    /** @brief Registers the worker as an incarnation. */
    auto register_incarnation(const std::int64_t start_unix_ms) -> void
    {
        auto entry = worker().m_entry;
        entry.m_incarnation_start_unix_ms = start_unix_ms;
        register_worker(state(), entry);
    }

    /** @brief Applies an empty report of an incarnation. @param token Token of the call that it answers. */
    auto report_incarnation(const std::int64_t start_unix_ms, const fencing_token token) -> void
    {
        worker_report report;
        report.m_incarnation_start_unix_ms = start_unix_ms;
        report.m_clock_ms = 1;
        report.m_token = token;
        apply_report(state(), 0, report, m_simulation.now(), m_simulation.now());
    }

    /** @brief Submits a job with one task, whose start gets no response. @return Its task. */
    [[nodiscard]] auto begin_unanswered_start() -> task_ref
    {
        const auto job = m_simulation.submit(make_job("orders", 1, 1'000, milliseconds{1'000}));
        dispatch(state(), m_simulation.now());
        apply_stored_progress(state(), *find_job(state(), job), progress_of(*find_job(state(), job)));
        dispatch(state(), m_simulation.now());
        EXPECT_EQ(state().m_starts.size(), 1U);
        const auto start = state().m_starts.front();
        state().m_starts.clear();
        record_start(state(), start, fence(), 1'000'000'000);
        apply_start_result(state(), start, command_result::unknown, m_simulation.now());
        return start.m_task;
    }

    scheduler_simulation m_simulation;
};

} // namespace

// Guards against a restarted worker that carries out a late call to its earlier incarnation, as both have one token.
TEST_F(worker_fence, each_incarnation_is_called_with_a_higher_token)
{
    const auto first = fence();
    report_incarnation(2, first);
    const auto second = fence();
    EXPECT_GT(second, first);
    EXPECT_EQ(state().m_fence_announcements.size(), 1U);
    report_incarnation(3, second);
    EXPECT_GT(fence(), second);
}

// Guards against a window in which a late call is carried out, from the registration of a restarted worker to its
// first report.
TEST_F(worker_fence, a_registered_incarnation_is_told_its_token_before_it_reports)
{
    const auto first = fence();
    register_incarnation(2);
    const auto second = fence();
    EXPECT_GT(second, first);
    EXPECT_EQ(state().m_fence_announcements.size(), 1U);
    report_incarnation(2, second);
    EXPECT_EQ(fence(), second) << "the token was raised for this incarnation before";
}

// Guards against calls that a worker refuses as the token is raised for an incarnation that has reported long ago.
TEST_F(worker_fence, an_entry_that_is_older_than_the_last_report_does_not_raise_the_token)
{
    report_incarnation(2, fence());
    const auto second = fence();
    register_incarnation(2);
    EXPECT_EQ(fence(), second);
}

// Guards against a token above that of a successor, which would be refused by the worker for the rest of its life.
TEST_F(worker_fence, no_token_is_above_the_last_write_of_the_term)
{
    state().m_fence_limit = fence();
    register_incarnation(2);
    report_incarnation(2, fence());
    const auto limit = state().m_fence_limit;
    EXPECT_EQ(fence(), limit);
    EXPECT_TRUE(has_worker_without_fence(state()));
    EXPECT_EQ(find_service_obstacle(worker()), worker_obstacle::fence_not_stored);
    record_term_write(state(), store_revision{limit.value() + 5});
    EXPECT_GT(fence(), limit);
    EXPECT_LE(fence(), state().m_fence_limit);
    EXPECT_FALSE(has_worker_without_fence(state()));
    EXPECT_EQ(find_service_obstacle(worker()), worker_obstacle::none);
}

// Guards against a decider that ends its term because a worker refuses a call that was sent before the token was
// raised.
TEST_F(worker_fence, a_call_with_an_earlier_token_of_the_same_decider_counts_as_not_carried_out)
{
    const auto first = fence();
    report_incarnation(2, first);
    EXPECT_EQ(settle_fenced(state(), 0, first, command_result::fenced), command_result::withdrawn);
    EXPECT_EQ(settle_fenced(state(), 0, first, command_result::accepted), command_result::accepted);
    EXPECT_EQ(settle_fenced(state(), 0, fence(), command_result::fenced), command_result::fenced);
}

// Guards against a second run of a task whose start the new incarnation may still carry out, and against a task that
// waits for longer than until the worker refuses that start.
TEST_F(worker_fence, an_unanswered_start_is_kept_until_the_new_incarnation_has_answered_a_call_with_its_token)
{
    const auto task = begin_unanswered_start();
    const auto first = fence();
    report_incarnation(2, first);
    EXPECT_EQ(find_task(state(), task)->m_phase, task_phase::starting);
    report_incarnation(2, fence());
    EXPECT_EQ(find_task(state(), task)->m_phase, task_phase::waiting);
    EXPECT_TRUE(worker().m_runs.empty());
}

// Guards against a task that is abandoned while it runs: a listed run was started before the higher token arrived.
TEST_F(worker_fence, a_listed_run_is_not_abandoned)
{
    const auto task = begin_unanswered_start();
    const auto run = worker().m_runs.front().m_run;
    worker_report report;
    report.m_incarnation_start_unix_ms = 2;
    report.m_clock_ms = 1;
    report.m_token = fencing_token{fence().value() + 1};
    report.m_running.push_back({task, run, {}, 0, 0});
    apply_report(state(), 0, report, m_simulation.now(), m_simulation.now());
    EXPECT_EQ(worker().m_runs.size(), 1U);
    EXPECT_TRUE(worker().m_runs.front().m_confirmed);
}

} // namespace cicadalug::test
