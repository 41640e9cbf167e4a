#ifndef CICADALUG_SCHEDULER_THROTTLING_HPP
#define CICADALUG_SCHEDULER_THROTTLING_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug {

/** @brief Settings of the pace of best-effort tasks. */
struct throttle_settings {
    /** @brief Above this share of its latency target, in percent, a serving task is to be relieved. Below 100, because
     * a report is up to a second old. */
    std::int64_t m_slow_down_percent{85};
    /** @brief Below this share the best-effort tasks beside it may work more. The gap is the hysteresis. */
    std::int64_t m_speed_up_percent{60};
    /** @brief Share of their speed that best-effort tasks keep when they are slowed down, in percent. */
    std::int64_t m_slow_down_factor{50};
    /** @brief Below this pace best-effort tasks are halted. */
    std::int64_t m_least_pace{15};
    std::int64_t m_speed_up_step{15};
    /** @brief A change takes effect after 100 ms and is seen in reports that cover half a second. */
    milliseconds m_slow_down_interval{600};
    milliseconds m_speed_up_interval{2'000};
};

/** @brief Order to set the pace of a run. */
struct throttle_command {
    worker_index m_worker{no_worker};
    task_ref m_task;
    run_number m_run;
    std::int64_t m_speed_percent{100};
};

/**
 * @brief Decides the pace of best-effort tasks beside serving ones.
 *
 * Load pattern: tasks that fill the capacity which others leave raise the tail latency of serving tasks on the same
 * worker, by amounts that change within seconds. They are halved when a target comes near and raised in small steps
 * when there is room again.
 * @param state The scheduler; the paces are kept in its workers and runs.
 * @param settings Settings.
 * @param now Current time.
 * @return Orders to send now. A pace counts as set when apply_throttle_result() has told so.
 */
[[nodiscard]] auto plan_throttling(scheduler_state& state, const throttle_settings& settings, time_point now)
    -> std::vector<throttle_command>;

/** @brief Takes the answer to a change of pace. */
auto apply_throttle_result(scheduler_state& state, const throttle_command& order, command_result result) -> void;

} // namespace cicadalug

#endif
