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

} // namespace cicadalug::test
