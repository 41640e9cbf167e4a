#ifndef CICADALUG_REQUEST_STATIC_ENTRY_VM_HPP
#define CICADALUG_REQUEST_STATIC_ENTRY_VM_HPP

#include <cicadalug/base/finding.hpp>
#include <cicadalug/base/time.hpp>

#include <string>
#include <vector>

namespace cicadalug {

/** @brief Settings of an entry VM with a fixed fleet that is given at startup. */
struct static_entry_vm_settings {
    std::string m_listen{"127.0.0.1:8080"};
    std::string m_id{"entry-1"};
    std::string m_zone{"zone-1"};
    /** @brief Addresses and ports of all upstreams. */
    std::vector<std::string> m_upstreams;
    std::vector<std::string> m_services;
    /** @brief Other entry VMs of the zone, each as id=address:port. */
    std::vector<std::string> m_peers;
    /** @brief Slots of each upstream. */
    int m_slots{8};
    int m_threads{2};
    milliseconds m_balancer_delay{0};
};

/**
 * @brief Runs the request path without a platform, for tests and measurements. Returns after SIGTERM or SIGINT, once
 * all requests have ended.
 * @param settings The settings.
 * @return All errors of the settings; empty after a graceful stop.
 */
[[nodiscard]] auto run_static_entry_vm(const static_entry_vm_settings& settings) -> findings;

} // namespace cicadalug

#endif
