#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/reports.hpp>

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <set>

namespace cicadalug::test {

namespace {

/** @brief A speculative task with one attempt, whose earlier run was adopted while the current one runs. */
struct adopted_run_fixture {
    explicit adopted_run_fixture(const std::int64_t max_attempts = 1)
    {
        m_simulation.begin_with("quotes", 2);
        auto record = make_job("quotes", 1, 8'000, milliseconds{60'000});
        record.m_policy.m_max_attempts = max_attempts;
        record.m_spec.m_steps.front().m_speculative = true;
        m_task.m_job = m_simulation.submit(record);
        find_job(state(), m_task.m_job)->m_open.front().m_steps.front().m_opened = true;
        dispatch(state(), m_simulation.now());
        m_start = state().m_starts.front();
        state().m_starts.clear();
        m_earlier.m_incarnation_start_unix_ms = 1;
        m_earlier.m_running.push_back({m_task, run_number{1}, {}, 0, 0});
        report_earlier();
    }

    [[nodiscard]] auto state() -> scheduler_state& { return m_simulation.m_state; }
    [[nodiscard]] auto job() -> const job_entry& { return *find_job(state(), m_task.m_job); }

    auto report_earlier() -> void
    {
        const auto other = m_start.m_worker == 0 ? worker_index{1} : worker_index{0};
        apply_report(state(), other, m_earlier, m_simulation.now(), m_simulation.now());
    }

    auto fail_earlier_run() -> void
    {
        m_earlier.m_running.clear();
        m_earlier.m_ended.push_back({1, m_task, run_number{1}, run_end::failed, {}});
        report_earlier();
    }

    auto end_current_run(const run_end outcome) -> void
    {
        worker_report report;
        report.m_incarnation_start_unix_ms = 1;
        report.m_ended.push_back({1, m_task, m_start.m_run, outcome, {}});
        apply_report(state(), m_start.m_worker, report, m_simulation.now(), m_simulation.now());
    }

    scheduler_simulation m_simulation;
    task_ref m_task;
    start_command m_start;
    worker_report m_earlier;
};

/** @brief Ends all runs of a gang: the given members fail, and the others end with them. */
auto fail_gang(scheduler_simulation& simulation, const std::set<std::int64_t>& failing) -> void
{
    worker_report report;
    report.m_incarnation_start_unix_ms = 1;
    auto& worker = simulation.m_state.m_workers.front();
    auto number = worker.m_last_end;
    for (const auto& run : worker.m_runs) {
        const auto outcome = failing.contains(run.m_task.m_index) ? run_end::failed : run_end::peer_ended;
        report.m_ended.push_back({++number, run.m_task, run.m_run, outcome, {}});
    }
    simulation.worker("w1").m_runs.clear();
    simulation.worker("w1").m_end_count = number;
    apply_report(simulation.m_state, 0, report, simulation.now(), simulation.now());
}

} // namespace

// Guards against another start when the last failure was that of an earlier run, and the current run is lost.
TEST(attempts, a_job_fails_when_its_run_is_lost_after_the_last_failure_of_an_earlier_run)
{
    adopted_run_fixture fixture;
    apply_start_result(fixture.state(), fixture.m_start, command_result::accepted, fixture.m_simulation.now());
    fixture.fail_earlier_run();
    EXPECT_FALSE(is_final(fixture.job().m_state)) << "the current run can still complete the task";
    fixture.end_current_run(run_end::expired);
    dispatch(fixture.state(), fixture.m_simulation.now());
    EXPECT_TRUE(fixture.state().m_starts.empty());
    EXPECT_EQ(fixture.job().m_state, job_state::failed);
}

// Guards against a job that fails although its current run is done after the last failure of an earlier one.
TEST(attempts, a_run_that_continues_after_the_last_failure_completes_its_task)
{
    adopted_run_fixture fixture;
    apply_start_result(fixture.state(), fixture.m_start, command_result::accepted, fixture.m_simulation.now());
    fixture.fail_earlier_run();
    fixture.end_current_run(run_end::done);
    EXPECT_EQ(fixture.job().m_state, job_state::completed);
}

