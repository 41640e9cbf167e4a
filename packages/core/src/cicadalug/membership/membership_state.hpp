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

/** @brief An entry VM is suspect after this time without a heartbeat: three of its heartbeats are missing. */
inline constexpr milliseconds suspect_after{1'500};
/** @brief An entry VM is unreachable after this time without a heartbeat. */
inline constexpr milliseconds unreachable_after{3'000};
/** @brief Time between two heartbeats to an entry VM of the same zone. */
inline constexpr milliseconds heartbeat_interval{500};
/** @brief Time between two heartbeats to another zone, each to the next entry VM of that zone. */
inline constexpr milliseconds zone_heartbeat_interval{1'000};

/** @brief What is known about whether an entry VM runs. */
enum class entry_vm_state : std::uint8_t {
    /** @brief Heard of lately. */
    live,
    /** @brief Not heard of for suspect_after; it still has its slot shares. */
    suspect,
    /** @brief Not heard of for unreachable_after, or never. It may be frozen and wake up. */
    unreachable,
    /** @brief The platform's list no longer has it. */
    gone,
};

/** @brief Returns the name of a state. */
[[nodiscard]] auto to_string(entry_vm_state state) noexcept -> const char*;

/** @brief An entry VM as the settings name it. */
struct entry_vm_info {
    entry_vm_id m_id;
    availability_zone_id m_availability_zone;
    /** @brief Address and port for HTTP. */
    std::string m_address;
    /** @brief Address and port for datagrams. */
    std::string m_datagram_address;
};

/** @brief An entry VM with what is known about it. */
struct entry_vm_entry {
    entry_vm_info m_info;
    entry_vm_state m_state{entry_vm_state::unreachable};
    /** @brief Time of the last heartbeat; meaningless if the incarnation is zero. */
    time_point m_last_heard;
    /** @brief Last heartbeat; its incarnation is zero if none was ever heard. */
    heartbeat m_heartbeat;
    /** @brief True once the platform's list had the entry VM. Without that, its absence says nothing. */
    bool m_was_listed{false};
    /** @brief True if the list had it and no longer does. */
    bool m_unlisted{false};
};

/** @brief A change of what is known about an entry VM. */
struct membership_change {
    entry_vm_id m_id;
    entry_vm_state m_before{entry_vm_state::unreachable};
    entry_vm_state m_after{entry_vm_state::unreachable};
    /** @brief Incarnation that is known gone by this change, zero if none. */
    incarnation m_ended_incarnation;
};

/** @brief Table of all entry VMs as one of them knows it. */
struct membership_state {
    entry_vm_id m_self;
    std::map<entry_vm_id, entry_vm_entry> m_entry_vms;
};

/**
 * @brief Makes the table at the start of a process.
 * @param self The entry VM that keeps the table; it is always live in it.
 * @param started Its incarnation.
 * @param known All entry VMs of the settings, itself included.
 * @return The table; the others are unreachable until they are heard.
 */
[[nodiscard]] auto make_membership(const entry_vm_id& self, incarnation started,
                                   const std::vector<entry_vm_info>& known) -> membership_state;

/**
 * @brief Takes in a heartbeat. One of an unknown entry VM, of another zone than the settings say, of an older
 * incarnation or with a sequence that is not newer has no effect.
 * @param state The table.
 * @param received The heartbeat.
 * @param now Time of receipt.
 * @return The changes.
 */
[[nodiscard]] auto apply_heartbeat(membership_state& state, const heartbeat& received, time_point now)
    -> std::vector<membership_change>;

/**
 * @brief Takes in the platform's list. An entry VM that was in an earlier list and is not in this one is gone; one that
 * is listed again is not, since the list lags and can be wrong.
 * @param state The table.
 * @param listed Names of all listed VMs.
 * @param now Time of the list.
 * @return The changes.
 */
[[nodiscard]] auto apply_vm_list(membership_state& state, const std::set<entry_vm_id>& listed, time_point now)
    -> std::vector<membership_change>;

/**
 * @brief Lets time pass.
 * @param state The table.
 * @param now Current time.
 * @return The changes.
 */
[[nodiscard]] auto apply_timeouts(membership_state& state, time_point now) -> std::vector<membership_change>;

/**
 * @brief Takes a pause of the own process out of the silence of the others: while it was paused it could hear no one.
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
 * @brief Returns the entry VMs of a zone whose confirmation a move needs.
 * @param state The table.
 * @param zone The zone.
 * @return Entry VMs that are not known gone, in the order of their ids.
 */
[[nodiscard]] auto not_known_gone(const membership_state& state, const availability_zone_id& zone)
    -> std::vector<entry_vm_id>;

/**
 * @brief Chooses the receiver of the next heartbeat to another zone.
 * @param state The table.
 * @param zone The other zone.
 * @param turn Number of the heartbeat; the receivers take turns.
 * @return An entry VM of the zone that is not gone, or an empty id if there is none.
 */
[[nodiscard]] auto next_heartbeat_receiver(const membership_state& state, const availability_zone_id& zone,
                                           std::size_t turn) -> entry_vm_id;

} // namespace cicadalug

#endif
