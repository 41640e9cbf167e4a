#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/stale_lease.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>

namespace cicadalug {

namespace {

/** @brief The times of day of two machines differ by less than this, also while they are set. */
constexpr milliseconds time_of_day_error{5'000};

/** @brief A reading of a worker's clock that is ahead of what is expected by more than this is one of another
 * incarnation: the last report may have been under way for so long. */
constexpr milliseconds clock_tolerance{1'000};

/** @brief A decider that is cut off from the store goes on for up to this long after its term has ended. */
constexpr milliseconds deposed_time{9'000};

[[nodiscard]] auto answers_raised_token(const scheduler_state& state, const worker_slot& worker,
                                        const worker_report& report) -> bool
{
    return !worker.m_awaits_fence && report.m_token >= fence_of(state, worker);
}

/** @brief Checks whether the incarnation that made a worker's first report in this term may have taken on a lease from
 * a call of an earlier decider to the incarnation before it. */
[[nodiscard]] auto may_hold_stale_lease(const scheduler_state& state, const worker_report& report, const time_point now)
    -> bool
{
    const auto longest = state.m_settings.m_late_call_time + state.m_settings.m_longest_lease;
    const bool young =
        !report.m_incarnation_age || *report.m_incarnation_age < unaware_time + longest + time_of_day_error;
    return state.m_has_predecessor && young && now < state.m_elected.value_or(state.m_began) + deposed_time + longest;
}

/** @brief Checks whether a worker's first report in this term is one of the incarnation that the last decider had
 * called, and which carries out no calls to an earlier one any more. */
[[nodiscard]] auto is_settled_incarnation(const scheduler_state& state, const worker_slot& worker,
                                          const worker_report& report) -> bool
{
    const auto& id = worker.m_entry.m_id;
    const auto called = state.m_expected_incarnations.find(id);
    return called != state.m_expected_incarnations.end() && called->second == report.m_incarnation_start_unix_ms &&
           is_settled(state, id);
}

/** @brief Assumes the stale lease that the last decider has stored, if it still runs. */
auto inherit_stale_lease(scheduler_state& state, const worker_index index, const worker_report& report,
                         const time_point sent) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    const auto found = state.m_expected_leases.find(worker.m_entry.m_id);
    if (found == state.m_expected_leases.end() || found->second.m_stale_end.value_or(sent) <= sent) {
        return;
    }
    // The worker read its clock after the call was sent.
    const auto left = std::chrono::ceil<milliseconds>(*found->second.m_stale_end - sent);
    worker.m_stale_until_ms = report.m_clock_ms + left.count();
    worker.m_stale_lease_bounded = true;
    worker.m_restart_listed = false;
    worker.m_restart_being_listed = false;
    record_lease(state, index, lease_source::stale, worker.m_stale_until_ms, report);
}

} // namespace

auto open_to_stale_leases(worker_slot& worker) -> void
{
    worker.m_takes_stale_leases = true;
    worker.m_stale_lease_bounded = false;
    if (worker.m_sent_until_ms) {
        worker.m_sent_until_ms = std::max(*worker.m_sent_until_ms, worker.m_lease_until_ms);
    }
    worker.m_lease_until_ms = 0;
    worker.m_inherited_until_ms = 0;
    worker.m_stale_until_ms = 0;
    worker.m_lease_listed = false;
    worker.m_restart_listed = false;
    worker.m_restart_being_listed = false;
}

auto bound_stale_lease(scheduler_state& state, const worker_index index, const worker_report& report) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    if (!worker.m_takes_stale_leases || worker.m_stale_lease_bounded ||
        report.m_incarnation_start_unix_ms != worker.m_incarnation_start_unix_ms) {
        return;
    }
    worker.m_stale_lease_bounded = answers_raised_token(state, worker, report);
    const auto last_arrival = worker.m_stale_lease_bounded ? milliseconds{0} : state.m_settings.m_late_call_time;
    const auto longest_until_ms = report.m_clock_ms + (last_arrival + state.m_settings.m_longest_lease).count();
    worker.m_stale_until_ms = std::min(longest_until_ms, worker.m_sent_until_ms.value_or(longest_until_ms));
    if (worker.m_stale_until_ms <= report.m_clock_ms) {
        worker.m_stale_until_ms = 0;
    }
    // What is stored of an earlier bound is too short.
    worker.m_restart_listed = false;
    worker.m_restart_being_listed = false;
    record_lease(state, index, lease_source::stale, worker.m_stale_until_ms, report);
}

auto close_to_stale_leases(scheduler_state& state, const worker_index index, const worker_report& report) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    if (worker.m_takes_stale_leases && answers_raised_token(state, worker, report)) {
        worker.m_takes_stale_leases = false;
        state.m_dispatch_requested = true;
    }
}

auto expect_earlier_calls(scheduler_state& state, const worker_index index, const worker_report& report,
                          const time_point sent, const time_point now) -> void
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    const bool is_young = may_hold_stale_lease(state, report, now);
    if (is_settled_incarnation(state, worker, report)) {
        inherit_stale_lease(state, index, report, sent);
    }
    else if (is_young) {
        open_to_stale_leases(worker);
    }
    inherit_lease(state, index, report, now);
    // An earlier decider granted leases by the clock of the incarnation until now at the latest.
    const auto sent_until_ms =
        std::max(worker.m_inherited_until_ms, report.m_clock_ms + state.m_settings.m_worker_lease.count());
    worker.m_sent_until_ms = is_young ? std::nullopt : std::optional{sent_until_ms};
}

