#ifndef CICADALUG_TEST_ROUTING_ROUTER_FIXTURE_HPP
#define CICADALUG_TEST_ROUTING_ROUTER_FIXTURE_HPP

#include <cicadalug/routing/router.hpp>

#include <string>

namespace cicadalug::test {

/** @brief Creates a view with pools "p" and "spare", each with one service ("s" and "c") and VMs in racks of four. */
[[nodiscard]] inline auto make_view(const int vms, const int promised, const int spare_vms, const int spare_promised,
                                    const int slots = 2) -> fleet_view
{
    fleet_view view;
    const auto add_pool = [&](const std::string& name, const std::string& service_name, const int count,
                              const int promised_vms) {
        view.m_pools[pool_id{name}] = {pool_id{name}, name == "spare"};
        service entry;
        entry.m_id = service_id{service_name};
        entry.m_pool = pool_id{name};
        entry.m_promised_vms = promised_vms;
        entry.m_queue_limit = 8;
        view.m_services[entry.m_id] = entry;
        for (auto number = 0; number < count; ++number) {
            vm_record record;
            record.m_vm = vm_id{name + "-" + std::to_string(number)};
            record.m_availability_zone = availability_zone_id{"z"};
            record.m_rack = rack_id{name + "-rack-" + std::to_string(number / 4)};
            record.m_slots = slots;
            record.m_pool = pool_id{name};
            view.m_vms[record.m_vm] = record;
        }
    };
    add_pool("p", "s", vms, promised);
    add_pool("spare", "c", spare_vms, spare_promised);
    return view;
}

[[nodiscard]] inline auto make_state(const std::string& self = "a") -> routing_state
{
    return routing_state{{entry_vm_id{self}, incarnation{1}, availability_zone_id{"z"}}};
}

[[nodiscard]] inline auto make_request(const std::string& id, const time_point deadline,
                                       const std::string& service = "s") -> routing_request
{
    return {request_id{id}, service_id{service}, {}, false, false, deadline};
}

} // namespace cicadalug::test

#endif
