#include <cicadalug/routing/slot_share.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <string>

namespace cicadalug {

namespace {

[[nodiscard]] auto hash_text(const std::string& text) -> std::uint64_t
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

auto make_share_members(const std::vector<entry_vm_id>& live, const entry_vm_id& self) -> share_members
{
    share_members members{{}, hash_text(self.str())};
    members.m_hashes.push_back(members.m_self);
    for (const auto& id : live) {
        if (id != self) {
            members.m_hashes.push_back(hash_text(id.str()));
        }
    }
    return members;
}

auto own_share(const share_members& members, const vm_id& vm, const int slots) -> slot_mask
{
    const auto vm_hash = hash_text(vm.str());
    slot_mask share{0};
    for (auto slot = 0; slot < std::min(slots, max_slots); ++slot) {
        std::uint64_t best_weight{0};
        std::uint64_t best_member{0};
        for (const auto member : members.m_hashes) {
            const std::array<std::uint64_t, 3> key{vm_hash, member, static_cast<std::uint64_t>(slot)};
            const std::uint64_t weight = XXH3_64bits(key.data(), sizeof(key));
            if (weight > best_weight || (weight == best_weight && member > best_member)) {
                best_weight = weight;
                best_member = member;
            }
        }
        if (best_member == members.m_self) {
            share |= slot_mask{1} << slot;
        }
    }
    return share;
}

} // namespace cicadalug
