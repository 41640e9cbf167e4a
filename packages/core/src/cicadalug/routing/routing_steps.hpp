#ifndef CICADALUG_ROUTING_ROUTING_STEPS_HPP
#define CICADALUG_ROUTING_ROUTING_STEPS_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/routing/overflow.hpp>
#include <cicadalug/routing/routing_effects.hpp>
#include <cicadalug/routing/routing_state.hpp>

/** @brief Steps shared by several events of router.hpp. */
namespace cicadalug::internal {

/** @brief Updates the counts and the rank of an upstream after its slots, health or phase changed. */
auto refresh_upstream(routing_state& state, upstream_index upstream) -> void;

/** @brief Recomputes which upstreams of a pool are ejected, and schedules probes. */
auto update_ejections(routing_state& state, pool_index pool, time_point now) -> void;

/** @brief Records a failure of an upstream, and checks whether its whole rack has failed. */
auto record_upstream_failure(routing_state& state, upstream_index upstream, time_point now) -> void;

/** @brief Schedules the next probe of an upstream, if it needs one and none is scheduled. */
auto schedule_probe(routing_state& state, upstream_index upstream, time_point now) -> void;

/** @brief Returns the state of the spare pool as the overflow rules need it. */
[[nodiscard]] auto spare_capacity_of(const routing_pool& spare) noexcept -> spare_capacity;

/** @brief Starts a request on a free slot of its pool or, if there is none, of the spare pool. */
[[nodiscard]] auto start_request(routing_state& state, request_number number, time_point now, routing_effects& effects)
    -> bool;

/** @brief Inserts a request into the queue of its pool, ordered by urgency and deadline. */
auto queue_request(routing_state& state, request_number number) -> void;

/** @brief Reports the final outcome of a request and erases the request. */
auto finish_request(routing_state& state, request_number number, const final_outcome& outcome, routing_effects& effects)
    -> void;

/** @brief Finishes a request without a response of an upstream: `unknown` if it may have run, otherwise `not_run`. */
auto refuse_request(routing_state& state, request_number number, outcome_reason reason, milliseconds retry_after,
                    routing_effects& effects) -> void;

/** @brief Erases a request and removes it from its queue. */
auto erase_request(routing_state& state, request_number number) -> void;

/** @brief Starts waiting requests of a pool as long as suitable slots are free. */
auto dispatch_pool(routing_state& state, pool_index pool, time_point now, routing_effects& effects) -> void;

/** @brief Starts waiting requests of all pools for which slots became free. */
auto dispatch_freed(routing_state& state, time_point now, routing_effects& effects) -> void;

/** @brief Counts an attempt as no longer running on its upstream. */
auto end_running(routing_state& state, live_attempt& attempt) -> void;

/** @brief Frees the slot of an ended attempt, or holds it until the given time. */
auto release_slot(routing_state& state, attempt_id attempt, time_point until, time_point now) -> void;

/** @brief Returns borrowed slots that are not needed, or whose remaining term is too short for another request. */
auto return_idle_loans(routing_state& state, time_point now, routing_effects& effects) -> void;

/** @brief Requests slots from the peers for a pool that has waiting requests. */
auto request_peer_slots(routing_state& state, time_point now, routing_effects& effects) -> void;

} // namespace cicadalug::internal

#endif
