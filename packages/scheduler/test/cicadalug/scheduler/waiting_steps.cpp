#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/waiting_steps.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

[[nodiscard]] auto collect(const scheduler_simulation& simulation, const bool recovered) -> std::vector<waiting_step>
{
    const auto& state = simulation.m_state;
    return collect_waiting(state, state.m_active.at(service_id{"quotes"}), recovered, simulation.now());
}

} // namespace

// Guards against a job that can only be late being started before one that can be in time.
TEST(waiting_steps, urgency_goes_before_priority_and_priority_before_the_deadline)
{
    scheduler_simulation simulation;
    auto hopeless = make_job("quotes", 1, 1'000, milliseconds{5'000});
    hopeless.m_policy.m_stretch = 0.1;
    hopeless.m_policy.m_target = milliseconds{0};
    auto unimportant = make_job("quotes", 1, 1'000, milliseconds{500});
    unimportant.m_policy.m_priority = 1;
    const auto late = simulation.submit(hopeless);
    const auto last_in_time = simulation.submit(unimportant);
    const auto second = simulation.submit(make_job("quotes", 1, 1'000, milliseconds{900}));
    const auto first = simulation.submit(make_job("quotes", 1, 1'000, milliseconds{500}));
    std::vector<job_id> order;
    for (const auto& step : collect(simulation, true)) {
        order.push_back(step.m_job->m_record.m_id);
    }
    EXPECT_EQ(order, (std::vector{first, second, last_in_time, late}));
}

// Guards against a second run of a task whose run of an earlier term may still be found.
TEST(waiting_steps, opened_steps_of_an_earlier_term_wait_for_the_recovery)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    static_cast<void>(simulation.submit(make_job("quotes", 1, 1'000, milliseconds{5'000})));
    simulation.run_for(milliseconds{200});
    simulation.take_over();
    EXPECT_TRUE(collect(simulation, false).empty());
    EXPECT_EQ(collect(simulation, true).size(), 1U);
}

// Guards against more and more ends that cannot be acknowledged: workers list only the first of them, so that those of
// other jobs would be missing.
TEST(waiting_steps, a_job_that_the_store_refuses_starts_nothing_until_it_is_stored)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    const auto id = simulation.submit(make_job("quotes", 30, 1'000, milliseconds{100}));
    simulation.run_for(milliseconds{50});
    const auto started = simulation.total_starts();
    ASSERT_GT(started, 0);
    auto& job = *find_job(simulation.m_state, id);
    simulation.m_store_up = false;
    job.m_refused = true;
    simulation.run_for(milliseconds{500});
    EXPECT_EQ(simulation.total_starts(), started);
    simulation.m_store_up = true;
    simulation.run_for(milliseconds{2'000});
    EXPECT_EQ(simulation.stored_state(id), job_state::completed);
}

} // namespace cicadalug::test
