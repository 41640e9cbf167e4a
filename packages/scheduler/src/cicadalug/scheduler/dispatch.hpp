#ifndef CICADALUG_SCHEDULER_DISPATCH_HPP
#define CICADALUG_SCHEDULER_DISPATCH_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstddef>
#include <cstdint>

namespace cicadalug {

/** @brief How much a client gains if a job's waiting tasks start now. Lower goes first. */
enum class urgency : std::uint8_t {
    /** @brief Tasks that run until they are cancelled serve clients of their own all the time. */
    serving,
    /** @brief The job can still meet its objective. */
    in_time,
    /** @brief The job will be late, but still of use. */
    late,
    /** @brief Nobody waits for the job any more; it is done when there is room. */
    overdue,
};

/** @brief Checks whether all steps that a step comes after are done. */
[[nodiscard]] auto is_ready(const job_entry& job, const occurrence_state& occurrence, std::size_t step) -> bool;

/**
 * @brief Judges what a job is still worth to its client.
 *
 * Load pattern: a queue asks for several times what its pool holds for some seconds. Served in order of arrival, each
 * job waits until its slack is gone, and all of them are late. Jobs that can no longer be in time give way to those
 * that can.
 * @param state The scheduler, for learned run times.
 * @param job The job.
 * @param now Current time.
 * @return The urgency of its waiting tasks.
 */
[[nodiscard]] auto judge_urgency(const scheduler_state& state, const job_entry& job, time_point now) -> urgency;

/**
 * @brief Checks whether tasks that were accepted before this decider took over may start on a service's workers: all of
 * them have told what they run, or their leases from the time before are over.
 */
[[nodiscard]] auto is_recovered(const scheduler_state& state, const service_id& service, time_point now) -> bool;

/**
 * @brief Starts waiting tasks on workers with room, in order of urgency, priority and deadline.
 * @param state The scheduler; the orders are added to its m_starts.
 * @param now Current time.
 */
auto dispatch(scheduler_state& state, time_point now) -> void;

} // namespace cicadalug

#endif
