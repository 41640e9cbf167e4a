#include "fleet_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

namespace cicadalug::test {

static auto showValue(const simulation_event& event, std::ostream& stream) -> void // NOLINT
{
    stream << '{' << event.m_kind << ", " << event.m_first << ", " << event.m_second << '}';
}

} // namespace cicadalug::test

namespace {

using namespace cicadalug;
using namespace cicadalug::test;

[[nodiscard]] auto histories() -> rc::Gen<std::vector<simulation_event>>
{
    constexpr unsigned kinds = 4 + 12 * 16;
    constexpr unsigned choices = 1'000;
    return rc::gen::scale(6.0, rc::gen::container<std::vector<simulation_event>>(rc::gen::build<simulation_event>(
                                   rc::gen::set(&simulation_event::m_kind, rc::gen::inRange(0U, kinds)),
                                   rc::gen::set(&simulation_event::m_first, rc::gen::inRange(0U, choices)),
                                   rc::gen::set(&simulation_event::m_second, rc::gen::inRange(0U, choices)))));
}

// Guards against broken promised capacity, a VM with two pools and an interrupted request, under lost, delayed and
// repeated messages, holders that were paused or replaced between any two steps, failing racks, two waves and two
// operators.
RC_GTEST_PROP(zone_control_step, keeps_the_invariants_after_every_event, ())
{
    fleet_simulation simulation;
    for (const auto& event : *histories()) {
        simulation.apply(event);
        RC_ASSERT(simulation.violations() == std::vector<std::string>{});
    }
    RC_TAG(simulation.moves() > 0 ? "moves" : "no move", simulation.reboots() > 0 ? "reboots" : "no reboot");
    simulation.run_until_settled();
    RC_ASSERT(simulation.violations() == std::vector<std::string>{});
    RC_ASSERT(simulation.unfinished_waves() == std::vector<std::string>{});
    RC_ASSERT(simulation.charges_without_operation() == std::vector<std::string>{});
}

// Guards against a simulation that does nothing and therefore never breaks an invariant.
TEST(zone_control_step, maintains_every_vm_of_both_waves)
{
    fleet_simulation simulation;
    simulation.run_until_settled();
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
    EXPECT_EQ(simulation.unfinished_waves(), std::vector<std::string>{});
    // Two zones with 3 VMs of each pool; the VMs of the pool that is part of both waves are rebooted twice.
    EXPECT_EQ(simulation.reboots(), 24U);
}

// Guards against a write that takes effect after the holder has abandoned its operation: the key is overwritten first.
TEST(zone_control_step, overwrites_a_key_whose_write_may_be_delayed)
{
    zone_control_state state;
    state.m_availability_zone = availability_zone_id{"z1"};
    state.m_epoch = epoch{3};
    const fleet_view view;
    zone_control_inputs inputs;
    inputs.m_view = &view;
    inputs.m_listed.emplace();
    const auto key = vm_shard_key(state.m_availability_zone, 0);
    const auto value = vm_shard_to_json({epoch{3}, write_id{"w"}, {}});
    ASSERT_TRUE(apply_value(state, key, version{5}, value).empty());
    EXPECT_TRUE(zone_control_step(state, inputs, time_point{}).m_writes.empty());

    ASSERT_TRUE(apply_reread(state, {key, version{5}, write_id{"late"}, {}}, version{5}, value).empty());
    const auto writes = zone_control_step(state, inputs, time_point{}).m_writes;
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_EQ(writes[0].m_key, key);
    EXPECT_EQ(writes[0].m_expected, version{5});
}

[[nodiscard]] auto make_state(const std::uint64_t own_epoch) -> zone_control_state
{
    zone_control_state state;
    state.m_availability_zone = availability_zone_id{"z1"};
    state.m_epoch = epoch{own_epoch};
    return state;
}

// Guards against a new holder that releases a charge before a delayed announcement of the paused holder is certain to
// fail.
TEST(zone_control_step, raises_the_epoch_of_the_records_before_anything_else)
{
    auto state = make_state(3);
    fleet_view view;
    view.m_services[service_id{"s"}].m_id = service_id{"s"};
    zone_control_inputs inputs;
    inputs.m_view = &view;
    budget_ledger ledger;
    ledger.m_service = service_id{"s"};
    ledger.m_charges[vm_id{"a"}] = {operation_id{"move:a"}, state.m_availability_zone, epoch{2}};
    const auto key = vm_shard_key(state.m_availability_zone, 0);
    ASSERT_TRUE(apply_value(state, key, version{5}, vm_shard_to_json({epoch{2}, write_id{"w"}, {}})).empty());
    ASSERT_TRUE(apply_value(state, "budget/s", version{6}, budget_ledger_to_json(ledger)).empty());

    const auto first = zone_control_step(state, inputs, time_point{}).m_writes;
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].m_key, key);
    EXPECT_EQ(first[0].m_value["epoch"], 3);
    EXPECT_TRUE(zone_control_step(state, inputs, time_point{}).m_writes.empty());
    ASSERT_TRUE(apply_value(state, key, version{7}, first[0].m_value).empty());
    const auto second = zone_control_step(state, inputs, time_point{}).m_writes;
    ASSERT_EQ(second.size(), 1U);
    EXPECT_TRUE(second[0].m_value["charges"].empty());
}

// Guards against a paused holder that continues after another one took over, whether it detects this first in the
// records or in a ledger.
TEST(zone_control_step, stops_at_a_higher_epoch)
{
    auto state = make_state(3);
    ASSERT_TRUE(apply_value(state, vm_shard_key(state.m_availability_zone, 0), version{5},
                            vm_shard_to_json({epoch{4}, write_id{"w"}, {}}))
                    .empty());
    EXPECT_TRUE(state.m_fenced);

    auto other = make_state(3);
    budget_ledger ledger;
    ledger.m_zones[availability_zone_id{"z2"}].m_epoch = epoch{9};
    ASSERT_TRUE(apply_value(other, "budget/s", version{5}, budget_ledger_to_json(ledger)).empty());
    EXPECT_FALSE(other.m_fenced);
    ledger.m_zones[other.m_availability_zone].m_epoch = epoch{4};
    ASSERT_TRUE(apply_value(other, "budget/s", version{6}, budget_ledger_to_json(ledger)).empty());
    EXPECT_TRUE(other.m_fenced);
}

} // namespace
