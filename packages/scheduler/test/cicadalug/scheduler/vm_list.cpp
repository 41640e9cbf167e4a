#include <cicadalug/scheduler/vm_list.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

constexpr time_point listing_time{milliseconds{10'000}};

[[nodiscard]] auto make_vms(const vm_phase phase) -> std::vector<vm_status>
{
    return {{vm_id{"vm1"}, service_id{"ledger"}, phase, {}, worker_id{"w1"}, {}}};
}

} // namespace

// Guards against decisions on a list that has not been renewed, as the interface to the VMs is unavailable.
TEST(vm_list, a_list_is_current_for_a_limited_time)
{
    EXPECT_FALSE(is_current({{}, listing_time}, listing_time)) << "the list has not been read";
    const vm_list list{make_vms(vm_phase::up), listing_time};
    EXPECT_TRUE(is_current(list, listing_time + max_vm_list_age));
    EXPECT_FALSE(is_current(list, listing_time + max_vm_list_age + milliseconds{1}));
}

// Guards against replacing a newer list by the late response to an older request.
TEST(vm_list, a_late_response_does_not_replace_a_newer_list)
{
    vm_list list;
    EXPECT_TRUE(update_vm_list(list, {make_vms(vm_phase::in_maintenance)}, listing_time));
    EXPECT_FALSE(update_vm_list(list, {make_vms(vm_phase::up)}, listing_time - milliseconds{1}));
    EXPECT_EQ(list.m_vms.front().m_phase, vm_phase::in_maintenance);
    EXPECT_EQ(list.m_requested, listing_time);
    EXPECT_TRUE(update_vm_list(list, {make_vms(vm_phase::up)}, listing_time + milliseconds{1}));
    EXPECT_EQ(list.m_vms.front().m_phase, vm_phase::up);
}

// Guards against treating a VM that is missing in the list as present.
TEST(vm_list, a_missing_vm_is_not_found)
{
    const auto vms = make_vms(vm_phase::up);
    EXPECT_EQ(find_vm(vms, vm_id{"vm1"}), vms.data());
    EXPECT_EQ(find_vm(vms, vm_id{"vm2"}), nullptr);
}

// Guards against treating a VM as removed because its row in the platform's list cannot be read.
TEST(vm_list, a_vm_that_could_not_be_read_is_kept)
{
    vm_list list;
    EXPECT_TRUE(update_vm_list(list, {make_vms(vm_phase::up)}, listing_time));
    const vm_status other{vm_id{"vm0"}, service_id{"ledger"}, vm_phase::up, {}, worker_id{"w0"}, {}};
    EXPECT_TRUE(update_vm_list(list, {{other}, true}, listing_time + milliseconds{1}));
    EXPECT_NE(find_vm(list.m_vms, vm_id{"vm0"}), nullptr);
    EXPECT_NE(find_vm(list.m_vms, vm_id{"vm1"}), nullptr);
    EXPECT_TRUE(update_vm_list(list, {{other}, false}, listing_time + milliseconds{2}));
    EXPECT_EQ(find_vm(list.m_vms, vm_id{"vm1"}), nullptr);
}

} // namespace cicadalug::test
