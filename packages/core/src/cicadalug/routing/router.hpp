#ifndef CICADALUG_ROUTING_ROUTER_HPP
#define CICADALUG_ROUTING_ROUTER_HPP

#include <cicadalug/base/ids.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/routing/attempt_outcome.hpp>
#include <cicadalug/routing/routing_effects.hpp>
#include <cicadalug/routing/routing_request.hpp>
#include <cicadalug/routing/routing_state.hpp>
#include <cicadalug/routing/slot_message.hpp>

#include <vector>

namespace cicadalug {

/** @brief Live entry VM of the same availability zone. */
struct routing_peer {
    entry_vm_id m_id;
    incarnation m_incarnation;
};

/** @brief Slot usage and queue length of one pool as seen by this entry VM. */
struct pool_usage {
    pool_id m_pool;
    /** @brief Slots that this entry VM can use now. */
    int m_slots{0};
    /** @brief Slots among them that are in use. */
    int m_in_use{0};
    /** @brief Requests waiting for a slot. */
    int m_waiting{0};
};

/**
 * @brief Handles a request of a caller: starts an attempt, queues the request, or refuses it with a reason.
 * @param state Routing state, updated.
 * @param request The request.
 * @param now Current time, not earlier than that of previous events.
 * @return Actions to take.
 * @pre No live request has the same id.
 * @note Thread safety: events of one state must not overlap. This holds for all functions of this header.
 */
[[nodiscard]] auto submit(routing_state& state, const routing_request& request, time_point now) -> routing_effects;

/**
 * @brief Handles the end of an attempt or of a probe. Unknown attempts and attempts that already ended are ignored.
 * @param state Routing state, updated.
 * @param attempt The attempt or probe.
 * @param outcome Its outcome.
 * @param now Current time.
 * @return Actions to take: the final outcome or another attempt of the request, and starts of queued requests.
 */
[[nodiscard]] auto complete(routing_state& state, attempt_id attempt, attempt_outcome outcome, time_point now)
    -> routing_effects;

/**
 * @brief Cancels a request whose caller has disconnected. A queued request is removed at once. A request that was sent
 * gets no final outcome, but its attempt still has to be completed.
 * @param state Routing state, updated.
 * @param request The request; an unknown one is ignored.
 * @param now Current time.
 * @return Actions to take.
 */
[[nodiscard]] auto cancel(routing_state& state, const request_id& request, time_point now) -> routing_effects;

/**
 * @brief Handles everything that is due: expired deadlines, overdue attempts, probes and expired loans. Intended to be
 * called every 10 ms.
 * @param state Routing state, updated.
 * @param now Current time.
 * @return Actions to take.
 */
[[nodiscard]] auto tick(routing_state& state, time_point now) -> routing_effects;

/**
 * @brief Applies a new view of the fleet. VMs that are leaving or not serving get no new work from now on.
 * @param state Routing state, updated.
 * @param view The view.
 * @param now Current time.
 * @return Actions to take.
 */
[[nodiscard]] auto apply_view(routing_state& state, const fleet_view& view, time_point now) -> routing_effects;

/**
 * @brief Applies the list of live entry VMs of the availability zone, among which the slots are shared.
 * @param state Routing state, updated.
 * @param peers The live entry VMs; this one is always included, whether it is listed or not.
 * @param now Current time.
 * @return Actions to take.
 */
[[nodiscard]] auto apply_peers(routing_state& state, const std::vector<routing_peer>& peers, time_point now)
    -> routing_effects;

/**
 * @brief Handles a slot message of a peer. Lost, duplicated, reordered and delayed messages are harmless.
 * @param state Routing state, updated.
 * @param message The message.
 * @param now Current time.
 * @return Actions to take.
 */
[[nodiscard]] auto receive(routing_state& state, const slot_message& message, time_point now) -> routing_effects;

/**
 * @brief Returns all borrowed slots that are not in use, and stops borrowing and lending. Used on graceful shutdown.
 * @param state Routing state, updated.
 * @param now Current time.
 * @return Actions to take.
 */
[[nodiscard]] auto return_slots(routing_state& state, time_point now) -> routing_effects;

/**
 * @brief Counts the attempts that may still be running on a VM, for the drain confirmation.
 * @param state The state.
 * @param vm The VM.
 * @return Number of attempts whose response is awaited or whose run-time bound has not passed.
 */
[[nodiscard]] auto in_flight(const routing_state& state, const vm_id& vm) -> int;

/**
 * @brief Returns the VMs whose upstreams are ejected, for the control loop of the zone.
 * @param state The state.
 * @return The VMs, in no particular order.
 */
[[nodiscard]] auto ejected_vms(const routing_state& state) -> std::vector<vm_id>;

/**
 * @brief Returns the slot usage and queue length of each pool.
 * @param state The state.
 * @return One entry per pool of the view.
 */
[[nodiscard]] auto pool_usages(const routing_state& state) -> std::vector<pool_usage>;

} // namespace cicadalug

#endif
