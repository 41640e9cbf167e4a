#ifndef CICADALUG_SCHEDULER_PERMITS_HPP
#define CICADALUG_SCHEDULER_PERMITS_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief A worker on which the permit service allows a step to run. */
struct granted_permit {
    worker_id m_worker;
    std::string m_text;
};

/** @brief Response of the permit service. */
struct permit_response {
    std::vector<granted_permit> m_granted;
    milliseconds m_validity{0};
};

/**
 * @brief Checks whether a step may start a task on a worker now.
 * @param step The step, of a queue that needs permits.
 * @param worker The worker.
 * @param index Its index in the table.
 * @param now Current time.
 * @return True if there is a permit for this incarnation of the worker that will still be valid when a start arrives.
 */
[[nodiscard]] auto has_permit(const step_state& step, const worker_slot& worker, worker_index index, time_point now)
    -> bool;

/**
 * @brief Requests permits for a step unless a request is in progress or has to wait for its retry. Called when no
 * candidate with free capacity has a permit.
 *
 * Load pattern: a queue's policy allows only some workers, and each worker named in a request costs time. The request
 * names the workers with the most free capacity that have not been refused before; a refusal is permanent, as a step's
 * policy does not change.
 * @param state The scheduler; a request is appended to its m_permit_requests.
 * @param task A task of the step; its index is ignored.
 * @param step The step.
 * @param candidates Workers that accept new work of the service.
 * @param now Current time.
 */
auto request_permits(scheduler_state& state, const task_ref& task, step_state& step,
                     const std::vector<worker_index>& candidates, time_point now) -> void;

/**
 * @brief Applies the response to a permit request.
 * @param state The scheduler.
 * @param request The request.
 * @param response The response; empty if there was none, and the request may be repeated after a delay.
 * @param sent When the request was sent; the validity of the permits counts from then.
 * @param now Current time.
 */
auto apply_permit_response(scheduler_state& state, const permit_request& request,
                           const std::optional<permit_response>& response, time_point sent, time_point now) -> void;

/** @brief Removes the permit of a step for a worker that rejected it. */
auto drop_permit(scheduler_state& state, const task_ref& task, worker_index index) -> void;

} // namespace cicadalug

#endif
