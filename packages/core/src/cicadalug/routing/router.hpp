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

/** @brief Load of one pool as seen by this entry VM. */
struct pool_usage {
    pool_id m_pool;
    /** @brief Slots that this entry VM may use now. */
    int m_slots{0};
    /** @brief Slots among them that are in use. */
    int m_in_use{0};
    /** @brief Requests that wait for a slot. */
    int m_waiting{0};
};

/**
 * @brief Takes a request of a caller: starts an attempt, queues the request, or refuses it with a reason.
 * @param state State to change.
 * @param request The request.
 * @param now Current time, not before that of earlier events.
 * @return What is to be done.
 * @pre No live request has the same id.
 * @note Thread safety: events of one state must not overlap. This holds for all functions of this header.
 */
[[nodiscard]] auto submit(routing_state& state, const routing_request& request, time_point now) -> routing_effects;

/**
 * @brief Takes the end of an attempt or of a probe. An attempt that is not known, or ended before, is ignored.
 * @param state State to change.
 * @param attempt The attempt or probe.
 * @param outcome How it ended.
 * @param now Current time.
 * @return What is to be done: a final answer or another attempt of the request, and starts of queued requests.
 */
[[nodiscard]] auto complete(routing_state& state, attempt_id attempt, attempt_outcome outcome, time_point now)
    -> routing_effects;

/**
 * @brief Takes the news that the caller of a request went away. A waiting request frees its place at once. A request
 * that was sent gets no final answer; its attempt still has to be completed.
 * @param state State to change.
 * @param request The request; one that is not known is ignored.
 * @param now Current time.
 * @return What is to be done.
 */
[[nodiscard]] auto cancel(routing_state& state, const request_id& request, time_point now) -> routing_effects;

/**
 * @brief Lets time pass: expired deadlines, overdue attempts, probes, and ends of terms. Meant for every 10 ms.
 * @param state State to change.
 * @param now Current time.
 * @return What is to be done.
 */
[[nodiscard]] auto tick(routing_state& state, time_point now) -> routing_effects;

/**
 * @brief Takes a new view of the fleet. VMs that are leaving or not serving get no new work from now on.
 * @param state State to change.
 * @param view The view.
 * @param now Current time.
 * @return What is to be done.
 */
[[nodiscard]] auto apply_view(routing_state& state, const fleet_view& view, time_point now) -> routing_effects;

/**
 * @brief Takes the live entry VMs of the availability zone, among which the slots are shared.
 * @param state State to change.
 * @param peers The live entry VMs; this one always counts, whether it is listed or not.
 * @param now Current time.
 * @return What is to be done.
 */
[[nodiscard]] auto apply_peers(routing_state& state, const std::vector<routing_peer>& peers, time_point now)
    -> routing_effects;

/**
 * @brief Takes a slot message of a peer. A lost, repeated, reordered or late message does no harm.
 * @param state State to change.
 * @param message The message.
 * @param now Current time.
 * @return What is to be done.
 */
[[nodiscard]] auto receive(routing_state& state, const slot_message& message, time_point now) -> routing_effects;

/**
 * @brief Gives all borrowed slots back that are not in use, and borrows no more. Used on graceful shutdown.
 * @param state State to change.
 * @param now Current time.
 * @return What is to be done.
 */
[[nodiscard]] auto return_slots(routing_state& state, time_point now) -> routing_effects;

/**
 * @brief Tells how many attempts may still run on a VM, for the drain confirmation.
 * @param state The state.
 * @param vm The VM.
 * @return Number of attempts whose answer is awaited or whose run-time bound has not passed.
 */
[[nodiscard]] auto in_flight(const routing_state& state, const vm_id& vm) -> int;

/**
 * @brief Returns the VMs whose upstreams are ejected, for the control loop of the zone.
 * @param state The state.
 * @return The VMs, in no particular order.
 */
[[nodiscard]] auto ejected_vms(const routing_state& state) -> std::vector<vm_id>;

/**
 * @brief Returns the load of each pool.
 * @param state The state.
 * @return One entry per pool of the view.
 */
[[nodiscard]] auto pool_usages(const routing_state& state) -> std::vector<pool_usage>;

} // namespace cicadalug

#endif
