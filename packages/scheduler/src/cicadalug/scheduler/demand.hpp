#ifndef CICADALUG_SCHEDULER_DEMAND_HPP
#define CICADALUG_SCHEDULER_DEMAND_HPP

#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/vm_list.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cicadalug {

/** @brief Settings of the demand estimate. */
struct demand_settings {
    /** @brief Time constant of the arrival rate: a third of the shortest surge seen in the users' traffic. */
    milliseconds m_rate_window{700};
    /** @brief Time within which the tasks that are ready to run should start. */
    milliseconds m_clear_time{1'000};
    /** @brief The same for jobs that are already late. Their results are worth little, and VMs are of more use where
     * jobs can still meet their objectives. */
    milliseconds m_late_clear_time{2'500};
    /** @brief A surge begins when the arrival rate exceeds this percentage of the pool's own cores. */
    std::int64_t m_surge_begin_percent{45};
    /** @brief A surge ends when the rate drops below this percentage. Lower, so that noise does not end it. */
    std::int64_t m_surge_end_percent{20};
    /** @brief Capacity is requested this long before an expected surge: the duration of a move and some reserve. */
    milliseconds m_lead_time{2'300};
    /** @brief A surge that has not begun this long after its expected time is no longer expected. */
    milliseconds m_expectation_timeout{1'500};
    /** @brief Minimum number of jobs in a rate window for a surge, however large the jobs are. */
    double m_surge_jobs{3.0};
    /** @brief Assumed peak of a surge as a multiple of the pool's own cores until a surge has been observed. The users
     * state five times the mean rate, "more than the pool holds"; the observed factors are 1.7 to 2.3. */
    double m_peak_ratio{2.0};
    /** @brief Until this long after the start of a surge the expected peak is used; from then on the measured rate is
     * reliable. Three rate windows, after which the mean has risen to 95 %. */
    milliseconds m_rate_settle_time{2'000};
};

/** @brief Service whose surge usually follows that of another service, and the time between their starts. */
struct surge_succession {
    service_id m_next;
    microseconds m_delay{0};
};

/** @brief Demand estimate of one service. */
struct service_demand {
    /** @brief Cores requested by arriving jobs, as an exponential average over the rate window. */
    double m_rate_cores{0.0};
    /** @brief Jobs that arrived in the rate window, with exponential decay. */
    double m_rate_jobs{0.0};
    /** @brief Highest rate of the last surge that lasted long enough for its rate to settle; 0 before the first one. */
    double m_peak_cores{0.0};
    /** @brief Highest rate of the current surge so far. */
    double m_current_peak_cores{0.0};
    /** @brief Cores of running tasks, except long-running and best-effort ones. */
    double m_running_cores{0.0};
    /** @brief Work in core-milliseconds of waiting tasks that can run now, of jobs that can meet their objectives. */
    double m_ready_core_ms{0.0};
    /** @brief The same for jobs that are already late. */
    double m_late_ready_core_ms{0.0};
    /** @brief Cores reserved by long-running tasks. */
    double m_long_running_cores{0.0};
    /** @brief Workers that a step of long-running tasks needs, as each of them may hold only some of its tasks. */
    std::int64_t m_long_running_workers{0};
    /** @brief Cores of the pool when the VMs were first listed; surges are measured relative to them. */
    double m_own_cores{0.0};
    bool m_surging{false};
    /** @brief When the last surge began; empty before the first one. */
    std::optional<time_point> m_last_surge_begin;
    /** @brief When the next surge is expected, as derived from the order of past surges. */
    std::optional<time_point> m_expected_surge;
    /** @brief Share of the peak to prepare for: 1 if the order of surges is known, else divided among the services that
     * could surge next. */
    double m_expected_share{1.0};
};

/**
 * @brief Demand of all services, with the order in which they surge.
 * @note Thread safety: one thread at a time.
 */
struct demand_state {
    demand_settings m_settings;
    std::map<service_id, service_demand> m_services;
    std::map<service_id, surge_succession> m_successions;
    /** @brief Service whose surge began last, and when it began. */
    service_id m_last_surge;
    time_point m_last_surge_begin{};
    /** @brief Time between the starts of the last two surges; 0 before the second surge. */
    microseconds m_surge_interval{0};
    time_point m_updated{};
};

/**
 * @brief Records the pools' own cores from the platform's list of VMs, unless an earlier decider has saved them. The
 * workers registered so far cannot be counted instead: right after a start there are few of them, and which ones is
 * arbitrary.
 * @param demand Demand to update.
 * @param vms The platform's list of VMs.
 * @param standby Pools whose VMs are off.
 */
auto record_own_capacity(demand_state& demand, const std::vector<vm_status>& vms, const std::set<service_id>& standby)
    -> void;

/**
 * @brief Updates the demand from the scheduler's active jobs.
 *
 * Load pattern: services surge one after another, always in the same order. Purely reactive scaling is late by the
 * duration of a move, which is a third of a surge. The order and the distance of past surges predict when and where
 * capacity is needed next; in the first round, before the order is known, the prepared capacity is divided among the
 * services that have not surged yet. If an expected surge does not come, the expectation is dropped and scaling is
 * reactive again. Reactive scaling does not wait for the measured rate to rise: the first jobs of a surge request the
 * capacity of its expected peak.
 * @param demand Demand to update.
 * @param state The scheduler.
 * @param now Current time.
 */
auto update_demand(demand_state& demand, const scheduler_state& state, time_point now) -> void;

/**
 * @brief Sets when the services' next surges are expected, after the surge of one of them has begun.
 * @param demand Demand to update.
 * @param service The surging service.
 * @param begin When it began.
 */
auto expect_next_surge(demand_state& demand, const service_id& service, time_point begin) -> void;

/**
 * @brief Checks whether all idle capacity of a service may be lent: another service is known to surge next, or, while
 * that is unknown, the service has surged before or the time of its surge is expected. Any other service retains
 * move_settings::m_retained_percent of its own capacity.
 * @param demand The demand.
 * @param service The service.
 * @return True if only its current demand has to be covered.
 */
[[nodiscard]] auto can_lend(const demand_state& demand, const service_id& service) -> bool;

/**
 * @brief Returns the cores that a service needs for present and arriving work.
 * @param demand The demand.
 * @param service The service.
 * @param now Current time.
 * @return Cores, including those of long-running tasks.
 */
[[nodiscard]] auto needed_cores(const demand_state& demand, const service_id& service, time_point now) -> double;

/**
 * @brief Returns the cores that a service needs by the time a move begun now takes effect, including those for a surge
 * that is expected by then.
 * @param demand The demand.
 * @param service The service.
 * @param now Current time.
 * @return Cores, including those of long-running tasks.
 */
[[nodiscard]] auto target_cores(const demand_state& demand, const service_id& service, time_point now) -> double;

} // namespace cicadalug

#endif
