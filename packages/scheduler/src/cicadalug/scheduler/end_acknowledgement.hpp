#ifndef CICADALUG_SCHEDULER_END_ACKNOWLEDGEMENT_HPP
#define CICADALUG_SCHEDULER_END_ACKNOWLEDGEMENT_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>

namespace cicadalug {

/**
 * @brief Records an end that must not be acknowledged before the store holds the present progress of its job.
 * @pre The end has been applied, and its number is above those of all earlier ones of the worker.
 */
auto record_applied_end(const scheduler_state& state, worker_slot& worker, const ended_report& report) -> void;

/**
 * @brief Acknowledges the ends of each worker up to the first one whose job has changes that are not stored. A job that
 * cannot be stored holds back only the workers that have reported ends of it.
 */
auto acknowledge_ends(scheduler_state& state) -> void;

/**
 * @brief Returns the number up to which the next renewal acknowledges ends; 0 if a response has confirmed that the
 * worker has forgotten these.
 *
 * The next incarnation numbers its ends from 1. A renewal that reaches it late makes it forget ends that no decider has
 * seen, so that no renewal carries an acknowledgement that is not needed.
 */
[[nodiscard]] auto unconfirmed_acknowledgement(const worker_slot& worker) -> std::int64_t;

/**
 * @brief Records that a renewal with an acknowledgement was answered.
 * @param worker The worker, to which the report has been applied.
 * @param called_incarnation_unix_ms Incarnation of the worker when the renewal was sent, by its start.
 * @param acknowledged Acknowledgement in the renewal.
 */
auto confirm_acknowledgement(worker_slot& worker, std::int64_t called_incarnation_unix_ms, std::int64_t acknowledged)
    -> void;

} // namespace cicadalug

#endif
