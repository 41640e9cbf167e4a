#include <cicadalug/routing/slot_share.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

namespace {

using namespace cicadalug;

// Guards against a slot owned by two entry VMs, and against a slot that no entry VM owns.
RC_GTEST_PROP(slot_share, shares_are_disjoint_and_complete, ())
{
    const auto count = *rc::gen::inRange(1, 9);
    const auto slots = *rc::gen::inRange(0, 70);
    const vm_id vm{std::to_string(*rc::gen::arbitrary<int>())};
    std::vector<entry_vm_id> live;
    live.reserve(static_cast<std::size_t>(count));
    for (auto number = 0; number < count; ++number) {
        live.emplace_back("entry-" + std::to_string(number));
    }
    slot_mask all{0};
    for (const auto& self : live) {
        const auto share = own_share(make_share_members(live, self), vm, slots);
        RC_ASSERT((all & share) == 0U);
        all |= share;
    }
    RC_ASSERT(all == (slots >= max_slots ? ~slot_mask{0} : (slot_mask{1} << slots) - 1));
}

// Guards against reassigning the slots of the other entry VMs when one is lost.
TEST(slot_share, only_the_slots_of_a_lost_entry_vm_are_reassigned)
{
    const std::vector<entry_vm_id> three{entry_vm_id{"a"}, entry_vm_id{"b"}, entry_vm_id{"c"}};
    const std::vector<entry_vm_id> two{entry_vm_id{"a"}, entry_vm_id{"b"}};
    for (auto number = 0; number < 100; ++number) {
        const vm_id vm{"vm-" + std::to_string(number)};
        const auto before = own_share(make_share_members(three, three[0]), vm, 8);
        const auto after = own_share(make_share_members(two, three[0]), vm, 8);
        EXPECT_EQ(before & ~after, 0U);
    }
}

} // namespace
