#ifndef CICADALUG_ROUTING_OVERFLOW_HPP
#define CICADALUG_ROUTING_OVERFLOW_HPP

namespace cicadalug {

/** @brief State of the spare pool, in slots of this entry VM. */
struct spare_capacity {
    /** @brief Slots of the own share on upstreams that accept work. */
    int m_slots{0};
    /** @brief Slots of the own share that are needed for the promised capacity. */
    int m_promised{0};
    /** @brief Slots in use by requests of other pools. */
    int m_overflow{0};
    /** @brief Queued requests of the spare pool's own services. */
    int m_waiting{0};
};

/**
 * @brief Computes the number of slots that the promised capacity of a pool needs in one availability zone.
 * @param slots Slots of the pool in the zone.
 * @param promised_vms Promised capacity of the pool in VMs, in all zones.
 * @param member_vms Members of the pool in all zones, including VMs out of service.
 * @return Number of slots, rounded up.
 */
[[nodiscard]] constexpr auto promised_slots(const int slots, const int promised_vms, const int member_vms) noexcept
    -> int
{
    return member_vms <= 0 ? 0 : (slots * promised_vms + member_vms - 1) / member_vms;
}

/**
 * @brief Divides the slots above the promised capacity among the entry VMs of a zone, in proportion to their shares.
 * The parts add up exactly: independent rounding would leave about half a slot of each entry VM unused.
 * @param before Slots in the shares of the entry VMs that precede this one.
 * @param own Slots in the own share.
 * @param all Slots of the pool in the zone.
 * @param promised Slots among them that the promised capacity needs.
 * @return Slots of the own share that the promised capacity needs.
 */
[[nodiscard]] constexpr auto promised_share(const int before, const int own, const int all, const int promised) noexcept
    -> int
{
    if (all <= 0) {
        return 0;
    }
    const auto surplus = all > promised ? all - promised : 0;
    return own - ((before + own) * surplus / all - before * surplus / all);
}

/**
 * @brief Computes how many more slots of the spare pool can be used by, or lent for, requests of other pools.
 * @param spare State of the spare pool.
 * @return Number of slots above the promised capacity, at least 0; 0 while own requests wait.
 */
[[nodiscard]] constexpr auto surplus_slots(const spare_capacity& spare) noexcept -> int
{
    const auto surplus = spare.m_slots - spare.m_overflow - spare.m_promised;
    return spare.m_waiting == 0 && surplus > 0 ? surplus : 0;
}

/**
 * @brief Returns whether a request of another pool can use a slot of the spare pool.
 * @param spare State of the spare pool.
 * @return True if the promised capacity stays free of overflow and no request of the spare pool waits.
 */
[[nodiscard]] constexpr auto is_overflow_allowed(const spare_capacity& spare) noexcept -> bool
{
    return surplus_slots(spare) > 0;
}

} // namespace cicadalug

#endif
