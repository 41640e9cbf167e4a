#include <cicadalug/scheduler/demand.hpp>
#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/job_estimates.hpp>

#include <algorithm>
#include <cmath>

namespace cicadalug {

namespace {

constexpr double microseconds_per_ms{1'000.0};

/** @brief Remaining work of a job in core-milliseconds, and the part of it that can run now. */
struct job_work {
    double m_total_core_ms{0.0};
    /** @brief Work of waiting tasks whose steps are ready. The others gain nothing from more capacity. */
    double m_ready_core_ms{0.0};
    /** @brief Cores of its runs. */
    double m_running_cores{0.0};
};

[[nodiscard]] auto work_of(const scheduler_state& state, const job_entry& job) -> job_work
{
    job_work work;
    for (const auto& occurrence : job.m_open) {
        for (std::size_t number = 0; number < occurrence.m_steps.size(); ++number) {
            const auto& spec = job.m_record.m_spec.m_steps[number];
            if (spec.m_long_running || spec.m_best_effort) {
                continue;
            }
            const auto& step = occurrence.m_steps[number];
            const auto cores = cores_of(spec.m_demand);
            const auto time_ms = expected_run_time_ms(state, job, spec);
            const auto open = step.m_tasks.size() - step.m_done;
            work.m_total_core_ms += static_cast<double>(open) * cores * time_ms;
            work.m_running_cores += static_cast<double>(open - step.m_waiting) * cores;
            if (step.m_waiting > 0 && is_ready(job, occurrence, number)) {
                work.m_ready_core_ms += static_cast<double>(step.m_waiting) * cores * time_ms;
            }
        }
    }
    return work;
}

[[nodiscard]] auto long_running_cores(const job_entry& job) -> double
{
    double cores{0.0};
    for (const auto& step : job.m_record.m_spec.m_steps) {
        if (step.m_long_running) {
            cores += static_cast<double>(step.m_count) * cores_of(reserved_demand(step));
        }
    }
    return cores;
}

/** @brief Returns the number of workers that the widest step of long-running tasks needs. Tasks of different steps can
 * share a worker. */
[[nodiscard]] auto long_running_workers(const job_entry& job) -> std::int64_t
{
    std::int64_t most{0};
    for (const auto& step : job.m_record.m_spec.m_steps) {
        if (step.m_long_running && step.m_max_per_worker > 0) {
            most = std::max(most, (step.m_count + step.m_max_per_worker - 1) / step.m_max_per_worker);
        }
    }
    return most;
}

/** @brief Checks whether the service's next expected surge is so close that moves for it have to begin now. */
[[nodiscard]] auto is_surge_imminent(const demand_state& demand, const service_demand& entry, const time_point now)
    -> bool
{
    return entry.m_expected_surge && now + demand.m_settings.m_lead_time >= *entry.m_expected_surge;
}

auto record_surge_begin(demand_state& demand, const service_id& service, const time_point now) -> void
{
    if (!demand.m_last_surge.empty() && demand.m_last_surge != service) {
        demand.m_surge_interval = now - demand.m_last_surge_begin;
        demand.m_successions[demand.m_last_surge] = {service, demand.m_surge_interval};
    }
    demand.m_last_surge = service;
    demand.m_last_surge_begin = now;
    demand.m_services[service].m_last_surge_begin = now;
    expect_next_surge(demand, service, now);
}

/** @brief Returns the cores that a service's surge is expected to request. */
[[nodiscard]] auto expected_peak_cores(const demand_state& demand, const service_demand& entry) -> double
{
    if (entry.m_peak_cores > 0.0) {
        return entry.m_peak_cores;
    }
    double ratio{0.0};
    for (const auto& [service, other] : demand.m_services) {
        ratio = other.m_own_cores > 0.0 ? std::max(ratio, other.m_peak_cores / other.m_own_cores) : ratio;
    }
    return entry.m_own_cores * (ratio > 0.0 ? ratio : demand.m_settings.m_peak_ratio);
}

auto update_surge_state(demand_state& demand, const service_id& service, const time_point now) -> void
{
    auto& entry = demand.m_services[service];
    const auto& settings = demand.m_settings;
    const bool above_begin =
        entry.m_rate_cores * 100.0 > entry.m_own_cores * static_cast<double>(settings.m_surge_begin_percent) &&
        entry.m_rate_jobs >= settings.m_surge_jobs;
    const bool below_end =
        entry.m_rate_cores * 100.0 < entry.m_own_cores * static_cast<double>(settings.m_surge_end_percent);
    if (!entry.m_surging && above_begin && entry.m_own_cores > 0.0) {
        entry.m_surging = true;
        entry.m_current_peak_cores = 0.0;
        record_surge_begin(demand, service, now);
    }
    else if (entry.m_surging && below_end) {
        entry.m_surging = false;
    }
    if (entry.m_surging) {
        entry.m_current_peak_cores = std::max(entry.m_current_peak_cores, entry.m_rate_cores);
        if (entry.m_last_surge_begin && now - *entry.m_last_surge_begin >= settings.m_rate_settle_time) {
            entry.m_peak_cores = entry.m_current_peak_cores;
        }
    }
    if (entry.m_expected_surge && now > *entry.m_expected_surge + settings.m_expectation_timeout) {
        entry.m_expected_surge.reset();
        std::erase_if(demand.m_successions,
                      [&service](const auto& succession) { return succession.second.m_next == service; });
    }
}

} // namespace

auto record_own_capacity(demand_state& demand, const std::vector<vm_status>& vms, const std::set<service_id>& standby)
    -> void
{
    const bool recorded = std::any_of(demand.m_services.begin(), demand.m_services.end(),
                                      [](const auto& service) { return service.second.m_own_cores > 0.0; });
    if (recorded) {
        return;
    }
    for (const auto& vm : vms) {
        if (!standby.contains(vm.m_pool)) {
            demand.m_services[vm.m_pool].m_own_cores += cores_of(vm.m_capacity);
        }
    }
}

auto update_demand(demand_state& demand, const scheduler_state& state, const time_point now) -> void
{
    const auto elapsed_ms = static_cast<double>((now - demand.m_updated).count()) / microseconds_per_ms;
    const bool first = demand.m_updated == time_point{};
    const auto decay_factor =
        first ? 0.0 : std::exp(-elapsed_ms / static_cast<double>(demand.m_settings.m_rate_window.count()));
    for (auto& [service, entry] : demand.m_services) {
        entry.m_rate_cores *= decay_factor;
        entry.m_rate_jobs *= decay_factor;
        entry.m_running_cores = 0.0;
        entry.m_ready_core_ms = 0.0;
        entry.m_late_ready_core_ms = 0.0;
        entry.m_long_running_cores = 0.0;
        entry.m_long_running_workers = 0;
    }
    for (const auto& [service, jobs] : state.m_active) {
        auto& entry = demand.m_services[service];
        for (const auto* job : jobs) {
            const auto work = work_of(state, *job);
            entry.m_running_cores += work.m_running_cores;
            (classify_urgency(state, *job, now) <= urgency::marginal ? entry.m_ready_core_ms
                                                                     : entry.m_late_ready_core_ms) +=
                work.m_ready_core_ms;
            entry.m_long_running_cores += long_running_cores(*job);
            entry.m_long_running_workers = std::max(entry.m_long_running_workers, long_running_workers(*job));
            // Recovered jobs arrived some time ago and do not count towards the current rate.
            if (!first && !job->m_recovered && job->m_arrived > demand.m_updated) {
                entry.m_rate_cores +=
                    work.m_total_core_ms / static_cast<double>(demand.m_settings.m_rate_window.count());
                entry.m_rate_jobs += 1.0;
            }
        }
    }
    demand.m_updated = now;
    for (const auto& [service, entry] : demand.m_services) {
        update_surge_state(demand, service, now);
    }
}

auto expect_next_surge(demand_state& demand, const service_id& service, const time_point begin) -> void
{
    for (auto& [other, entry] : demand.m_services) {
        entry.m_expected_surge.reset();
    }
    const auto next = demand.m_successions.find(service);
    if (next != demand.m_successions.end()) {
        auto& entry = demand.m_services[next->second.m_next];
        entry.m_expected_surge = begin + next->second.m_delay;
        entry.m_expected_share = 1.0;
        return;
    }
    if (demand.m_surge_interval == microseconds{0}) {
        return;
    }
    const auto could_be_next = [&service](const auto& other) {
        return other.first != service && other.second.m_own_cores > 0.0 && !other.second.m_last_surge_begin;
    };
    const auto count = std::count_if(demand.m_services.begin(), demand.m_services.end(), could_be_next);
    for (auto& other : demand.m_services) {
        if (could_be_next(other)) {
            other.second.m_expected_surge = begin + demand.m_surge_interval;
            other.second.m_expected_share = 1.0 / static_cast<double>(count);
        }
    }
}

auto can_lend(const demand_state& demand, const service_id& service) -> bool
{
    const auto found = demand.m_services.find(service);
    if (found == demand.m_services.end()) {
        return true;
    }
    const auto next = demand.m_successions.find(demand.m_last_surge);
    if (next != demand.m_successions.end()) {
        return next->second.m_next != service;
    }
    return found->second.m_last_surge_begin.has_value() || found->second.m_expected_surge.has_value();
}

auto needed_cores(const demand_state& demand, const service_id& service, const time_point now) -> double
{
    const auto found = demand.m_services.find(service);
    if (found == demand.m_services.end()) {
        return 0.0;
    }
    const auto& entry = found->second;
    const auto& settings = demand.m_settings;
    auto rate = entry.m_rate_cores;
    const bool settling =
        entry.m_surging && entry.m_last_surge_begin && now - *entry.m_last_surge_begin < settings.m_rate_settle_time;
    const bool certain = entry.m_expected_share >= 1.0 && is_surge_imminent(demand, entry, now);
    if (settling || certain) {
        rate = std::max(rate, expected_peak_cores(demand, entry));
    }
    const auto present = entry.m_running_cores +
                         entry.m_ready_core_ms / static_cast<double>(settings.m_clear_time.count()) +
                         entry.m_late_ready_core_ms / static_cast<double>(settings.m_late_clear_time.count());
    return entry.m_long_running_cores + std::max(rate, present);
}

auto target_cores(const demand_state& demand, const service_id& service, const time_point now) -> double
{
    const auto needed = needed_cores(demand, service, now);
    const auto found = demand.m_services.find(service);
    if (found == demand.m_services.end() || !is_surge_imminent(demand, found->second, now)) {
        return needed;
    }
    const auto& entry = found->second;
    return std::max(needed, entry.m_long_running_cores + expected_peak_cores(demand, entry) * entry.m_expected_share);
}

} // namespace cicadalug
