#include <cicadalug/fleet/zone_planning.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

const pool_id quotes{"quotes"};
const pool_id spare{"spare"};

[[nodiscard]] auto make_view() -> fleet_view
{
    fleet_view view;
    view.m_pools[quotes] = {quotes, false};
    view.m_pools[spare] = {spare, true};
    service declared;
    declared.m_id = service_id{"quotes"};
    declared.m_pool = quotes;
    view.m_services[declared.m_id] = declared;
    return view;
}

/** @brief A zone with VMs in both pools; the ledger of the service contains six more members in another zone. */
[[nodiscard]] auto make_state(const int in_quotes, const int in_spare) -> zone_control_state
{
    zone_control_state state;
    for (int index = 0; index < in_quotes + in_spare; ++index) {
        vm_record record;
        record.m_vm = vm_id{"vm-" + std::to_string(index)};
        record.m_pool = index < in_quotes ? quotes : spare;
        state.m_shards[0].m_value.m_vms.emplace(record.m_vm, record);
    }
    auto& ledger = state.m_ledgers[service_id{"quotes"}].m_value;
    ledger.m_promised_vms = 6;
    ledger.m_zones[availability_zone_id{"here"}].m_members = in_quotes;
    ledger.m_zones[availability_zone_id{"there"}].m_members = 6;
    return state;
}

// Guards against a zone that applies the promised capacity of all zones, or none of it, to its own pools.
TEST(zone_planning, promised_capacity_is_divided_by_members)
{
    const auto demands = zone_demands(make_state(6, 2), make_view(), {{quotes, 2}});
    EXPECT_EQ(demands.at(quotes).m_promised, 3);
    EXPECT_EQ(demands.at(quotes).m_movable, 6);
    EXPECT_EQ(demands.at(spare).m_members, 2);
}

// Guards against moving a VM for a surge of seconds, and against never moving one for sustained demand.
TEST(zone_planning, vms_move_only_for_sustained_demand)
{
    const auto state = make_state(6, 3);
    const auto view = make_view();
    planner_state planner;
    std::map<vm_id, pool_id> moves;
    for (int second = 0; second < 20; ++second) {
        moves = plan_zone(planner, state, view, {{quotes, 9}}, time_point{seconds{second}});
        ASSERT_TRUE(moves.empty());
    }
    for (int second = 20; second < 7'200 && moves.empty(); ++second) {
        moves = plan_zone(planner, state, view, {{quotes, 9}}, time_point{seconds{second}});
    }
    ASSERT_FALSE(moves.empty());
    EXPECT_EQ(moves.begin()->second, quotes);
}

// Guards against planning moves in a deployment without a spare pool, which has no target for them.
TEST(zone_planning, no_vm_moves_without_a_spare_pool)
{
    auto view = make_view();
    view.m_pools.erase(spare);
    planner_state planner;
    EXPECT_TRUE(plan_zone(planner, make_state(6, 0), view, {{quotes, 9}}, time_point{seconds{10'000}}).empty());
}

} // namespace
