#ifndef CICADALUG_DAEMON_MEMBERSHIP_DRAIN_REPORTER_HPP
#define CICADALUG_DAEMON_MEMBERSHIP_DRAIN_REPORTER_HPP

#include <cicadalug/datagram/datagram.hpp>
#include <cicadalug/model/fleet_view.hpp>

#include <functional>
#include <vector>

namespace cicadalug {

/**
 * @brief Lists the announced VMs on which no attempt of this entry VM is in flight. The list is sent repeatedly until
 * the phase changes, because datagrams may be lost and the control holder may change.
 * @param view View that the request path has applied, so that no new work can begin on these VMs.
 * @param in_flight Returns the number of attempts on a VM whose run-time bound has not passed.
 * @return Messages of at most 20 VMs each, with the announcement that each confirmation refers to.
 */
[[nodiscard]] auto make_drain_confirmations(const fleet_view& view, const std::function<int(const vm_id&)>& in_flight)
    -> std::vector<drain_report>;

} // namespace cicadalug

#endif
