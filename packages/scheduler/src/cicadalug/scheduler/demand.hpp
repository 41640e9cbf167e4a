#ifndef CICADALUG_SCHEDULER_DEMAND_HPP
#define CICADALUG_SCHEDULER_DEMAND_HPP

#include <cicadalug/scheduler/maintenance.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cicadalug {

/** @brief Settings of the demand estimate. */
struct demand_settings {
    /** @brief Time constant of the arrival rate; a third of the shortest surge seen in the users' traffic. */
    milliseconds m_rate_window{700};
    /** @brief Tasks that could run now are to have started in this time. */
    milliseconds m_clear_time{1'000};
    /** @brief The same for jobs that are late already: they earn little, and VMs are better sent where jobs can still
     * be in time. */
    milliseconds m_late_clear_time{2'500};
    /** @brief A surge begins when the rate exceeds this share of the pool's own processors, in percent. */
    std::int64_t m_surge_begin_percent{45};
    /** @brief A surge has ended when the rate is below this share. Lower, so that noise does not end it. */
    std::int64_t m_surge_end_percent{20};
    /** @brief Capacity is wanted this long before an expected surge: the time of a move and some reserve. */
    milliseconds m_lead{2'300};
    /** @brief An expected surge that has not begun by then is not expected any more. */
    milliseconds m_patience{1'500};
    /** @brief Fewer jobs than this in a rate window are no surge, however large they are. */
    double m_surge_jobs{3.0};
    /** @brief Peak of a surge in multiples of the pool's own processors, as long as no surge has been seen. The users
     * state five times the mean rate, "more than the pool holds"; seen are 1.7 to 2.3. */
    double m_peak_ratio{2.0};
    /** @brief The measured rate is trusted this long after a surge began; until then the usual peak counts. Three rate
     * windows, after which the mean has come up to 95 %. */
    milliseconds m_rate_settles{2'000};
};

/** @brief When the surge of a service tends to follow that of another one. */
struct surge_succession {
    service_id m_next;
    microseconds m_delay{0};
};

/** @brief What is known of the demand for one service. */
struct service_demand {
    /** @brief Processors that the arriving jobs ask for. */
    double m_rate_cores{0.0};
    /** @brief Jobs that arrived in the last rate window. */
    double m_rate_jobs{0.0};
    /** @brief Highest rate of the last surge whose rate had settled; 0 before the first one. */
    double m_peak_cores{0.0};
    /** @brief Highest rate of the present surge so far. */
    double m_rising_peak{0.0};
    /** @brief Processors of running tasks, those that last excluded. */
    double m_running_cores{0.0};
    /** @brief Work of waiting tasks that could run now, in core-milliseconds, of jobs that can still be in time. */
    double m_ready_core_ms{0.0};
    /** @brief The same of jobs that are late already. */
    double m_late_ready_core_ms{0.0};
    /** @brief Processors reserved by tasks that last. */
    double m_long_running_cores{0.0};
    /** @brief Processors of the pool when the VMs were first listed; the scale of a surge. */
    double m_own_cores{0.0};
    bool m_surging{false};
    /** @brief When the last surge began; nothing before the first one. */
    std::optional<time_point> m_surged;
    /** @brief When the next surge is expected, learned from the order of past ones. */
    std::optional<time_point> m_expected_surge;
    /** @brief Share of the peak to prepare for: 1 if the order is known, else spread over the services that could be
     * next. */
    double m_expected_share{1.0};
};

/**
 * @brief Demand for all services, with the order in which they surge.
 * @note Thread safety: one thread at a time.
 */
struct demand_state {
    demand_settings m_settings;
    std::map<service_id, service_demand> m_services;
    std::map<service_id, surge_succession> m_successions;
    /** @brief Service that began to surge last, and when. */
    service_id m_last_surge;
    time_point m_last_surge_begin{};
    /** @brief Time between the begins of the last two surges; 0 before the second one. */
    microseconds m_turn{0};
    time_point m_updated{};
};

/**
 * @brief Takes the pools' own processors from the platform's list, unless an earlier decider has remembered them. The
 * workers that have registered so far would not do: right after a start they are few, and by chance.
 * @param demand The demand.
 * @param vms The platform's list.
 * @param standby Pools whose VMs are off.
 */
auto record_own_capacity(demand_state& demand, const std::vector<vm_status>& vms, const std::set<service_id>& standby)
    -> void;

/**
 * @brief Brings the demand up to date.

 *
 * Load pattern: services surge in turns, always in the same order. Reaction alone is late by the time of a move, which
  * is a third of a surge. The order and the distance of past surges tell when and where capacity is needed next; in the
 * first round, before the order is known, the services that have not surged yet share what is prepared. When an
 expected
 * surge does not come, the expectation is dropped and reaction remains. Reaction does not wait for the measured rate to
 * come up: the first jobs of a surge call for the capacity of its usual peak.

 * @param demand The demand.
 * @param state The scheduler.
 * @param now Current time.
 */
auto update_demand(demand_state& demand, const scheduler_state& state, time_point now) -> void;

/**
 * @brief Sets when the services' next surges are expected, after one of them has begun.
 * @param demand The demand.
 * @param service The service that surges.
 * @param begin When it began.
 */
auto expect_next_surge(demand_state& demand, const service_id& service, time_point begin) -> void;

/**
 * @brief Checks whether a service's own capacity may be lent as far as it is idle: its next surge is known not to be
 * the next one, or it has just surged. A service of which nothing is known keeps most of its own capacity.
 * @param demand The demand.
 * @param service The service.
 * @return True if only its present demand has to be covered.
 */
[[nodiscard]] auto may_lend(const demand_state& demand, const service_id& service) -> bool;

/**
 * @brief Returns the processors that a service needs for work that is there or is arriving.
 * @param demand The demand.
 * @param service The service.
 * @param now Current time.
 * @return Cores, those of tasks that last included.
 */
[[nodiscard]] auto needed_cores(const demand_state& demand, const service_id& service, time_point now) -> double;

/**
 * @brief Returns the processors that a service needs by the time a move would take effect, with those for a surge that
 * is expected by then.
 * @param demand The demand.
 * @param service The service.
 * @param now Current time.
 * @return Cores, those of tasks that last included.
 */
[[nodiscard]] auto target_cores(const demand_state& demand, const service_id& service, time_point now) -> double;

} // namespace cicadalug

#endif
