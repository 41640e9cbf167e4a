#ifndef CICADALUG_MEMBERSHIP_MEMBERSHIP_STATE_HPP
#define CICADALUG_MEMBERSHIP_MEMBERSHIP_STATE_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/membership/heartbeat.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief An entry VM is suspect after this time without a heartbeat: three of its heartbeats were missed. */
inline constexpr milliseconds suspect_after{1'500};
/** @brief An entry VM is unreachable after this time without a heartbeat. */
inline constexpr milliseconds unreachable_after{3'000};
/** @brief Interval between heartbeats to an entry VM of the same zone. */
inline constexpr milliseconds heartbeat_interval{500};
/**
 * @brief Interval between heartbeats to another zone; each goes to the next entry VM of that zone in round-robin order.
 */
inline constexpr milliseconds zone_heartbeat_interval{1'000};

/** @brief Liveness of an entry VM as known to another one. */
enum class entry_vm_state : std::uint8_t {
    /** @brief A heartbeat was received recently. */
    live,
    /** @brief No heartbeat was received for suspect_after; the entry VM still has its slot shares. */
    suspect,
    /** @brief No heartbeat was received for unreachable_after, or ever. The process may be paused and resume later. */
    unreachable,
    /** @brief The platform's list no longer contains the entry VM. */
    gone,
};

/** @brief Returns the name of a state. */
[[nodiscard]] auto to_string(entry_vm_state state) noexcept -> const char*;

/** @brief An entry VM as configured in the settings. */
struct entry_vm_info {
    entry_vm_id m_id;
    availability_zone_id m_availability_zone;
    /** @brief Address and port for HTTP. */
    std::string m_address;
    /** @brief Address and port for datagrams. */
    std::string m_datagram_address;
};

/** @brief An entry VM with its last heartbeat, liveness and listing state. */
struct entry_vm_entry {
    entry_vm_info m_info;
    entry_vm_state m_state{entry_vm_state::unreachable};
    /** @brief Time of receipt of the last heartbeat; unspecified if the incarnation is zero. */
    time_point m_last_heartbeat_time;
    /** @brief Last heartbeat; its incarnation is zero if none was ever received. */
    heartbeat m_heartbeat;
    /**
     * @brief True once the platform's list contained the entry VM. Before that, its absence from the list is not
     * significant.
     */
    bool m_was_listed{false};
    /** @brief True if the list contained the entry VM and no longer does. */
    bool m_unlisted{false};
};

/** @brief A change of the liveness or incarnation of an entry VM. */
struct membership_change {
    entry_vm_id m_id;
    entry_vm_state m_before{entry_vm_state::unreachable};
    entry_vm_state m_after{entry_vm_state::unreachable};
    /** @brief Incarnation that is known to have ended by this change, zero if none. */
    incarnation m_ended_incarnation;
};

/** @brief Table of all entry VMs as known to one of them. */
struct membership_state {
    entry_vm_id m_self;
    std::map<entry_vm_id, entry_vm_entry> m_entry_vms;
};

/**
 * @brief Creates the table at process start.
 * @param self The entry VM that owns the table; it is always live in it.
 * @param own_incarnation Its incarnation.
 * @param configured All entry VMs of the settings, including `self`.
 * @return The table; the others are unreachable until their first heartbeat.
 */
[[nodiscard]] auto make_membership(const entry_vm_id& self, incarnation own_incarnation,
                                   const std::vector<entry_vm_info>& configured) -> membership_state;

/**
 * @brief Applies a heartbeat. A heartbeat of an unknown entry VM, of a zone other than the configured one, of an older
 * incarnation or with a sequence that is not newer has no effect.
 * @param state The table.
 * @param received The heartbeat.
 * @param now Time of receipt.
 * @return The changes.
 */
[[nodiscard]] auto apply_heartbeat(membership_state& state, const heartbeat& received, time_point now)
    -> std::vector<membership_change>;

/**
 * @brief Applies the platform's list. An entry VM that was in an earlier list and is not in this one is gone; one that
 * is listed again is no longer gone, because the list lags and can be wrong.
 * @param state The table.
 * @param listed Names of all listed VMs.
 * @param now Time of the list.
 * @return The changes.
 */
[[nodiscard]] auto apply_vm_list(membership_state& state, const std::set<entry_vm_id>& listed, time_point now)
    -> std::vector<membership_change>;

/**
 * @brief Updates the states of all entry VMs for the current time.
 * @param state The table.
 * @param now Current time.
 * @return The changes.
 */
[[nodiscard]] auto apply_timeouts(membership_state& state, time_point now) -> std::vector<membership_change>;

/**
 * @brief Excludes a pause of this process from the heartbeat timeouts of the others, because it could not receive
 * heartbeats while it was paused.
 * @param state The table.
 * @param pause Length of the pause.
 */
auto apply_pause(membership_state& state, milliseconds pause) -> void;

/**
 * @brief Returns the entry VMs of a zone that have slot shares.
 * @param state The table.
 * @param zone The zone.
 * @return Live and suspect entry VMs in the order of their ids.
 */
[[nodiscard]] auto reachable_entry_vms(const membership_state& state, const availability_zone_id& zone)
    -> std::vector<entry_vm_id>;

/**
 * @brief Returns the entry VMs of a zone whose confirmation a move requires.
 * @param state The table.
 * @param zone The zone.
 * @return Entry VMs that are not in state gone, in the order of their ids.
 */
[[nodiscard]] auto entry_vms_not_removed(const membership_state& state, const availability_zone_id& zone)
    -> std::vector<entry_vm_id>;

/**
 * @brief Selects the receiver of the next heartbeat to another zone.
 * @param state The table.
 * @param zone The other zone.
 * @param sequence Number of the heartbeat; the receivers are selected in round-robin order.
 * @return An entry VM of the zone that is not in state gone, or an empty id if there is none.
 */
[[nodiscard]] auto next_heartbeat_receiver(const membership_state& state, const availability_zone_id& zone,
                                           std::size_t sequence) -> entry_vm_id;

} // namespace cicadalug

#endif
