#include <cicadalug/fleet/thermal.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cicadalug;

[[nodiscard]] auto make_room(const int draw, const int spare) -> room_load
{
    return {watts{1'000},
            watts{draw},
            {{service_id{"quotes"},
              {{degradation_action::throttle, 4, watts{50}}, {degradation_action::stop, 4, watts{200}}},
              10,
              spare}}};
}

// Guards against a plan that breaks the promised capacity, does not report its shortfall, or ignores the declared
// order.
RC_GTEST_PROP(thermal, never_breaks_the_promised_capacity_and_reports_the_shortfall, ())
{
    const auto spare = *rc::gen::inRange(-2, 6);
    const auto draw = *rc::gen::inRange(500, 3'000);
    const auto load = make_room(draw, spare);
    const auto plan = plan_degradation(load, load.m_limit);
    const auto& levels = plan.m_levels.at(service_id{"quotes"});
    RC_ASSERT(levels[1] <= std::max(0, spare));
    RC_ASSERT(levels[1] == 0 || levels[0] == 4);
    RC_ASSERT(plan.m_saved == watts{levels[0] * 50 + levels[1] * 200});
    RC_ASSERT(plan.m_shortfall == std::max(watts{0}, watts{draw - 1'000} - plan.m_saved));
    RC_ASSERT(plan.m_shortfall == watts{0} || levels[1] == std::min(4, std::max(0, spare)));
}

// Guards against returning and removing capacity with each small change of the power drawn.
TEST(thermal, returns_capacity_only_after_a_sustained_margin)
{
    thermal_state state;
    const service_id id{"quotes"};
    update_thermal_state(state, make_room(1'100, 2), time_point{});
    EXPECT_EQ(state.m_plan.m_levels[id][0], 2);
    update_thermal_state(state, make_room(1'040, 2), time_point{seconds{400}});
    EXPECT_EQ(state.m_plan.m_levels[id][0], 2);
    update_thermal_state(state, make_room(900, 2), time_point{seconds{500}});
    update_thermal_state(state, make_room(900, 2), time_point{seconds{799}});
    EXPECT_EQ(state.m_plan.m_levels[id][0], 2);
    update_thermal_state(state, make_room(900, 2), time_point{seconds{800}});
    EXPECT_EQ(state.m_plan.m_levels[id][0], 0);
}

} // namespace
