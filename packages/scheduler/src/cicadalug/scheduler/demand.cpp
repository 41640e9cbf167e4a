#include <cicadalug/scheduler/demand.hpp>
#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/jobs.hpp>

#include <algorithm>
#include <cmath>

namespace cicadalug {

namespace {

constexpr double microseconds_per_ms{1'000.0};

/** @brief Work of a job, in core-milliseconds, and the part of its demand that could be met at once. */
struct job_work {
    double m_all{0.0};
    /** @brief Work of waiting tasks whose steps are ready. Further capacity does nothing for the others. */
    double m_ready_core_ms{0.0};
    /** @brief Processors of its runs. */
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
            work.m_all += static_cast<double>(open) * cores * time_ms;
            work.m_running_cores += static_cast<double>(open - step.m_waiting) * cores;
            if (step.m_waiting > 0 && is_ready(job, occurrence, number)) {
                work.m_ready_core_ms += static_cast<double>(step.m_waiting) * cores * time_ms;
            }
        }
    }
    return work;
}

[[nodiscard]] auto lasting_cores(const job_entry& job) -> double
{
    double cores{0.0};
    for (const auto& step : job.m_record.m_spec.m_steps) {
        if (step.m_long_running) {
            cores += static_cast<double>(step.m_count) * cores_of(reserved_demand(step));
        }
    }
    return cores;
}

/** @brief Checks whether a move begun now would take effect just before the service's next expected surge. */
[[nodiscard]] auto is_surge_near(const demand_state& demand, const service_demand& known, const time_point now) -> bool
{
    return known.m_expected_surge && now + demand.m_settings.m_lead >= *known.m_expected_surge;
}

auto note_surge_begin(demand_state& demand, const service_id& service, const time_point now) -> void
{
    if (!demand.m_last_surge.empty() && demand.m_last_surge != service) {
        demand.m_turn = now - demand.m_last_surge_begin;
        demand.m_successions[demand.m_last_surge] = {service, demand.m_turn};
    }
    demand.m_last_surge = service;
    demand.m_last_surge_begin = now;
    demand.m_services[service].m_surged = now;
    expect_next_surge(demand, service, now);
}

/** @brief Processors that a service's surge is expected to ask for. */
[[nodiscard]] auto usual_peak(const demand_state& demand, const service_demand& known) -> double
{
    if (known.m_peak_cores > 0.0) {
        return known.m_peak_cores;
    }
    double ratio{0.0};
    for (const auto& [service, other] : demand.m_services) {
        ratio = other.m_own_cores > 0.0 ? std::max(ratio, other.m_peak_cores / other.m_own_cores) : ratio;
    }
    return known.m_own_cores * (ratio > 0.0 ? ratio : demand.m_settings.m_peak_ratio);
}

auto note_rate(demand_state& demand, const service_id& service, const time_point now) -> void
{
    auto& known = demand.m_services[service];
    const auto& settings = demand.m_settings;
    const bool above =
        known.m_rate_cores * 100.0 > known.m_own_cores * static_cast<double>(settings.m_surge_begin_percent) &&
        known.m_rate_jobs >= settings.m_surge_jobs;
    const bool below =
        known.m_rate_cores * 100.0 < known.m_own_cores * static_cast<double>(settings.m_surge_end_percent);
    if (!known.m_surging && above && known.m_own_cores > 0.0) {
        known.m_surging = true;
        known.m_rising_peak = 0.0;
        note_surge_begin(demand, service, now);
    }
    else if (known.m_surging && below) {
        known.m_surging = false;
    }
    if (known.m_surging) {
        known.m_rising_peak = std::max(known.m_rising_peak, known.m_rate_cores);
        if (known.m_surged && now - *known.m_surged >= settings.m_rate_settles) {
            known.m_peak_cores = known.m_rising_peak;
        }
    }
    if (known.m_expected_surge && now > *known.m_expected_surge + settings.m_patience) {
        known.m_expected_surge.reset();
        std::erase_if(demand.m_successions,
                      [&service](const auto& succession) { return succession.second.m_next == service; });
    }
}

} // namespace

