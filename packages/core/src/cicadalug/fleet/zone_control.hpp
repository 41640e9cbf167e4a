#ifndef CICADALUG_FLEET_ZONE_CONTROL_HPP
#define CICADALUG_FLEET_ZONE_CONTROL_HPP

#include <cicadalug/fleet/budget_ledger.hpp>
#include <cicadalug/fleet/ownership.hpp>
#include <cicadalug/fleet/vm_shard.hpp>
#include <cicadalug/fleet/wave_progress.hpp>
#include <cicadalug/model/fleet_view.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Value of a key with its version; version zero if the key does not exist yet. */
template<typename Value>
struct stored {
    version m_version;
    Value m_value;
};

/** @brief State of the control holder of a zone. All durable parts are copies of values in the key-value service. */
struct zone_control_state {
    availability_zone_id m_availability_zone;
    /** @brief Version of the write that acquired the control lease; unique, and higher for each later holder. */
    epoch m_epoch;
    /** @brief Prefix of write ids, unique for this process: entry VM and incarnation. */
    std::string m_writer;
    std::uint64_t m_writes{0};

    std::map<std::size_t, stored<vm_shard>> m_shards;
    std::map<service_id, stored<budget_ledger>> m_ledgers;
    std::map<wave_id, stored<wave_progress>> m_waves;
    /**
     * @brief Keys with a write in flight. No step is taken until each write has a response or its key was read again.
     */
    std::set<std::string> m_in_flight;
    /**
     * @brief Keys with a write that may still take effect. They are overwritten before the next step, after which the
     * delayed write fails its compare-and-swap.
     */
    std::set<std::string> m_uncertain;
    /** @brief True once a later holder was seen; this holder then takes no further step. */
    bool m_fenced{false};

    drain_confirmations m_confirmations;
    phase_timers m_timers;
    std::map<vm_id, time_point> m_absent_since;
    std::map<vm_id, time_point> m_reboot_requested_at;
    std::map<wave_id, std::optional<time_point>> m_paused_since;
};

/** @brief One VM on the platform's list. */
struct listed_vm {
    vm_id m_vm;
    availability_zone_id m_availability_zone;
    rack_id m_rack;
    room_id m_room;
    std::string m_address;
    int m_slots{8};
    int m_connections{64};
    /** @brief Initial pool of a VM without a record. */
    pool_id m_pool;
    bool m_leaving{false};
    std::uint64_t m_boot{0};
};

/** @brief Inputs of a control step in addition to its state. */
struct zone_control_inputs {
    /**
     * @brief Resources. The VM records in it are not used, because the state contains the copies that the holder
     * writes.
     */
    const fleet_view* m_view{nullptr};
    /** @brief VMs of the zone on the platform's list; nothing if the list could not be read. */
    std::optional<std::map<vm_id, listed_vm>> m_listed;
    /** @brief All entry VMs of the zone, including this one. */
    std::vector<entry_vm_presence> m_entry_vms;
    /** @brief VMs whose upstream does not serve requests. */
    std::set<vm_id> m_unhealthy;
    /** @brief Number of VMs of each pool that the current demand requires in this zone. */
    std::map<pool_id, int> m_needed_vms;
    /** @brief Target pools of the VMs that the planner requests to move. */
    std::map<vm_id, pool_id> m_moves;
};

/** @brief A compare-and-swap to send to the key-value service. */
struct zone_control_write {
    std::string m_key;
    version m_expected;
    write_id m_write_id;
    nlohmann::json m_value;
};

/** @brief A reboot to request from the platform. It is obsolete if the VM has another boot id by then. */
struct reboot_request {
    vm_id m_vm;
    std::uint64_t m_boot{0};
};

/** @brief Actions to perform after a control step, in any order. */
struct zone_control_effects {
    std::vector<zone_control_write> m_writes;
    std::vector<reboot_request> m_reboots;
};

} // namespace cicadalug

#endif
