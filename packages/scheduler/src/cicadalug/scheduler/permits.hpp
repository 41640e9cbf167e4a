#ifndef CICADALUG_SCHEDULER_PERMITS_HPP
#define CICADALUG_SCHEDULER_PERMITS_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief A worker on which a step may run, by the answer of the permit service. */
struct granted_permit {
    worker_id m_worker;
    std::string m_text;
};

/** @brief Answer of the permit service. */
struct permit_response {
    std::vector<granted_permit> m_granted;
    milliseconds m_validity{0};
};

/**
 * @brief Checks whether a step may start a task on a worker now.
 * @param step The step, of a queue that needs permits.
 * @param worker The worker.
 * @param index Its place in the table.
 * @param now Current time.
 * @return True if there is a permit of this life of the worker that is still valid when a start arrives.
 */
[[nodiscard]] auto has_permit(const step_state& step, const worker_slot& worker, worker_index index, time_point now)
    -> bool;

/**
 * @brief Asks for permits for a step, if none of the candidates with room has one and no question is under way.
 *
 * Load pattern: a queue's policy allows only some workers, and each one named in a question costs time. Asked are those
 * with the most room that were not refused before; a refusal holds for good, as a step's policy does not change.
 * @param state The scheduler; a question is added to its m_permit_requests.
 * @param task A task of the step; its index means nothing.
 * @param step The step.
 * @param candidates Workers that take work of the service.
 * @param now Current time.
 */
auto request_permits(scheduler_state& state, const task_ref& task, step_state& step,
                     const std::vector<worker_index>& candidates, time_point now) -> void;

/**
 * @brief Takes the answer to a question for permits.
 * @param state The scheduler.
 * @param request The question.
 * @param answer The answer; nothing if there was none, and the question may be asked again after a pause.
 * @param asked When the question was sent; the validity of permits counts from then.
 * @param now Current time.
 */
auto apply_permit_response(scheduler_state& state, const permit_request& request,
                           const std::optional<permit_response>& answer, time_point asked, time_point now) -> void;

/** @brief Forgets the permit of a step for a worker that refused it. */
auto drop_permit(scheduler_state& state, const task_ref& task, worker_index index) -> void;

} // namespace cicadalug

#endif