auto detect_restart(scheduler_state& state, const worker_index index, const std::int64_t called_incarnation_unix_ms,
                    const std::int64_t reading_ms, const time_point sent, const time_point now) -> bool
{
    auto& worker = state.m_workers[static_cast<std::size_t>(index)];
    // The response may be one of an incarnation that is known to have ended.
    if (worker.m_incarnation_start_unix_ms != called_incarnation_unix_ms || sent < worker.m_restart_detected) {
        return false;
    }
    const auto since = [&worker](const time_point time) {
        return std::chrono::duration_cast<milliseconds>(time - worker.m_clock_read);
    };
    const auto drift = since(now) * state.m_settings.m_clock_drift_permille / 1'000;
    const auto margin = state.m_settings.m_lease_margin;
    // The last reading was taken before its report arrived.
    const auto earliest = worker.m_clock_ms + (since(sent) - drift - margin).count();
    const auto latest = worker.m_clock_ms + (since(now) + clock_tolerance + state.m_settings.m_command_timeout).count();
    if (reading_ms >= earliest && reading_ms <= latest) {
        if (reading_ms < worker.m_clock_ms + (since(now) - margin).count()) {
            worker.m_clock_ms = reading_ms;
            worker.m_clock_read = now;
        }
        return false;
    }
    raise_fence(state, index, unknown_incarnation);
    open_to_stale_leases(worker);
    worker_report response;
    response.m_incarnation_start_unix_ms = worker.m_incarnation_start_unix_ms;
    response.m_clock_ms = reading_ms;
    bound_stale_lease(state, index, response);
    worker.m_clock_ms = reading_ms;
    worker.m_clock_read = now;
    worker.m_restart_detected = now;
    // Until it has reported, its lease and acknowledged ends are those of the last incarnation.
    worker.m_unresponsive = true;
    return true;
}

auto forget_ended_stale_leases(scheduler_state& state, const time_point now) -> void
{
    for (const auto index : state.m_current_workers) {
        auto& worker = state.m_workers[static_cast<std::size_t>(index)];
        if (worker.m_stale_until_ms > 0 && end_of_lease(state, worker, worker.m_stale_until_ms) <= now) {
            worker.m_stale_until_ms = 0;
        }
        // Nothing is on its way any more to a worker that has not answered for this long.
        if (now - worker.m_last_report >
            deposed_time + state.m_settings.m_late_call_time + state.m_settings.m_longest_lease) {
            worker.m_takes_stale_leases = false;
        }
    }
}

} // namespace cicadalug
