#include <cicadalug/request/static_fleet.hpp>

namespace cicadalug {

auto make_view(const static_fleet& fleet) -> std::shared_ptr<const fleet_view>
{
    const auto view = std::make_shared<fleet_view>();
    view->m_version = version{1};
    const pool_id members{"static"};
    view->m_pools[members].m_id = members;
    for (const auto& id : fleet.m_services) {
        auto& added = view->m_services[id];
        added.m_id = id;
        added.m_pool = members;
    }
    for (const auto& address : fleet.m_upstreams) {
        const vm_id id{"upstream-" + address};
        auto& record = view->m_vms[id];
        record.m_vm = id;
        record.m_availability_zone = fleet.m_availability_zone;
        // One rack per upstream: a shared rack would be ejected as a whole when most of its upstreams fail.
        record.m_rack = rack_id{id.str()};
        record.m_address = address;
        record.m_slots = fleet.m_slots;
        record.m_connections = fleet.m_connections;
        record.m_pool = members;
    }
    return view;
}

} // namespace cicadalug
