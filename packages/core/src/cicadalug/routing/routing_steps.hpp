#ifndef CICADALUG_ROUTING_ROUTING_STEPS_HPP
#define CICADALUG_ROUTING_ROUTING_STEPS_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/routing/overflow.hpp>
#include <cicadalug/routing/routing_effects.hpp>
#include <cicadalug/routing/routing_state.hpp>

/** @brief Steps that several events of router.hpp share. */
namespace cicadalug::internal {

/** @brief Brings the counts and the rank of an upstream up to date after its slots, health or phase changed. */
auto refresh_upstream(routing_state& state, upstream_index upstream) -> void;

/** @brief Decides anew which upstreams of a pool are ejected, and schedules probes. */
auto update_ejections(routing_state& state, pool_index pool, time_point now) -> void;

/** @brief Takes a failure of an upstream into account, for its rack too. */
auto blame_upstream(routing_state& state, upstream_index upstream, time_point now) -> void;

/** @brief Schedules the next probe of an upstream, if it needs one and none is scheduled. */
auto schedule_probe(routing_state& state, upstream_index upstream, time_point now) -> void;

/** @brief Returns the state of the spare pool that the overflow rules need. */
[[nodiscard]] auto spare_capacity_of(const routing_pool& spare) noexcept -> spare_capacity;

/** @brief Starts a request on a free slot of its pool or, if there is none, of the spare pool. */
[[nodiscard]] auto start_request(routing_state& state, request_number number, time_point now, routing_effects& effects)
    -> bool;

/** @brief Puts a request into the queue of its pool, at the place that its deadline gives it. */
auto queue_request(routing_state& state, request_number number) -> void;

/** @brief Gives a request its final answer and forgets it. */
auto finish_request(routing_state& state, request_number number, const final_outcome& answer, routing_effects& effects)
    -> void;

/** @brief Answers a request that was not answered by an upstream: `unknown` if it may have run, else `not_run`. */
auto refuse_request(routing_state& state, request_number number, outcome_reason reason, milliseconds retry_after,
                    routing_effects& effects) -> void;

/** @brief Forgets a request, and frees its place in the queue. */
auto forget_request(routing_state& state, request_number number) -> void;

/** @brief Starts waiting requests of a pool as long as slots fit. */
auto dispatch_pool(routing_state& state, pool_index pool, time_point now, routing_effects& effects) -> void;

/** @brief Starts waiting requests of all pools that slots became free for. */
auto dispatch_freed(routing_state& state, time_point now, routing_effects& effects) -> void;

/** @brief Counts an attempt as no longer running on its upstream. */
auto end_running(routing_state& state, live_attempt& attempt) -> void;

/** @brief Frees the slot of an ended attempt, or keeps it in use until a time. */
auto release_slot(routing_state& state, attempt_id attempt, time_point until, time_point now) -> void;

/** @brief Gives back borrowed slots that are not needed, or whose term is too short for another request. */
auto return_idle_loans(routing_state& state, time_point now, routing_effects& effects) -> void;

/** @brief Asks peers for slots for the pools that have waiting requests. */
auto ask_peers(routing_state& state, time_point now, routing_effects& effects) -> void;

} // namespace cicadalug::internal

#endif
