#include <cicadalug/fleet/ownership.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

[[nodiscard]] auto announced_move() -> vm_record
{
    vm_record record;
    record.m_vm = vm_id{"a"};
    record.m_pool = pool_id{"p"};
    return announce(record, make_operation_id(operation_kind::move, "a"), pool_id{"q"}, version{7}, 1);
}

// Guards against completing a move because of a confirmation of an earlier operation or of an earlier incarnation of an
// entry VM.
TEST(ownership, requires_confirmation_of_the_current_announcement_by_every_entry_vm)
{
    const auto record = announced_move();
    std::vector<entry_vm_presence> entry_vms{{entry_vm_id{"e1"}, incarnation{1}, false},
                                             {entry_vm_id{"e2"}, incarnation{2}, false}};
    drain_confirmations received;
    receive_confirmation(received, {entry_vm_id{"e1"}, incarnation{1}, vm_id{"a"}, version{7}});
    receive_confirmation(received, {entry_vm_id{"e2"}, incarnation{1}, vm_id{"a"}, version{7}});
    EXPECT_FALSE(is_drained(record, entry_vms, received));
    receive_confirmation(received, {entry_vm_id{"e2"}, incarnation{2}, vm_id{"a"}, version{6}});
    EXPECT_FALSE(is_drained(record, entry_vms, received));
    receive_confirmation(received, {entry_vm_id{"e2"}, incarnation{2}, vm_id{"a"}, version{7}});
    receive_confirmation(received, {entry_vm_id{"e2"}, incarnation{2}, vm_id{"a"}, version{6}});
    EXPECT_TRUE(is_drained(record, entry_vms, received));
    entry_vms.push_back({entry_vm_id{"e3"}, incarnation{1}, false});
    EXPECT_FALSE(is_drained(record, entry_vms, received));
    entry_vms.back().m_is_removed = true;
    EXPECT_TRUE(is_drained(record, entry_vms, received));
}

// Guards against treating a drain timeout as a confirmation: a timeout cancels an operation and never completes it.
TEST(ownership, drain_timeout_cancels_the_operation)
{
    vm_facts facts;
    facts.m_time_in_phase = seconds{100};
    const auto next = advance_operation(announced_move(), facts, {seconds{60}, seconds{60}});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->m_pool, pool_id{"p"});
    EXPECT_EQ(next->m_last_outcome, operation_outcome::not_drained);
}

// Guards against sending work to a VM that did not reboot or never returned.
TEST(ownership, vm_that_does_not_return_is_set_aside_until_an_operator_acts)
{
    auto record = announced_move();
    record.m_phase = vm_phase::rebooting;
    vm_facts facts;
    facts.m_boot = 1;
    EXPECT_FALSE(advance_operation(record, facts, {seconds{60}, seconds{60}}));
    facts.m_time_in_phase = seconds{60};
    auto next = advance_operation(record, facts, {seconds{60}, seconds{60}});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->m_phase, vm_phase::set_aside);
    EXPECT_FALSE(advance_operation(*next, facts, {}));
    facts.m_reclaimed = true;
    EXPECT_EQ(advance_operation(*next, facts, {})->m_phase, vm_phase::draining);
}

} // namespace
