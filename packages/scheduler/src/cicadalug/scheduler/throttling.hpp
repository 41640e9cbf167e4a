#ifndef CICADALUG_SCHEDULER_THROTTLING_HPP
#define CICADALUG_SCHEDULER_THROTTLING_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug {

/** @brief Settings of the throttling of best-effort tasks. */
struct throttle_settings {
    /** @brief Best-effort tasks are slowed down when a serving task on the same worker exceeds this percentage of its
     * latency target. Below 100, because a report is up to a second old. */
    std::int64_t m_slow_down_percent{85};
    /** @brief Below this percentage the best-effort tasks are sped up. The gap between both is the hysteresis. */
    std::int64_t m_speed_up_percent{60};
    /** @brief Percentage of their current speed that best-effort tasks keep in each slow-down. */
    std::int64_t m_slow_down_factor{50};
    /** @brief Best-effort tasks that would run below this speed are halted. */
    std::int64_t m_min_speed_percent{15};
    std::int64_t m_speed_up_step{15};
    /** @brief A change takes effect after 100 ms and is visible in reports that cover half a second. */
    milliseconds m_slow_down_interval{600};
    milliseconds m_speed_up_interval{2'000};
};

/** @brief Command to set the speed of a run. */
struct throttle_command {
    worker_index m_worker{no_worker};
    task_ref m_task;
    run_number m_run;
    std::int64_t m_speed_percent{100};
};

/**
 * @brief Decides the speed of best-effort tasks on workers that also run serving tasks.
 *
 * Load pattern: best-effort tasks, which use the capacity that others leave, raise the tail latency of serving tasks on
 * the same worker by amounts that change within seconds. Their speed is halved when a latency approaches its target,
 * and raised in small steps when the latency is well below the target again.
 * @param state The scheduler; the speeds are kept in its workers and runs.
 * @param settings Settings.
 * @param now Current time.
 * @return Commands to send now. A speed counts as set once apply_throttle_result() has applied its acceptance.
 */
[[nodiscard]] auto plan_throttling(scheduler_state& state, const throttle_settings& settings, time_point now)
    -> std::vector<throttle_command>;

/** @brief Applies the result of a throttle command. */
auto apply_throttle_result(scheduler_state& state, const throttle_command& command, command_result result) -> void;

} // namespace cicadalug

#endif
