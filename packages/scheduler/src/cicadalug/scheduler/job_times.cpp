#include <cicadalug/scheduler/job_times.hpp>

namespace cicadalug {

namespace {

constexpr std::array<std::string_view, job_parts> names{
    "before_term", "accepted",  "starts_suspended", "recovering",   "back_off",        "gang_incomplete",
    "trial",       "no_permit", "none_accepting",   "none_fitting", "step_not_opened", "pass_due",
    "placed",      "running",   "unfinished_runs",  "end_stored",
};

} // namespace

auto name_of(const job_part part) noexcept -> std::string_view
{
    return names[static_cast<std::size_t>(part)];
}

auto largest_delay(const job_times& times) -> job_part
{
    auto delays = times;
    delays[job_part::running] = microseconds{0};
    const auto largest = std::max_element(delays.m_parts.begin(), delays.m_parts.end());
    return static_cast<job_part>(largest - delays.m_parts.begin());
}

} // namespace cicadalug
