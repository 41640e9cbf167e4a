#include <cicadalug/fleet/budget.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

const availability_zone_id zone{"z1"};
const operation_id operation{"wave:w"};

[[nodiscard]] auto ledger_with(const int members, const int promised, std::set<vm_id> unhealthy) -> budget_ledger
{
    budget_ledger ledger;
    ledger.m_pool = pool_id{"p"};
    ledger.m_promised_vms = promised;
    ledger.m_zones[zone] = {epoch{1}, members, std::move(unhealthy)};
    return ledger;
}

// Guards against ignoring the unhealthy VMs of a failing rack while two waves charge VMs.
TEST(budget, counts_unplanned_failures)
{
    auto ledger = ledger_with(10, 7, {vm_id{"a"}, vm_id{"b"}});
    const auto granted = charge_batch(ledger, zone, epoch{1}, {{vm_id{"c"}, operation}, {vm_id{"d"}, operation}});
    EXPECT_EQ(granted, std::set<vm_id>{vm_id{"c"}});
    EXPECT_EQ(available_vms(ledger), 7);
}

// Guards against counting a VM twice that is both unhealthy and charged.
TEST(budget, charges_an_unhealthy_vm_at_no_cost)
{
    auto ledger = ledger_with(10, 9, {vm_id{"a"}});
    EXPECT_EQ(charge_batch(ledger, zone, epoch{1}, {{vm_id{"a"}, operation}}).size(), 1U);
    EXPECT_EQ(available_vms(ledger), 9);
}

// Guards against never releasing a charge of a crashed holder, and against releasing a charge of another zone.
TEST(budget, releases_only_charges_of_the_own_zone_without_operation)
{
    auto ledger = ledger_with(3, 0, {});
    ledger.m_charges[vm_id{"a"}] = {operation, zone, epoch{1}};
    ledger.m_charges[vm_id{"b"}] = {operation, zone, epoch{1}};
    ledger.m_charges[vm_id{"c"}] = {operation, availability_zone_id{"z2"}, epoch{1}};
    service declared;
    declared.m_pool = pool_id{"p"};
    const zone_report report{zone, epoch{2}, {vm_id{"a"}, vm_id{"b"}}, {{vm_id{"b"}, operation}}, {}, {}};
    const auto next = reconcile(ledger, declared, report);
    EXPECT_FALSE(next.m_charges.contains(vm_id{"a"}));
    EXPECT_TRUE(next.m_charges.contains(vm_id{"b"}));
    EXPECT_TRUE(next.m_charges.contains(vm_id{"c"}));
    EXPECT_TRUE(is_fenced(next, zone, epoch{1}));
}

} // namespace
