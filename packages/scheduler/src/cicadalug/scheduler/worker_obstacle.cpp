#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <array>

namespace cicadalug {

namespace {

/** @brief A worker without a report for this long gets no new work; leases are renewed at least every second. */
constexpr milliseconds report_age_limit{2'000};

constexpr std::array<std::string_view, worker_obstacles> names{
    "none",         "not_registered",     "other_incarnation", "fence_not_stored", "draining",       "cordoned",
    "not_reported", "fence_not_answered", "lease_not_stored",  "unresponsive",     "report_too_old", "paused",
    "in_trial",     "no_capacity",        "no_label",          "step_limit",       "stale_lease",    "no_permit",
};

[[nodiscard]] auto find_entry_obstacle(const worker_slot& worker) -> worker_obstacle
{
    if (!worker.m_registered) {
        return worker_obstacle::not_registered;
    }
    if (is_of_other_incarnation(worker)) {
        return worker_obstacle::other_incarnation;
    }
    if (worker.m_awaits_fence) {
        return worker_obstacle::fence_not_stored;
    }
    return worker.m_entry.m_state == worker_state::ready ? worker_obstacle::none : worker_obstacle::draining;
}

[[nodiscard]] auto find_report_obstacle(const worker_slot& worker, const time_point now) -> worker_obstacle
{
    if (!worker.m_has_reported) {
        return worker_obstacle::not_reported;
    }
    if (worker.m_takes_stale_leases) {
        return worker_obstacle::fence_not_answered;
    }
    if (!worker.m_lease_listed || worker.m_listed_end || (worker.m_stale_until_ms > 0 && !worker.m_restart_listed)) {
        return worker_obstacle::lease_not_stored;
    }
    if (worker.m_unresponsive) {
        return worker_obstacle::unresponsive;
    }
    if (now - worker.m_last_report >= report_age_limit) {
        return worker_obstacle::report_too_old;
    }
    return worker.m_paused_until > now ? worker_obstacle::paused : worker_obstacle::none;
}

} // namespace

auto is_of_other_incarnation(const worker_slot& worker) -> bool
{
    const auto registered = worker.m_entry.m_incarnation_start_unix_ms;
    const auto reported = worker.m_incarnation_start_unix_ms;
    return registered != 0 && reported != 0 && registered != reported;
}

auto name_of(const worker_obstacle obstacle) noexcept -> std::string_view
{
    return names[static_cast<std::size_t>(obstacle)];
}

auto find_service_obstacle(const worker_slot& worker) -> worker_obstacle
{
    const auto found = find_entry_obstacle(worker);
    return found == worker_obstacle::none && worker.m_cordoned ? worker_obstacle::cordoned : found;
}

auto find_obstacle(const worker_slot& worker, const time_point now) -> worker_obstacle
{
    const auto found = find_service_obstacle(worker);
    return found == worker_obstacle::none ? find_report_obstacle(worker, now) : found;
}

auto find_obstacle_besides_cordon(const worker_slot& worker, const time_point now) -> worker_obstacle
{
    const auto found = find_entry_obstacle(worker);
    return found == worker_obstacle::none ? find_report_obstacle(worker, now) : found;
}

} // namespace cicadalug
