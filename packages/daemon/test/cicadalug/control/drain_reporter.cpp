#include <cicadalug/control/drain_reporter.hpp>

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace cicadalug;

// Guards against confirming a VM with work in flight, one that was not announced, or more than a datagram can carry.
TEST(drain_reporter, confirms_announced_vms_without_work_in_flight)
{
    constexpr int count = 40;
    fleet_view view;
    for (int number = 0; number < count; ++number) {
        vm_record record;
        record.m_vm = vm_id{"a-rather-long-name-of-a-virtual-machine-" + std::to_string(number)};
        record.m_phase = number == 0 ? vm_phase::serving : vm_phase::announced;
        record.m_announcement = version{7};
        view.m_vms.emplace(record.m_vm, record);
    }
    const auto busy = std::next(view.m_vms.begin(), 5)->first;
    int confirmed = 0;
    for (const auto& message : make_drained(view, [&busy](const vm_id& vm) { return vm == busy; })) {
        EXPECT_TRUE(encode({entry_vm_id{"entry-vm-1"}, incarnation{1}, message}));
        for (const auto& vm : message.m_vms) {
            EXPECT_EQ(vm.m_version, version{7});
            EXPECT_NE(vm.m_vm, busy);
            ++confirmed;
        }
    }
    EXPECT_EQ(confirmed, count - 2);
}

} // namespace
