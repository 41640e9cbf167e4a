#include <cicadalug/fleet/ownership.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

[[nodiscard]] auto announced_move() -> vm_record
{
    vm_record record;
    record.m_vm = vm_id{"a"};
    record.m_pool = pool_id{"p"};
    return announce(record, make_operation(operation_kind::move, "a"), pool_id{"q"}, version{7}, 1);
}

// Guards against committing a move on a confirmation of an earlier operation, or of an earlier start of an entry VM.
TEST(ownership, waits_for_the_confirmation_of_this_announcement_by_every_entry_vm)
{
    const auto record = announced_move();
    std::vector<entry_vm_presence> entry_vms{{entry_vm_id{"e1"}, incarnation{1}, false},
                                             {entry_vm_id{"e2"}, incarnation{2}, false}};
    drain_confirmations heard;
    receive_confirmation(heard, {entry_vm_id{"e1"}, incarnation{1}, vm_id{"a"}, version{7}});
    receive_confirmation(heard, {entry_vm_id{"e2"}, incarnation{1}, vm_id{"a"}, version{7}});
    EXPECT_FALSE(is_drained(record, entry_vms, heard));
    receive_confirmation(heard, {entry_vm_id{"e2"}, incarnation{2}, vm_id{"a"}, version{6}});
    EXPECT_FALSE(is_drained(record, entry_vms, heard));
    receive_confirmation(heard, {entry_vm_id{"e2"}, incarnation{2}, vm_id{"a"}, version{7}});
    receive_confirmation(heard, {entry_vm_id{"e2"}, incarnation{2}, vm_id{"a"}, version{6}});
    EXPECT_TRUE(is_drained(record, entry_vms, heard));
    entry_vms.push_back({entry_vm_id{"e3"}, incarnation{1}, false});
    EXPECT_FALSE(is_drained(record, entry_vms, heard));
    entry_vms.back().m_known_gone = true;
    EXPECT_TRUE(is_drained(record, entry_vms, heard));
}

// Guards against a timeout that stands in for a confirmation: it may cancel an operation, never complete it.
TEST(ownership, a_drain_timeout_cancels)
{
    vm_facts facts;
    facts.m_in_phase = seconds{100};
    const auto next = advance(announced_move(), facts, {seconds{60}, seconds{60}});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->m_pool, pool_id{"p"});
    EXPECT_EQ(next->m_last_outcome, operation_outcome::not_drained);
}

// Guards against a VM that stays in its old boot or never comes back and is given work again.
TEST(ownership, a_vm_that_does_not_come_back_is_set_aside_until_an_operator_acts)
{
    auto record = announced_move();
    record.m_phase = vm_phase::rebooting;
    vm_facts facts;
    facts.m_boot = 1;
    EXPECT_FALSE(advance(record, facts, {seconds{60}, seconds{60}}));
    facts.m_in_phase = seconds{60};
    auto aside = advance(record, facts, {seconds{60}, seconds{60}});
    ASSERT_TRUE(aside);
    EXPECT_EQ(aside->m_phase, vm_phase::set_aside);
    EXPECT_FALSE(advance(*aside, facts, {}));
    facts.m_reclaimed = true;
    EXPECT_EQ(advance(*aside, facts, {})->m_phase, vm_phase::draining);
}

} // namespace
