#include "fleet_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

namespace cicadalug::test {

static auto showValue(const world_event& event, std::ostream& stream) -> void // NOLINT
{
    stream << '{' << event.m_kind << ", " << event.m_first << ", " << event.m_second << '}';
}

} // namespace cicadalug::test

namespace {

using namespace cicadalug;
using namespace cicadalug::test;

[[nodiscard]] auto histories() -> rc::Gen<std::vector<world_event>>
{
    constexpr unsigned kinds = 4 + 12 * 16;
    constexpr unsigned choices = 1'000;
    return rc::gen::scale(6.0, rc::gen::container<std::vector<world_event>>(rc::gen::build<world_event>(
                                   rc::gen::set(&world_event::m_kind, rc::gen::inRange(0U, kinds)),
                                   rc::gen::set(&world_event::m_first, rc::gen::inRange(0U, choices)),
                                   rc::gen::set(&world_event::m_second, rc::gen::inRange(0U, choices)))));
}

// Guards against a broken promise, a VM with two pools and a cut request, under lost, late and repeated messages,
// holders that were paused or replaced between any two steps, failing racks, two waves and two operators.
RC_GTEST_PROP(control_step, keeps_the_invariants_after_every_event, ())
{
    fleet_world world;
    for (const auto& event : *histories()) {
        world.apply(event);
        RC_ASSERT(world.violations() == std::vector<std::string>{});
    }
    RC_TAG(world.moves() > 0 ? "moves" : "no move", world.reboots() > 0 ? "reboots" : "no reboot");
    world.calm_down();
    RC_ASSERT(world.violations() == std::vector<std::string>{});
    RC_ASSERT(world.unaccounted() == std::vector<std::string>{});
    RC_ASSERT(world.idle_charges() == std::vector<std::string>{});
}

// Guards against a model that does nothing and therefore never breaks an invariant.
TEST(control_step, maintains_every_vm_of_both_waves)
{
    fleet_world world;
    world.calm_down();
    EXPECT_EQ(world.violations(), std::vector<std::string>{});
    EXPECT_EQ(world.unaccounted(), std::vector<std::string>{});
    // Two zones with 3 VMs of each pool; the pool of both waves is maintained twice.
    EXPECT_EQ(world.reboots(), 24U);
}

// Guards against a write that takes effect after the holder has given its purpose up: the key is overwritten first.
TEST(control_step, overwrites_a_key_whose_write_may_come_late)
{
    control_state state;
    state.m_availability_zone = availability_zone_id{"z1"};
    state.m_epoch = epoch{3};
    const fleet_view view;
    control_inputs inputs;
    inputs.m_view = &view;
    inputs.m_listed.emplace();
    const auto key = vm_shard_key(state.m_availability_zone, 0);
    const auto value = vm_shard_to_json({epoch{3}, write_id{"w"}, {}});
    ASSERT_TRUE(apply_value(state, key, version{5}, value).empty());
    EXPECT_TRUE(control_step(state, inputs, time_point{}).m_writes.empty());

    ASSERT_TRUE(apply_reread(state, {key, version{5}, write_id{"late"}, {}}, version{5}, value).empty());
    const auto writes = control_step(state, inputs, time_point{}).m_writes;
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_EQ(writes[0].m_key, key);
    EXPECT_EQ(writes[0].m_expected, version{5});
}

// Guards against a paused holder that goes on after another one took over.
TEST(control_step, stops_at_a_higher_epoch)
{
    control_state state;
    state.m_availability_zone = availability_zone_id{"z1"};
    state.m_epoch = epoch{3};
    ASSERT_TRUE(apply_value(state, vm_shard_key(state.m_availability_zone, 0), version{5},
                            vm_shard_to_json({epoch{4}, write_id{"w"}, {}}))
                    .empty());
    EXPECT_TRUE(state.m_fenced);
}

} // namespace
