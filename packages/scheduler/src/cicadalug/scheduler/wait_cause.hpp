#ifndef CICADALUG_SCHEDULER_WAIT_CAUSE_HPP
#define CICADALUG_SCHEDULER_WAIT_CAUSE_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief The condition that keeps a task from its start. */
enum class wait_cause : std::uint8_t {
    /** @brief Another decider may have begun its term. */
    term_not_guaranteed,
    jobs_copy_too_old,
    workers_copy_too_old,
    /** @brief Leases that could be granted now would be too short. */
    leases_too_short,
    /** @brief After a takeover, runs of the task may still be found. */
    recovering,
    back_off,
    /** @brief The other members of its gang cannot start yet. */
    gang_incomplete,
    /** @brief A suspect has no worker for its trial, another task of its job has begun one, evidence about its last one
     * may follow, or there are as many trials as allowed. */
    no_trial,
    trial_not_stored,
    /** @brief Other runs on the worker of the trial have not survived their start yet. */
    trial_worker_busy,
    /** @brief No worker of the service accepts new work. */
    none_accepting,
    /** @brief No worker that accepts new work can hold the task. */
    none_fitting,
    /** @brief The write that opens the step is in progress. */
    step_not_opened,
    /** @brief Nothing: the next scheduling pass starts the task. */
    none,
};

/** @brief Returns the name of a cause in log lines. */
[[nodiscard]] auto name_of(wait_cause cause) noexcept -> std::string_view;

/** @brief Why a task waits, and what rules out the workers of its service. */
struct task_wait {
    task_ref m_task;
    /** @brief How long the task has been waiting for its start at least. */
    microseconds m_waited{0};
    wait_cause m_cause{wait_cause::none};
    /** @brief Workers of the service that are registered or may hold runs, by the first obstacle for the task. */
    std::array<std::int64_t, worker_obstacles> m_workers{};
    /** @brief Workers on which runs use more than the present capacity. */
    std::int64_t m_overcommitted{0};
    /** @brief Workers of the service of which it is not known what they run. */
    std::int64_t m_unreported{0};
    /** @brief Result of count_expected_workers(). */
    std::int64_t m_expected{0};
    /** @brief The expected worker that is awaited longest, how long its leases of earlier terms may still run, and what
     * determines that. */
    std::optional<worker_id> m_awaited;
    microseconds m_awaited_left{0};
    expected_bound m_awaited_bound{expected_bound::election};
    /** @brief When the first pause of a worker of the service ends. */
    std::optional<microseconds> m_pause_left;
    /** @brief How long the write that opens the step has been in progress. */
    std::optional<microseconds> m_opening;
};

/**
 * @brief Explains why a waiting task has not been started, by the conditions that dispatch() checks.
 * @pre The task exists and is waiting, and all steps that its step depends on are done.
 */
[[nodiscard]] auto explain_wait(const scheduler_state& state, const task_ref& task, time_point now) -> task_wait;

/** @brief Long-running tasks that have been waiting for long. */
struct long_waits {
    /** @brief The first of them, explained. */
    std::vector<task_wait> m_explained;
    std::size_t m_count{0};
};

/**
 * @brief Finds the long-running tasks whose turn has come and that have been waiting for a time.
 * @param state The scheduler.
 * @param at_least Minimum time.
 * @param limit Maximum number of tasks to explain; the others are counted.
 * @param now Current time.
 */
[[nodiscard]] auto find_long_waits(const scheduler_state& state, milliseconds at_least, std::size_t limit,
                                   time_point now) -> long_waits;

} // namespace cicadalug

#endif
