#include <cicadalug/report/fleet_metrics.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against a move that is counted twice or not at all, and against a count that stays after its phase is empty.
TEST(fleet_metrics, reports_phases_promised_vms_and_moves)
{
    fleet_view view;
    view.m_pools[pool_id{"quotes"}] = {pool_id{"quotes"}};
    view.m_services[service_id{"s"}].m_pool = pool_id{"quotes"};
    view.m_services[service_id{"s"}].m_promised_vms = 1;
    auto& record = view.m_vms[vm_id{"w1"}];
    record.m_pool = pool_id{"orders"};
    record.m_generation = 3;
    metrics target;
    fleet_metrics reporter{target};
    reporter.update(view);
    record.m_phase = vm_phase::announced;
    reporter.update(view);
    record.m_pool = pool_id{"quotes"};
    record.m_generation = 4;
    record.m_phase = vm_phase::serving;
    reporter.update(view);
    reporter.update(view);
    const auto text = target.text();
    for (const auto* line :
         {"cicadalug_vm_moves_total{source=\"orders\",target=\"quotes\"} 1\n",
          "cicadalug_promised_vms{pool=\"quotes\"} 1\n", "cicadalug_vms{phase=\"announced\",pool=\"orders\"} 0\n",
          "cicadalug_vms{phase=\"serving\",pool=\"quotes\"} 1\n"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }
}

} // namespace
