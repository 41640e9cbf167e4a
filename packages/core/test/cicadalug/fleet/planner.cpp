#include <cicadalug/fleet/planner.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against moving a VM for a surge of seconds, and against never moving one for sustained demand.
TEST(planner, moves_for_sustained_demand_only)
{
    planner_state state;
    const pool_id spare{"spare"};
    const pool_demand spare_demand{0.0, 6, 4, 2};
    const planning_policy policy;
    int moved = 0;
    for (int second = 0; second < 3'600; second += 10) {
        const auto surge = second % 600 < 20;
        const auto plan = plan_moves(state, {{pool_id{"a"}, {surge ? 15.0 : 0.5, 10, 2, 4}}}, spare, spare_demand,
                                     policy, time_point{seconds{second}});
        moved += static_cast<int>(plan.m_transfers.size());
    }
    EXPECT_EQ(moved, 0);
    for (int second = 3'600; second < 9'000 && moved == 0; second += 10) {
        const auto plan = plan_moves(state, {{pool_id{"a"}, {10.0, 10, 2, 4}}}, spare, spare_demand, policy,
                                     time_point{seconds{second}});
        moved += plan.m_transfers.empty() ? 0 : plan.m_transfers.front().m_vms;
    }
    EXPECT_GT(moved, 0);
}

// Guards against weights without effect: a high weight of moves has to lengthen the time before a move.
TEST(planner, weights_change_the_averaging_period)
{
    EXPECT_GT(averaging_period({1.0, 1.0, 4.0}), averaging_period({1.0, 4.0, 1.0}));
}

// Guards against a selection that is revoked when its own charge exhausts the budget, and is then made again.
TEST(planner, keeps_a_selection_until_it_is_announced)
{
    vm_record record;
    record.m_vm = vm_id{"a"};
    record.m_pool = pool_id{"p"};
    const std::map<vm_id, const vm_record*> vms{{record.m_vm, &record}};
    planner_state state;
    EXPECT_EQ(choose_moves(state, {{{pool_id{"p"}, pool_id{"q"}, 1}}, 0}, vms, time_point{}).size(), 1U);
    EXPECT_EQ(choose_moves(state, {}, vms, time_point{seconds{1}}).size(), 1U);
    record.m_operation = operation_id{"move:a"};
    EXPECT_EQ(choose_moves(state, {}, vms, time_point{seconds{2}}).size(), 0U);
}

} // namespace
