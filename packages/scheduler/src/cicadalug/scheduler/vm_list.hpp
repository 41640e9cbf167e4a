#ifndef CICADALUG_SCHEDULER_VM_LIST_HPP
#define CICADALUG_SCHEDULER_VM_LIST_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/ids.hpp>
#include <cicadalug/scheduler/job.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug {

/** @brief Maximum age of a list on which decisions are based. A move takes 1.5 s, so that an older list may lack all
 * signs of one. */
inline constexpr milliseconds max_vm_list_age{1'500};

/** @brief Phase of a VM of a pool, as listed by the platform. */
enum class vm_phase : std::uint8_t { up, moving, in_maintenance, down };

/** @brief Entry of a VM in the platform's list. */
struct vm_status {
    vm_id m_vm;
    service_id m_pool;
    vm_phase m_phase{vm_phase::down};
    availability_zone_id m_zone;
    /** @brief Worker that runs on the VM; empty while there is none. */
    worker_id m_worker;
    resources m_capacity;
};

/** @brief The platform's list of VMs. */
struct vm_list {
    /** @brief VMs in the order of their ids. */
    std::vector<vm_status> m_vms;
    /** @brief When the list was requested; later changes may be missing in it. */
    time_point m_requested{};
};

/** @brief The VMs in a response of the platform. */
struct vm_listing {
    std::vector<vm_status> m_vms;
    /** @brief Some VMs could not be read. */
    bool m_partial{false};
};

/** @brief Finds a VM. @pre The VMs are in the order of their ids. @return The VM, or null. */
[[nodiscard]] auto find_vm(const std::vector<vm_status>& vms, const vm_id& id) -> const vm_status*;

/** @brief Checks whether a list has been read and is not older than max_vm_list_age. */
[[nodiscard]] auto is_current(const vm_list& list, time_point now) -> bool;

/**
 * @brief Replaces a list by a response of the platform, unless the list was requested later. A VM that is missing in a
 * partial response is kept as it was.
 * @param list The list.
 * @param listed The response.
 * @param requested When the response was requested.
 * @return True if the list has been replaced.
 */
auto update_vm_list(vm_list& list, vm_listing listed, time_point requested) -> bool;

} // namespace cicadalug

#endif
