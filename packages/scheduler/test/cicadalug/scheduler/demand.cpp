#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/demand.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against holding VMs for work that waits for earlier steps of its job.
TEST(demand, work_that_cannot_run_yet_needs_no_capacity)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 9);
    auto job = make_job("quotes", 1, 1'000, milliseconds{30'000});
    auto second = job.m_spec.m_steps.front();
    second.m_count = 500;
    second.m_after = {0};
    job.m_spec.m_steps.push_back(second);
    update_demand(simulation.m_demand, simulation.m_state, simulation.now());
    static_cast<void>(simulation.submit(job));
    simulation.run_for(milliseconds{10'000});
    update_demand(simulation.m_demand, simulation.m_state, simulation.now());
    update_demand(simulation.m_demand, simulation.m_state, simulation.now() + milliseconds{20'000});
    EXPECT_LT(target_cores(simulation.m_demand, service_id{"quotes"}, simulation.now()), 3.0);
}

// Guards against preparing for surges of a pattern that has ended.
TEST(demand, a_surge_that_does_not_come_is_not_expected_again)
{
    scheduler_simulation simulation;
    simulation.add_vms("quotes", 1);
    auto& demand = simulation.m_demand;
    update_demand(demand, simulation.m_state, simulation.now());
    demand.m_successions[service_id{"orders"}] = {service_id{"quotes"}, milliseconds{4'000}};
    demand.m_services[service_id{"quotes"}].m_expected_surge = simulation.now() + milliseconds{1'000};
    demand.m_services[service_id{"quotes"}].m_peak_cores = 200.0;
    EXPECT_GT(target_cores(demand, service_id{"quotes"}, simulation.now()), 199.0);
    const auto later = simulation.now() + milliseconds{1'100} + demand.m_settings.m_expectation_timeout;
    update_demand(demand, simulation.m_state, later);
    EXPECT_LT(target_cores(demand, service_id{"quotes"}, later), 1.0);
    EXPECT_TRUE(demand.m_successions.empty());
}

// Guards against a first round of surges for which no capacity is prepared.
TEST(demand, services_that_have_not_surged_yet_share_the_prepared_capacity)
{
    demand_state demand;
    for (const auto* name : {"quotes", "orders", "ledger", "returns"}) {
        demand.m_services[service_id{name}].m_own_cores = 300.0;
    }
    const time_point begin{milliseconds{100'000}};
    demand.m_services[service_id{"quotes"}].m_last_surge_begin = begin - milliseconds{8'000};
    demand.m_services[service_id{"quotes"}].m_peak_cores = 660.0;
    demand.m_services[service_id{"orders"}].m_last_surge_begin = begin;
    demand.m_surge_interval = milliseconds{8'000};
    expect_next_surge(demand, service_id{"orders"}, begin);
    EXPECT_LT(target_cores(demand, service_id{"ledger"}, begin + milliseconds{1'000}), 1.0);
    const auto shortly_before = begin + milliseconds{7'000};
    EXPECT_NEAR(target_cores(demand, service_id{"ledger"}, shortly_before), 330.0, 1.0);
    EXPECT_NEAR(target_cores(demand, service_id{"returns"}, shortly_before), 330.0, 1.0);
    EXPECT_LT(needed_cores(demand, service_id{"ledger"}, shortly_before), 1.0) << "the other service may surge next";
    EXPECT_LT(target_cores(demand, service_id{"quotes"}, shortly_before), 1.0);
}

// Guards against sizing surges by the few workers that have registered when a decider begins its term.
TEST(demand, own_capacity_is_that_of_the_listed_vms)
{
    scheduler_simulation simulation;
    simulation.add_vms("quotes", 9);
    simulation.add_standby("spare", 2);
    simulation.m_state.m_workers.resize(1);
    auto& demand = simulation.m_demand;
    record_own_capacity(demand, simulation.m_vms, simulation.m_standby);
    EXPECT_EQ(demand.m_services[service_id{"quotes"}].m_own_cores, 9 * 32.0);
    EXPECT_EQ(demand.m_services[service_id{"spare"}].m_own_cores, 0.0);
    simulation.add_vms("quotes", 3);
    record_own_capacity(demand, simulation.m_vms, simulation.m_standby);
    EXPECT_EQ(demand.m_services[service_id{"quotes"}].m_own_cores, 9 * 32.0) << "borrowed VMs are not the pool's own";
}

} // namespace cicadalug::test
