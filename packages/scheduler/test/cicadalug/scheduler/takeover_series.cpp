#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/leased_workers.hpp>

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace cicadalug::test {

namespace {

/** @brief A long-running task may be without a run for this long after its last one (LOST). */
constexpr milliseconds longest_wait{9'000};

/** @brief Time from the loss of a decider to the first pass of its successor: the lease of its term, and the takeover.
 */
constexpr milliseconds takeover_time{1'300};

/** @brief Four workers with a long-running job of one task each, and deciders that follow each other. */
class takeover_series : public ::testing::Test {
protected:
    /** @param age Age of the workers. */
    auto begin(const milliseconds age) -> void
    {
        m_simulation.m_state.m_has_predecessor = false;
        m_simulation.m_worker_age = age;
        m_simulation.begin_with("quotes", 4);
        for (int job = 0; job < 4; ++job) {
            auto record = make_long_running_job("quotes", 1, 1);
            record.m_spec.m_steps.front().m_demand.m_cpu = millicores{16'000};
            m_jobs.push_back(m_simulation.submit(std::move(record)));
        }
        m_simulation.run_for(milliseconds{500});
        ASSERT_EQ(m_simulation.total_starts(), 4);
    }

    /** @brief Returns a worker on which a task of a job runs. */
    [[nodiscard]] auto worker_of(const job_id& job) -> worker_id
    {
        for (const auto& id : m_simulation.worker_ids()) {
            for (const auto& run : m_simulation.worker(id.str()).m_runs) {
                if (run.m_task.m_job == job) {
                    return id;
                }
            }
        }
        return {};
    }

    /** @brief Lets deciders follow each other at an interval until a job's task has started again. @return The time. */
    [[nodiscard]] auto time_to_restart(const job_id& job, const milliseconds interval, const milliseconds limit)
        -> milliseconds
    {
        const auto begin = m_simulation.now();
        while (worker_of(job).empty() && m_simulation.now() - begin < limit) {
            m_simulation.stop_decider(takeover_time);
            m_simulation.take_over();
            for (const auto end = m_simulation.now() + interval; m_simulation.now() < end && worker_of(job).empty();) {
                m_simulation.run_for(milliseconds{10});
            }
        }
        return std::chrono::duration_cast<milliseconds>(m_simulation.now() - begin);
    }

    scheduler_simulation m_simulation;
    std::vector<job_id> m_jobs;
};

constexpr milliseconds old_age{60'000};
constexpr milliseconds young_age{5'000};
constexpr std::array<milliseconds, 4> intervals{milliseconds{1'000}, milliseconds{2'000}, milliseconds{3'000},
                                                milliseconds{5'000}};

} // namespace

// Guards against a wait for a lost worker that begins anew with each decider.
TEST_F(takeover_series, does_not_prolong_the_wait_for_a_lost_worker)
{
    begin(old_age);
    for (const auto interval : intervals) {
        const auto& job = m_jobs.front();
        m_simulation.lose(worker_of(job));
        EXPECT_LE(time_to_restart(job, interval, 3 * longest_wait), longest_wait) << interval.count();
        m_simulation.add_vms("quotes", 1);
        m_simulation.run_for(milliseconds{12'000});
    }
}

// Guards against a young worker that counts as restarted although the last decider had called it: if it is then lost,
// its tasks wait for the longest lease.
TEST_F(takeover_series, does_not_take_young_workers_for_restarted_ones)
{
    for (const auto interval : intervals) {
        m_simulation = scheduler_simulation{};
        m_jobs.clear();
        begin(young_age);
        m_simulation.stop_decider(takeover_time);
        m_simulation.take_over();
        m_simulation.run_for(milliseconds{700});
        const auto& job = m_jobs.front();
        m_simulation.lose(worker_of(job));
        EXPECT_LE(time_to_restart(job, interval, 3 * longest_wait), longest_wait) << interval.count();
    }
}

// Guards against tasks that wait for another worker than their own, which is lost terms later.
TEST_F(takeover_series, lets_a_task_wait_for_its_own_worker_only)
{
    begin(old_age);
    m_simulation.lose(worker_of(m_jobs[0]));
    const auto lost = m_simulation.now();
    for (std::size_t next = 1; next < 3; ++next) {
        m_simulation.stop_decider(takeover_time);
        m_simulation.take_over();
        m_simulation.run_for(milliseconds{1'500});
        m_simulation.lose(worker_of(m_jobs[next]));
    }
    static_cast<void>(time_to_restart(m_jobs[0], milliseconds{2'500}, 3 * longest_wait));
    EXPECT_LE(m_simulation.now() - lost, longest_wait);
}

// Guards against a wait for a stale lease that begins anew with each decider. The lease itself may last longer than
// LOST allows for a worker that is lost.
TEST_F(takeover_series, does_not_prolong_the_wait_for_a_restarted_worker)
{
    begin(young_age);
    m_simulation.stop_decider(takeover_time);
    m_simulation.take_over();
    m_simulation.run_for(milliseconds{700});
    const auto id = worker_of(m_jobs.front());
    m_simulation.m_restart_keeps_id = true;
    m_simulation.m_restart_time = milliseconds{100};
    m_simulation.crash(id);
    m_simulation.run_for(milliseconds{600});
    const auto& state = m_simulation.m_state;
    const auto end = lease_end(state, state.m_workers[static_cast<std::size_t>(find_worker(state, id))]);
    ASSERT_GT(end, m_simulation.now() + longest_wait) << "holds no stale lease";
    m_simulation.worker(id.str()).m_reachable = false;
    for (const auto interval : {milliseconds{200}, milliseconds{1'000}, milliseconds{2'000}, milliseconds{3'000}}) {
        m_simulation.take_over();
        EXPECT_GE(expected_lease_end(state, id) + milliseconds{1}, end);
        EXPECT_LE(expected_lease_end(state, id), end + milliseconds{100});
        m_simulation.run_for(interval);
    }
}

// Guards against a task that starts while its worker, which has restarted, may still run it: the bound of a stale lease
// is kept over takeovers.
TEST_F(takeover_series, does_not_shorten_the_stale_lease_of_a_restarted_worker)
{
    begin(young_age);
    m_simulation.stop_decider(takeover_time);
    m_simulation.take_over();
    m_simulation.run_for(milliseconds{700});
    const auto id = worker_of(m_jobs.front());
    m_simulation.m_restart_keeps_id = true;
    m_simulation.m_restart_time = milliseconds{100};
    m_simulation.crash(id);
    m_simulation.run_for(milliseconds{600});
    const auto& state = m_simulation.m_state;
    const auto slot = [&]() -> const worker_slot& {
        return state.m_workers[static_cast<std::size_t>(find_worker(state, id))];
    };
    const auto end = lease_end(state, slot());
    for (int term = 0; term < 3; ++term) {
        m_simulation.stop_decider(takeover_time);
        m_simulation.take_over();
        m_simulation.run_for(milliseconds{200});
        EXPECT_GE(lease_end(state, slot()), end);
        EXPECT_FALSE(slot().m_takes_stale_leases);
    }
}

} // namespace cicadalug::test
