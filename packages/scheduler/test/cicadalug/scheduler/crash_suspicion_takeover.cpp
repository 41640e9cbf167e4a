#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/crash_suspicion.hpp>

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace cicadalug::test {

namespace {

/** @brief A suspect whose trial, begun by the last decider, was on a worker that has restarted since. */
class recovered_trial_restart : public testing::Test {
protected:
    recovered_trial_restart()
    {
        m_simulation.begin_with("quotes", 3);
        m_job = m_simulation.submit(make_job("quotes", 2, 2'000, milliseconds{20'000}));
        store_trial(0, 0);
        find_task(state(), task(0))->m_crashed_runs = {run_number{400}};
        restart(0, m_restart_unix_ms);
    }

    [[nodiscard]] auto state() -> scheduler_state& { return m_simulation.m_state; }

    [[nodiscard]] auto task(const std::int64_t index) const -> task_ref { return {m_job, 0, 0, index}; }

    auto store_trial(const std::int64_t index, const std::size_t position) -> void
    {
        auto& worker = state().m_workers[position];
        const stored_trial trial{run_number{500}, worker.m_entry.m_id, worker.m_entry.m_vm,
                                 worker.m_incarnation_start_unix_ms};
        find_task(state(), task(index))->m_suspect = true;
        find_task(state(), task(index))->m_trial = trial;
        state().m_recovered_trials.push_back({task(index), trial});
        state().m_recovered_trial_workers.insert(trial.m_worker);
    }

    auto restart(const std::size_t position, const std::int64_t unix_ms) -> void
    {
        auto& worker = state().m_workers[position];
        worker.m_incarnation_start_unix_ms = unix_ms;
        state().m_expected_leases[worker.m_entry.m_id].m_stale_end = m_simulation.now() + milliseconds{10'000};
    }

    auto resolve() -> void { update_trials(state(), m_simulation.now()); }

    scheduler_simulation m_simulation;
    job_id m_job;
    std::int64_t m_restart_unix_ms{1'700'000'100'000};
};

} // namespace

// Guards against sound jobs that are shown as failed after a takeover, as workers restarted together for another cause.
TEST_F(recovered_trial_restart, beside_other_restarts_is_no_crash)
{
    restart(1, m_restart_unix_ms + 200);
    resolve();
    const auto* suspect = find_task(state(), task(0));
    EXPECT_EQ(suspect->m_crashed_runs.size(), 1U);
    EXPECT_TRUE(is_suspect(*suspect));
    EXPECT_FALSE(suspect->m_trial) << "the next decider may count it";
    EXPECT_NE(find_job(state(), m_job)->m_state, job_state::failed);
}

// Guards against a task that crashes a worker whenever others of the pool restart, and is never given up.
TEST_F(recovered_trial_restart, beside_other_restarts_counts_after_another_lost_trial)
{
    restart(1, m_restart_unix_ms + 200);
    find_task(state(), task(0))->m_lost_trials = 1;
    find_task(state(), task(0))->m_last_lost_trial = run_number{450};
    resolve();
    EXPECT_EQ(find_job(state(), m_job)->m_state, job_state::failed);
}

// Guards against a crash that does not count because of an unrelated restart.
TEST_F(recovered_trial_restart, long_after_another_restart_is_a_crash)
{
    restart(1, m_restart_unix_ms - 5'000);
    resolve();
    EXPECT_EQ(find_job(state(), m_job)->m_state, job_state::failed);
}

// Guards against deadly tasks that excuse each other, as their trials crash workers at the same time.
TEST_F(recovered_trial_restart, beside_the_restart_of_another_trial_is_a_crash)
{
    store_trial(1, 1);
    restart(1, m_restart_unix_ms + 200);
    // The trial on the other worker is resolved first.
    std::swap(state().m_recovered_trials.front(), state().m_recovered_trials.back());
    resolve();
    EXPECT_EQ(find_job(state(), m_job)->m_state, job_state::failed);
}

} // namespace cicadalug::test