auto record_own_capacity(demand_state& demand, const std::vector<vm_status>& vms, const std::set<service_id>& standby)
    -> void
{
    const bool known = std::any_of(demand.m_services.begin(), demand.m_services.end(),
                                   [](const auto& service) { return service.second.m_own_cores > 0.0; });
    if (known) {
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
    const auto passed_ms = static_cast<double>((now - demand.m_updated).count()) / microseconds_per_ms;
    const bool first = demand.m_updated == time_point{};
    const auto keep = first ? 0.0 : std::exp(-passed_ms / static_cast<double>(demand.m_settings.m_rate_window.count()));
    for (auto& [service, known] : demand.m_services) {
        known.m_rate_cores *= keep;
        known.m_rate_jobs *= keep;
        known.m_running_cores = 0.0;
        known.m_ready_core_ms = 0.0;
        known.m_late_ready_core_ms = 0.0;
        known.m_long_running_cores = 0.0;
    }
    for (const auto& [service, jobs] : state.m_active) {
        auto& known = demand.m_services[service];
        for (const auto* job : jobs) {
            const auto work = work_of(state, *job);
            known.m_running_cores += work.m_running_cores;
            (judge_urgency(state, *job, now) == urgency::in_time ? known.m_ready_core_ms
                                                                 : known.m_late_ready_core_ms) += work.m_ready_core_ms;
            known.m_long_running_cores += lasting_cores(*job);
            // Jobs that were recovered arrived some time ago and say nothing about the rate of now.
            if (!first && !job->m_recovered && job->m_arrived > demand.m_updated) {
                known.m_rate_cores += work.m_all / static_cast<double>(demand.m_settings.m_rate_window.count());
                known.m_rate_jobs += 1.0;
            }
        }
    }
    demand.m_updated = now;
    for (const auto& [service, known] : demand.m_services) {
        note_rate(demand, service, now);
    }
}

auto expect_next_surge(demand_state& demand, const service_id& service, const time_point begin) -> void
{
    for (auto& [other, known] : demand.m_services) {
        known.m_expected_surge.reset();
    }
    const auto next = demand.m_successions.find(service);
    if (next != demand.m_successions.end()) {
        auto& known = demand.m_services[next->second.m_next];
        known.m_expected_surge = begin + next->second.m_delay;
        known.m_expected_share = 1.0;
        return;
    }
    if (demand.m_turn == microseconds{0}) {
        return;
    }
    const auto could_be_next = [&service](const auto& other) {
        return other.first != service && other.second.m_own_cores > 0.0 && !other.second.m_surged;
    };
    const auto count = std::count_if(demand.m_services.begin(), demand.m_services.end(), could_be_next);
    for (auto& other : demand.m_services) {
        if (could_be_next(other)) {
            other.second.m_expected_surge = begin + demand.m_turn;
            other.second.m_expected_share = 1.0 / static_cast<double>(count);
        }
    }
}

auto may_lend(const demand_state& demand, const service_id& service) -> bool
{
    const auto found = demand.m_services.find(service);
    if (found == demand.m_services.end()) {
        return true;
    }
    const auto next = demand.m_successions.find(demand.m_last_surge);
    if (next != demand.m_successions.end()) {
        return next->second.m_next != service;
    }
    return found->second.m_surged.has_value() || found->second.m_expected_surge.has_value();
}

auto needed_cores(const demand_state& demand, const service_id& service, const time_point now) -> double
{
    const auto found = demand.m_services.find(service);
    if (found == demand.m_services.end()) {
        return 0.0;
    }
    const auto& known = found->second;
    const auto& settings = demand.m_settings;
    auto rate = known.m_rate_cores;
    const bool settling = known.m_surging && known.m_surged && now - *known.m_surged < settings.m_rate_settles;
    const bool certain = known.m_expected_share >= 1.0 && is_surge_near(demand, known, now);
    if (settling || certain) {
        rate = std::max(rate, usual_peak(demand, known));
    }
    const auto present = known.m_running_cores +
                         known.m_ready_core_ms / static_cast<double>(settings.m_clear_time.count()) +
                         known.m_late_ready_core_ms / static_cast<double>(settings.m_late_clear_time.count());
    return known.m_long_running_cores + std::max(rate, present);
}

auto target_cores(const demand_state& demand, const service_id& service, const time_point now) -> double
{
    const auto needed = needed_cores(demand, service, now);
    const auto found = demand.m_services.find(service);
    if (found == demand.m_services.end() || !is_surge_near(demand, found->second, now)) {
        return needed;
    }
    const auto& known = found->second;
    return std::max(needed, known.m_long_running_cores + usual_peak(demand, known) * known.m_expected_share);
}

} // namespace cicadalug
