#ifndef CICADALUG_ROUTING_SLOT_SHARE_HPP
#define CICADALUG_ROUTING_SLOT_SHARE_HPP

#include <cicadalug/base/ids.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug {

/** @brief Set of slots of one upstream; bit n is slot n. */
using slot_mask = std::uint64_t;

/** @brief Maximum number of usable slots of one upstream: the number of bits of a slot_mask. */
inline constexpr int max_slots = 64;

/** @brief Hashes of the live entry VMs of an availability zone, for the computation of shares. */
struct share_members {
    std::vector<std::uint64_t> m_hashes;
    /** @brief Hash of the entry VM whose share is computed. */
    std::uint64_t m_self{0};
};

/**
 * @brief Hashes the live entry VMs.
 * @param live The live entry VMs; self is included, whether it is listed or not.
 * @param self Entry VM whose share will be computed.
 * @return The hashed members.
 */
[[nodiscard]] auto make_share_members(const std::vector<entry_vm_id>& live, const entry_vm_id& self) -> share_members;

/**
 * @brief Computes the slots of an upstream that belong to one entry VM, by rendezvous hashing of each slot. Entry VMs
 * that agree on the live entry VMs compute disjoint shares that cover all slots. When one is lost, only its slots are
 * reassigned.
 * @param members The live entry VMs.
 * @param vm VM of the upstream.
 * @param slots Number of slots of the upstream; slots beyond max_slots are not used.
 * @return The slots of the own share.
 */
[[nodiscard]] auto own_share(const share_members& members, const vm_id& vm, int slots) -> slot_mask;

} // namespace cicadalug

#endif
