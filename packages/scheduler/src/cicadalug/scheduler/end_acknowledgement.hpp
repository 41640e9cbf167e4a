#ifndef CICADALUG_SCHEDULER_END_ACKNOWLEDGEMENT_HPP
#define CICADALUG_SCHEDULER_END_ACKNOWLEDGEMENT_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

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

} // namespace cicadalug

#endif
