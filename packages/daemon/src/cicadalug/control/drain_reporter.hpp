#ifndef CICADALUG_CONTROL_DRAIN_REPORTER_HPP
#define CICADALUG_CONTROL_DRAIN_REPORTER_HPP

#include <cicadalug/datagram/datagram.hpp>
#include <cicadalug/model/fleet_view.hpp>

#include <functional>

namespace cicadalug {

/**
 * @brief Makes the drain confirmations of one entry VM. They are made again at each call, so that a lost one or a new
 * control holder does no harm.
 * @param view What this entry VM acts on; it sends no new work to a VM that is announced in it.
 * @param has_work_in_flight Tells for a VM whether work of this entry VM is in flight there.
 * @return Messages that fit into one datagram each.
 */
[[nodiscard]] auto make_drained(const fleet_view& view, const std::function<bool(const vm_id&)>& has_work_in_flight)
    -> std::vector<drained>;

} // namespace cicadalug

#endif
