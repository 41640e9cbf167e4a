#include <cicadalug/routing/admission_queue.hpp>

#include <iterator>
#include <tuple>

namespace cicadalug {

namespace {

[[nodiscard]] auto is_below_quota(const team_usage& usage, const std::uint32_t team) -> bool
{
    return team >= usage.m_quota.size() || team >= usage.m_in_use.size() || usage.m_in_use[team] < usage.m_quota[team];
}

} // namespace

auto enqueue(admission_queue& queue, const queued_request& request) -> void
{
    queue.m_requests.insert(request);
}

auto dequeue(admission_queue& queue, const request_number number) -> bool
{
    return queue.m_requests.get<internal::by_number>().erase(number) > 0;
}

auto next_request(const admission_queue& queue, const team_usage& usage) -> std::optional<queued_request>
{
    const auto& order = queue.m_requests.get<internal::by_place>();
    if (order.empty()) {
        return std::nullopt;
    }
    if (is_below_quota(usage, order.begin()->m_team)) {
        return *order.begin();
    }
    // One lookup per waiting team, because a single team can have thousands of requests at the head of the queue.
    const auto& teams = queue.m_requests.get<internal::by_team>();
    std::optional<queued_request> best;
    for (auto first = teams.begin(); first != teams.end(); first = teams.upper_bound(std::make_tuple(first->m_team))) {
        if (is_below_quota(usage, first->m_team) && (!best || first->m_place < best->m_place)) {
            best = *first;
        }
    }
    return best ? best : std::optional{*order.begin()};
}

auto count_before(const admission_queue& queue, const queue_place& place) -> std::size_t
{
    const auto& order = queue.m_requests.get<internal::by_place>();
    return order.lower_bound_rank(place);
}

auto last_of_service(const admission_queue& queue, const std::uint32_t service) -> std::optional<queued_request>
{
    const auto& services = queue.m_requests.get<internal::by_service>();
    const auto end = services.upper_bound(std::make_tuple(service));
    if (end == services.begin() || std::prev(end)->m_service != service) {
        return std::nullopt;
    }
    return *std::prev(end);
}

} // namespace cicadalug
