#include "scheduler_simulation.hpp"

#include <gtest/gtest.h>

#include <cstdint>

namespace cicadalug::test {

namespace {

/** @brief Submits more work than two workers can do, in tasks of 4 cores that end at different times. */
auto saturate_for(scheduler_simulation& simulation, const milliseconds time) -> void
{
    constexpr milliseconds interval{20};
    std::int64_t number{0};
    for (const auto end = simulation.now() + time; simulation.now() < end; ++number) {
        static_cast<void>(simulation.submit(make_job("quotes", 1, 4'000, milliseconds{600 + 70 * (number % 7)})));
        simulation.run_for(interval);
    }
}

[[nodiscard]] auto make_wide_job(const std::int64_t tasks, const std::int64_t cpu) -> job_record
{
    auto record = make_long_running_job("quotes", tasks, 0);
    record.m_spec.m_steps.front().m_demand.m_cpu = millicores{cpu};
    record.m_spec.m_steps.front().m_max_per_worker = 1;
    return record;
}

} // namespace

// Guards against a long-running task that never starts, since smaller tasks take each core that becomes free.
TEST(long_running_room, a_long_running_task_is_not_starved_by_smaller_tasks)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    saturate_for(simulation, milliseconds{2'000});
    const auto job = simulation.submit(make_wide_job(2, 12'000));
    saturate_for(simulation, milliseconds{3'000});
    EXPECT_EQ(simulation.starts_of({job, 0, 0, 0}), 1);
    EXPECT_EQ(simulation.starts_of({job, 0, 0, 1}), 1);
}

// Guards against a long-running task that may have crashed a worker and is never tried, since smaller tasks take each
// core that becomes free.
TEST(long_running_room, a_long_running_suspect_is_not_starved_by_smaller_tasks)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    saturate_for(simulation, milliseconds{2'000});
    const auto job = simulation.submit(make_wide_job(1, 12'000));
    find_task(simulation.m_state, {job, 0, 0, 0})->m_suspect = true;
    saturate_for(simulation, milliseconds{4'000});
    EXPECT_EQ(simulation.starts_of({job, 0, 0, 0}), 1);
}

// Guards against a long-running task that waits because the worker that has room for it is kept free for a larger one.
TEST(long_running_room, a_worker_kept_free_takes_other_long_running_tasks)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    static_cast<void>(simulation.submit(make_job("quotes", 1, 24'000, milliseconds{5'000})));
    simulation.run_for(milliseconds{100});
    const auto large = simulation.submit(make_wide_job(1, 30'000));
    simulation.run_for(milliseconds{100});
    const auto small = simulation.submit(make_wide_job(1, 2'000));
    const auto other = simulation.submit(make_job("quotes", 1, 2'000, milliseconds{500}));
    simulation.run_for(milliseconds{500});
    EXPECT_EQ(simulation.starts_of({large, 0, 0, 0}), 0);
    EXPECT_EQ(simulation.starts_of({small, 0, 0, 0}), 1);
    EXPECT_EQ(simulation.starts_of({other, 0, 0, 0}), 0);
}

// Guards against a pool that gets no worker for its long-running tasks, as another one without any worker needs none.
TEST(long_running_room, a_pool_without_workers_that_needs_none_holds_up_no_other)
{
    scheduler_simulation simulation;
    simulation.add_vms("archive", 1);
    simulation.add_vms("quotes", 3);
    simulation.add_standby("spare", 2);
    simulation.run_for(milliseconds{210});
    simulation.lose(worker_id{"w1"});
    const auto job = simulation.submit(make_wide_job(4, 2'000));
    simulation.run_for(milliseconds{4'000});
    for (std::int64_t index = 0; index < 4; ++index) {
        EXPECT_EQ(simulation.starts_of({job, 0, 0, index}), 1) << index;
    }
}

// Guards against long-running tasks without a worker, since moves have left fewer workers than a step needs with its
// limit for each of them.
TEST(long_running_room, moves_leave_a_worker_for_each_task_of_a_step_with_a_limit)
{
    scheduler_simulation simulation;
    simulation.add_vms("quotes", 9);
    simulation.add_vms("orders", 9);
    simulation.add_standby("spare", 1);
    simulation.run_for(milliseconds{210});
    const auto job = simulation.submit(make_wide_job(8, 2'000));
    simulation.run_for(milliseconds{500});
    for (int tick = 0; tick < 100; ++tick) {
        for (int number = 0; number < 5; ++number) {
            static_cast<void>(simulation.submit(make_job("orders", 6, 3'000, milliseconds{900})));
        }
        simulation.run_for(milliseconds{100});
    }
    ASSERT_GT(simulation.m_move_count, 0);
    // Workers that are lost for good, each with a task: others have to come from the pools that took them.
    const auto running = [&] {
        std::int64_t count{0};
        for (std::int64_t index = 0; index < 8; ++index) {
            count += find_task(simulation.m_state, {job, 0, 0, index})->m_phase == task_phase::running ? 1 : 0;
        }
        return count;
    };
    ASSERT_EQ(running(), 8);
    for (int lost = 0; lost < 3; ++lost) {
        const auto task = find_task(simulation.m_state, {job, 0, 0, lost});
        simulation.lose(simulation.m_state.m_workers.at(static_cast<std::size_t>(task->m_worker)).m_entry.m_id);
    }
    // The leases of the lost workers, a move, and the rule's 3 s.
    for (int tick = 0; tick < 70; ++tick) {
        for (int number = 0; number < 5; ++number) {
            static_cast<void>(simulation.submit(make_job("orders", 6, 3'000, milliseconds{900})));
        }
        simulation.run_for(milliseconds{100});
    }
    EXPECT_EQ(running(), 8);
}

} // namespace cicadalug::test
