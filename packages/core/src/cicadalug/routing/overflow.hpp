#ifndef CICADALUG_ROUTING_OVERFLOW_HPP
#define CICADALUG_ROUTING_OVERFLOW_HPP

namespace cicadalug {

/** @brief State of the spare pool, in slots of this entry VM. */
struct spare_capacity {
    /** @brief Slots of the own share on upstreams that take work. */
    int m_slots{0};
    /** @brief Slots of the own share that the promise needs. */
    int m_promised{0};
    /** @brief Slots that requests of other pools use. */
    int m_overflow{0};
    /** @brief Requests of the spare pool's own services that wait. */
    int m_waiting{0};
};

/**
 * @brief Computes the slots that the promise of a pool needs of one entry VM's share.
 * @param slots Slots of the share.
 * @param promised_vms Promised capacity of the pool in VMs.
 * @param member_vms Members of the pool, the VMs out of service included.
 * @return Number of slots, rounded up, at most as many as the share would have with all members.
 */
[[nodiscard]] constexpr auto promised_share(const int slots, const int promised_vms, const int member_vms) noexcept
    -> int
{
    return member_vms <= 0 ? 0 : (slots * promised_vms + member_vms - 1) / member_vms;
}

/**
 * @brief Tells whether a request of another pool may use a slot of the spare pool.
 * @param spare State of the spare pool.
 * @return True if the promised capacity stays free of overflow and nothing of its own waits.
 */
[[nodiscard]] constexpr auto may_overflow(const spare_capacity& spare) noexcept -> bool
{
    return spare.m_waiting == 0 && spare.m_slots - spare.m_overflow - 1 >= spare.m_promised;
}

} // namespace cicadalug

#endif