// Guards against a start that was decided before the last failure was counted, and is sent after it.
TEST(attempts, a_decided_start_is_not_sent_after_the_last_failure)
{
    adopted_run_fixture fixture;
    EXPECT_TRUE(is_start_valid(fixture.state(), fixture.m_start, fixture.m_simulation.now()));
    fixture.fail_earlier_run();
    EXPECT_FALSE(is_start_valid(fixture.state(), fixture.m_start, fixture.m_simulation.now()));
    apply_start_result(fixture.state(), fixture.m_start, command_result::withdrawn, fixture.m_simulation.now());
    EXPECT_EQ(fixture.job().m_state, job_state::failed);
}

// Guards against a job that fails, or whose task is not restarted, before the last attempt.
TEST(attempts, a_task_with_an_attempt_left_starts_again)
{
    adopted_run_fixture fixture{2};
    apply_start_result(fixture.state(), fixture.m_start, command_result::accepted, fixture.m_simulation.now());
    fixture.fail_earlier_run();
    fixture.end_current_run(run_end::expired);
    dispatch(fixture.state(), fixture.m_simulation.now());
    EXPECT_EQ(fixture.state().m_starts.size(), 1U);
}

// Guards against a start after a takeover that restores a task without an attempt left, and against a job that then
// never ends. A run that may still be found can complete the task.
TEST(attempts, a_job_without_an_attempt_left_fails_after_the_recovery)
{
    for (const bool speculative : {false, true}) {
        scheduler_simulation simulation;
        simulation.begin_with("quotes", 2);
        auto record = make_job("quotes", 1, 8'000, milliseconds{60'000});
        record.m_policy.m_max_attempts = 1;
        record.m_spec.m_steps.front().m_speculative = speculative;
        const auto job = simulation.submit(record);
        simulation.run_for(milliseconds{200});
        ASSERT_EQ(simulation.total_starts(), 1);
        auto& state = simulation.m_state;
        const task_ref task{job, 0, 0, 0};
        ASSERT_TRUE(count_failure(*find_task(state, task), run_number{1}));
        mark_dirty(state, *find_job(state, job));
        simulation.run_for(milliseconds{50});
        const auto lost = state.m_workers[static_cast<std::size_t>(find_task(state, task)->m_worker)].m_entry.m_id;
        simulation.worker(lost.str()).m_reachable = false;
        simulation.take_over();
        simulation.run_for(milliseconds{2'000});
        EXPECT_EQ(find_job(state, job)->m_state, job_state::running) << "the lost worker may still run the task";
        simulation.run_for(milliseconds{6'000});
        EXPECT_EQ(simulation.total_starts(), 1);
        EXPECT_EQ(find_job(state, job)->m_state, job_state::failed);
    }
}

// Guards against more runs of a gang than it has attempts, as its members fail in turn.
TEST(attempts, the_failures_of_all_members_of_a_gang_count_together)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    simulation.m_state.m_settings.m_failures_before_pause = 100;
    auto record = make_job("quotes", 3, 8'000, milliseconds{60'000});
    record.m_policy.m_max_attempts = 3;
    record.m_spec.m_steps.front().m_gang = true;
    const auto job = simulation.submit(record);
    for (std::int64_t member = 0; member < 3; ++member) {
        simulation.run_for(milliseconds{500});
        ASSERT_EQ(simulation.total_starts(), 3 * (member + 1));
        ASSERT_FALSE(is_final(find_job(simulation.m_state, job)->m_state));
        fail_gang(simulation, {member});
    }
    EXPECT_EQ(find_job(simulation.m_state, job)->m_state, job_state::failed);
    simulation.run_for(milliseconds{500});
    EXPECT_EQ(simulation.total_starts(), 9);
}

// Guards against a gang that loses several attempts to one run in which several members fail.
TEST(attempts, members_of_a_gang_that_fail_in_one_run_count_once)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    simulation.m_state.m_settings.m_failures_before_pause = 100;
    auto record = make_job("quotes", 3, 8'000, milliseconds{60'000});
    record.m_policy.m_max_attempts = 2;
    record.m_spec.m_steps.front().m_gang = true;
    const auto job = simulation.submit(record);
    simulation.run_for(milliseconds{500});
    fail_gang(simulation, {0, 1, 2});
    EXPECT_FALSE(is_final(find_job(simulation.m_state, job)->m_state));
    simulation.run_for(milliseconds{500});
    EXPECT_EQ(simulation.total_starts(), 6);
    fail_gang(simulation, {1});
    EXPECT_EQ(find_job(simulation.m_state, job)->m_state, job_state::failed);
}

} // namespace cicadalug::test
