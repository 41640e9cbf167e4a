#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/needed_workers.hpp>

#include <gtest/gtest.h>

#include <set>

namespace cicadalug::test {

namespace {

/** @brief A pool of three workers with a waiting long-running step. */
class needed_workers_test : public ::testing::Test {
protected:
    needed_workers_test() { m_simulation.begin_with("quotes", 3); }

    [[nodiscard]] auto find(const std::set<worker_index>& releasable) -> std::set<worker_index>
    {
        return find_needed_workers(m_simulation.m_state, releasable, m_simulation.now());
    }

    auto cordon(const std::set<worker_index>& workers) -> void
    {
        for (const auto index : workers) {
            m_simulation.m_state.m_workers[static_cast<std::size_t>(index)].m_cordoned = true;
        }
    }

    scheduler_simulation m_simulation;
};

} // namespace

// Guards against cordons that keep the workers closed for which a task waits.
TEST_F(needed_workers_test, one_cordoned_worker_is_released_if_no_other_has_room)
{
    static_cast<void>(m_simulation.submit(make_long_running_job("quotes", 2, 1)));
    cordon({0, 1, 2});
    EXPECT_EQ(find({1, 2}).size(), 1U);
    EXPECT_TRUE(find({}).empty()) << "none may be released";
}

// Guards against cordoning the only worker with room just before the task starts there.
TEST_F(needed_workers_test, the_only_accepting_worker_with_room_is_needed)
{
    static_cast<void>(m_simulation.submit(make_long_running_job("quotes", 1, 1)));
    EXPECT_TRUE(find({}).empty()) << "each can replace the other";
    m_simulation.set_capacity(worker_id{"w1"}, 1'000);
    m_simulation.set_capacity(worker_id{"w3"}, 1'000);
    EXPECT_EQ(find({}), std::set<worker_index>{1});
}

// Guards against waves that are held up by tasks that would not start if the cordons ended.
TEST_F(needed_workers_test, no_worker_is_needed_by_a_task_that_has_room_on_none)
{
    auto job = make_long_running_job("quotes", 1, 1);
    job.m_spec.m_steps.front().m_demand.m_cpu = millicores{100'000};
    static_cast<void>(m_simulation.submit(job));
    auto labelled = make_long_running_job("quotes", 1, 1);
    labelled.m_spec.m_steps.front().m_required_label = "none has this";
    static_cast<void>(m_simulation.submit(labelled));
    cordon({0, 1});
    EXPECT_TRUE(find({0, 1}).empty());
}

// Guards against a gang that waits because only some of its members have room on workers that accept work.
TEST_F(needed_workers_test, a_gang_needs_room_for_all_its_members)
{
    auto gang = make_long_running_job("quotes", 4, 1);
    gang.m_spec.m_steps.front().m_gang = true;
    gang.m_spec.m_steps.front().m_max_per_worker = 2;
    static_cast<void>(m_simulation.submit(gang));
    EXPECT_TRUE(find({}).empty());
    cordon({0, 1});
    EXPECT_EQ(find({0, 1}), (std::set<worker_index>{0, 2}));
}

// Guards against work for the processor on steps that do not wait, and against missing those that do.
TEST_F(needed_workers_test, only_waiting_long_running_steps_whose_turn_has_come_are_found)
{
    static_cast<void>(m_simulation.submit(make_job("quotes", 1, 100'000, milliseconds{500})));
    auto job = make_long_running_job("quotes", 1, 1);
    job.m_spec.m_steps.push_back(job.m_spec.m_steps.front());
    job.m_spec.m_steps.back().m_after.push_back(0);
    const auto id = m_simulation.submit(job);
    const auto waiting = find_waiting_long_running_steps(m_simulation.m_state);
    ASSERT_EQ(waiting.size(), 1U);
    EXPECT_EQ(waiting.front().m_first, (task_ref{id, 0, 0, 0}));
    m_simulation.run_for(milliseconds{100});
    EXPECT_TRUE(find_waiting_long_running_steps(m_simulation.m_state).empty());
}

} // namespace cicadalug::test
