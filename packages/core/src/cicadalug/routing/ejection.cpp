#include <cicadalug/routing/ejection.hpp>

#include <algorithm>
#include <tuple>

namespace cicadalug {

auto ejection_allowance(const int serving, const int members, const int all_members, const int promised) noexcept -> int
{
    if (all_members <= 0) {
        return 0;
    }
    const auto promised_here = (promised * members + all_members - 1) / all_members;
    return std::max(0, serving - promised_here);
}

auto choose_ejected(std::vector<ejection_candidate> candidates, const int allowance) -> std::vector<upstream_index>
{
    std::erase_if(candidates, [](const ejection_candidate& candidate) { return !candidate.m_failing; });
    std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return std::tie(left.m_success_rate, left.m_upstream) < std::tie(right.m_success_rate, right.m_upstream);
    });
    candidates.resize(std::min(candidates.size(), static_cast<std::size_t>(std::max(0, allowance))));
    std::vector<upstream_index> ejected;
    ejected.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        ejected.push_back(candidate.m_upstream);
    }
    std::sort(ejected.begin(), ejected.end());
    return ejected;
}

auto is_rack_failed(const std::vector<const upstream_health*>& rack, const time_point now) noexcept -> bool
{
    const auto failed = std::count_if(rack.begin(), rack.end(), [now](const upstream_health* health) {
        return health->m_consecutive_failures > 0 && now - health->m_last_failure <= rack_failure_window;
    });
    return failed >= 2 && 2 * static_cast<std::size_t>(failed) > rack.size();
}

} // namespace cicadalug
