#include <cicadalug/scheduler/worker_lease.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace cicadalug {

namespace {

[[nodiscard]] auto elected_at(const scheduler_state& state) -> time_point
{
    return state.m_elected.value_or(state.m_began);
}

[[nodiscard]] auto find_expected(const scheduler_state& state, const worker_id& id) -> expected_lease
{
    const auto found = state.m_expected_leases.find(id);
    return found == state.m_expected_leases.end() ? expected_lease{} : found->second;
}

/** @brief Returns the results of expected_lease_end() and of bound_of_expected_lease(). */
[[nodiscard]] auto find_expected_end(const scheduler_state& state, const worker_id& id)
    -> std::pair<time_point, expected_bound>
{
    const auto lease = find_expected(state, id);
    std::pair found{expected_end_of_grants(state, id),
                    lease.m_end ? expected_bound::stored_end : expected_bound::election};
    const auto extend = [&found](const time_point end, const expected_bound bound) {
        if (end > found.first) {
            found = {end, bound};
        }
    };
    extend(lease.m_stale_end.value_or(time_point{}), expected_bound::restart);
    const auto index = find_worker(state, id);
    const bool registered = index != no_worker && state.m_workers[static_cast<std::size_t>(index)].m_registered;
    if (registered && state.m_expected_unheard.contains(id)) {
        extend(expected_end_of_late_calls(state, id), expected_bound::late_calls);
    }
    return found;
}

} // namespace

auto inherited_leases_end(const scheduler_state& state) -> time_point
{
    const auto& settings = state.m_settings;
    return elected_at(state) + settings.m_grant_horizon +
           settings.m_grant_horizon * settings.m_clock_drift_permille / 1'000 + settings.m_lease_margin;
}

auto expected_end_of_grants(const scheduler_state& state, const worker_id& id) -> time_point
{
    const auto inherited = inherited_leases_end(state);
    return std::min(inherited, find_expected(state, id).m_end.value_or(inherited));
}

auto expected_end_of_late_calls(const scheduler_state& state, const worker_id& id) -> time_point
{
    // An earlier decider has started nothing after the term was stored.
    const auto end = end_of_late_lease(state.m_settings, elected_at(state));
    return std::min(end, find_expected(state, id).m_late_end.value_or(end));
}

auto end_of_late_calls(const scheduler_state& state, const worker_slot& worker) -> time_point
{
    return end_of_late_lease(state.m_settings, worker.m_last_report + unaware_time);
}

auto expected_lease_end(const scheduler_state& state, const worker_id& id) -> time_point
{
    return find_expected_end(state, id).first;
}

auto bound_of_expected_lease(const scheduler_state& state, const worker_id& id) -> expected_bound
{
    return find_expected_end(state, id).second;
}

auto name_of(const expected_bound bound) noexcept -> std::string_view
{
    constexpr std::array<std::string_view, 4> names{"election", "stored_end", "restart", "late_calls"};
    return names.at(static_cast<std::size_t>(bound));
}

auto end_of_late_lease(const scheduler_settings& settings, const time_point last_sent) -> time_point
{
    return last_sent + settings.m_late_call_time + settings.m_longest_lease +
           settings.m_longest_lease * settings.m_clock_drift_permille / 1'000 + settings.m_lease_margin;
}

auto has_lease(const scheduler_state& state, const worker_slot& worker, const time_point now) -> bool
{
    return known_lease_of(worker).m_until_ms > 0 && lease_end(state, worker) > now;
}

auto lease_end(const scheduler_state& state, const worker_slot& worker) -> time_point
{
    return end_of_lease(state, worker, known_lease_of(worker).m_until_ms);
}

auto end_of_lease(const scheduler_state& state, const worker_slot& worker, const std::int64_t lease_until_ms)
    -> time_point
{
    const auto left_ms = std::max<std::int64_t>(0, lease_until_ms - worker.m_clock_ms);
    const auto slowest_ms = left_ms + left_ms * state.m_settings.m_clock_drift_permille / 1'000;
    return worker.m_clock_read + milliseconds{slowest_ms} + state.m_settings.m_lease_margin;
}

auto update_lease_limits(scheduler_state& state, const time_point last_renewal, const milliseconds term_lease) -> void
{
    // While nothing changes, the copy is older than the last renewal; in an outage both get older together.
    const auto copy = state.m_jobs_current_at + state.m_settings.m_min_copy_age;
    state.m_grant_limit = std::min(last_renewal, copy) + state.m_settings.m_grant_horizon;
    state.m_term_guaranteed_until = last_renewal + term_lease;
}

auto grant_lease(scheduler_state& state, const worker_index index, const time_point now) -> std::int64_t
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    // A successor would not wait for a lease after the end that is stored.
    if (!worker.m_unresponsive && !worker.m_listed_end) {
        const auto end = std::min(now + state.m_settings.m_worker_lease, state.m_grant_limit);
        const auto granted = std::chrono::duration_cast<milliseconds>(end - worker.m_clock_read);
        worker.m_lease_until_ms = std::max(worker.m_lease_until_ms, worker.m_clock_ms + granted.count());
    }
    return worker.m_lease_until_ms;
}

auto known_lease_of(const worker_slot& worker) -> known_lease
{
    const auto latest = std::max({std::pair{worker.m_lease_until_ms, lease_source::granted},
                                  std::pair{worker.m_inherited_until_ms, lease_source::inherited},
                                  std::pair{worker.m_stale_until_ms, lease_source::stale}});
    return {latest.first > 0 ? latest.second : lease_source::none, latest.first, worker.m_clock_ms,
            worker.m_incarnation_start_unix_ms};
}

auto inherit_lease(scheduler_state& state, const worker_index index, const worker_report& report, const time_point now)
    -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    const auto granted_until = expected_end_of_grants(state, worker.m_entry.m_id);
    const auto left = std::chrono::ceil<milliseconds>(granted_until - now);
    const auto longest = std::min(left, state.m_settings.m_worker_lease);
    if (longest > milliseconds{0}) {
        worker.m_inherited_until_ms = std::max(worker.m_inherited_until_ms, report.m_clock_ms + longest.count());
        record_lease(state, index, lease_source::inherited, worker.m_inherited_until_ms, report);
    }
}

auto record_lease(scheduler_state& state, const worker_index index, const lease_source source,
                  const std::int64_t lease_until_ms, const worker_report& report) -> void
{
    state.m_lease_events.push_back(
        {index, {source, lease_until_ms, report.m_clock_ms, report.m_incarnation_start_unix_ms}, report.m_token});
}

} // namespace cicadalug
