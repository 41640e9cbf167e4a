#ifndef CICADALUG_ENTRY_VM_ENTRY_VM_SETTINGS_HPP
#define CICADALUG_ENTRY_VM_ENTRY_VM_SETTINGS_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/membership/control_lease.hpp>
#include <cicadalug/membership/membership_state.hpp>
#include <cicadalug/settings/settings.hpp>

#include <string>
#include <vector>

namespace cicadalug {

/** @brief All that an entry VM has to be told when it starts. */
struct entry_vm_settings {
    entry_vm_id m_id;
    availability_zone_id m_availability_zone;
    /** @brief Address and port for HTTP, for example "127.0.0.1:8080". */
    std::string m_listen{"127.0.0.1:8080"};
    /** @brief Address and port for datagrams. */
    std::string m_datagram_listen{"127.0.0.1:8081"};
    /** @brief Address and port of the platform. */
    std::string m_platform{"127.0.0.1:8079"};
    /** @brief All entry VMs of the deployment, this one may be among them. */
    std::vector<entry_vm_info> m_entry_vms;
    control_settings m_control;
    /** @brief Time between two reads of the platform's list by the control holder of a zone. */
    milliseconds m_list_interval{2'000};
    /** @brief Time between the failing readiness and the end of accepting, for the load balancer to notice. */
    milliseconds m_balancer_delay{2'000};
    /** @brief Number of worker threads, at least 1. */
    int m_threads{2};
};

/**
 * @brief Makes the settings of an entry VM from those of a file.
 * @param read Settings of a file, which are valid.
 * @return The settings, with the entry VM itself in the list of all.
 */
[[nodiscard]] auto make_entry_vm_settings(const settings& read) -> entry_vm_settings;

} // namespace cicadalug

#endif
