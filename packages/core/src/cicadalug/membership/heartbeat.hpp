#ifndef CICADALUG_MEMBERSHIP_HEARTBEAT_HPP
#define CICADALUG_MEMBERSHIP_HEARTBEAT_HPP

#include <cicadalug/base/ids.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug {

/** @brief Pool load as seen by one entry VM. */
struct pool_load_report {
    pool_id m_pool;
    /** @brief Requests in flight and waiting, in thousandths of the slots that the entry VM is allowed to use. */
    std::uint16_t m_per_mille{0};

    [[nodiscard]] friend auto operator==(const pool_load_report&, const pool_load_report&) -> bool = default;
};

/** @brief State that an entry VM reports to the other entry VMs. */
struct heartbeat {
    entry_vm_id m_id;
    availability_zone_id m_availability_zone;
    incarnation m_incarnation;
    /** @brief Number of the heartbeat within the incarnation. */
    std::uint64_t m_sequence{0};
    /** @brief Highest version that was applied to the local copy. */
    version m_applied;
    /** @brief Folded digest of the local copy. */
    std::uint64_t m_digest{0};
    /** @brief Epoch if the entry VM holds the control lease of its zone, zero otherwise. */
    epoch m_control_epoch;
    std::vector<pool_load_report> m_pool_loads;

    [[nodiscard]] friend auto operator==(const heartbeat&, const heartbeat&) -> bool = default;
};

} // namespace cicadalug

#endif
