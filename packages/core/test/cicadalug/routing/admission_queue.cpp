#include <cicadalug/routing/admission_queue.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace {

using namespace cicadalug;

/** @brief Reference model: a queue that keeps all requests in a list and scans it. */
struct reference_queue {
    std::vector<queued_request> m_requests;

    [[nodiscard]] auto next(const team_usage& usage) const -> std::optional<queued_request>
    {
        std::optional<queued_request> best;
        auto best_below = false;
        for (const auto& request : m_requests) {
            const auto below = usage.m_in_use[request.m_team] < usage.m_quota[request.m_team];
            if (!best || (below && !best_below) || (below == best_below && request.m_place < best->m_place)) {
                best = request;
                best_below = below;
            }
        }
        return best;
    }

    [[nodiscard]] auto last(const std::uint32_t service) const -> std::optional<queued_request>
    {
        std::optional<queued_request> last;
        for (const auto& request : m_requests) {
            if (request.m_service == service && (!last || last->m_place < request.m_place)) {
                last = request;
            }
        }
        return last;
    }
};

[[nodiscard]] auto number_of(const std::optional<queued_request>& request) -> request_number
{
    return request ? request->m_number : 0;
}

// Guards against a wrong order, a quota that is exceeded while other teams wait, and a slot left unused due to quotas.
RC_GTEST_PROP(admission_queue, matches_a_linear_reference, ())
{
    admission_queue queue;
    reference_queue reference;
    team_usage usage{{0, 0, 0}, {1, 2, 1'000}};
    request_number last{0};
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
    for (const auto step : steps) {
        const auto kind = step % 5;
        if (kind <= 1) {
            const auto number = ++last;
            const queued_request request{
                {step % 3 != 0, time_point{milliseconds{step % 7}}, number}, number, step % 2U, step % 3U};
            enqueue(queue, request);
            reference.m_requests.push_back(request);
        }
        else if (kind == 2 && last > 0) {
            const auto number = static_cast<request_number>(step) % last + 1;
            RC_ASSERT(dequeue(queue, number) == (std::erase_if(reference.m_requests, [&](const auto& request) {
                                                     return request.m_number == number;
                                                 }) > 0));
        }
        else if (kind == 3) {
            const auto next = next_request(queue, usage);
            RC_ASSERT(number_of(next) == number_of(reference.next(usage)));
            if (next) {
                ++usage.m_in_use[next->m_team];
                dequeue(queue, next->m_number);
                std::erase_if(reference.m_requests, [&](const auto& r) { return r.m_number == next->m_number; });
            }
        }
        else {
            auto& in_use = usage.m_in_use[step % 3U];
            in_use = std::max(0, in_use - 1);
        }
        const queue_place place{step % 2 != 0, time_point{milliseconds{step % 7}}, last / 2};
        const auto before = std::count_if(reference.m_requests.begin(), reference.m_requests.end(),
                                          [&](const auto& request) { return request.m_place < place; });
        RC_ASSERT(count_before(queue, place) == static_cast<std::size_t>(before));
        RC_ASSERT(number_of(last_of_service(queue, 0)) == number_of(reference.last(0)));
        RC_ASSERT(number_of(last_of_service(queue, 1)) == number_of(reference.last(1)));
    }
}

} // namespace
