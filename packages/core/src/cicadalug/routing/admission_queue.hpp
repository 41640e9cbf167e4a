#ifndef CICADALUG_ROUTING_ADMISSION_QUEUE_HPP
#define CICADALUG_ROUTING_ADMISSION_QUEUE_HPP

#include <cicadalug/base/time.hpp>

#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cicadalug {

/** @brief Sequence number of a live request; later requests have higher numbers. */
using request_number = std::uint64_t;

/** @brief Sort key of a request in the queue: urgent first, then earliest deadline, then order of arrival. */
struct queue_place {
    /** @brief False for an urgent request. */
    bool m_normal{true};
    time_point m_deadline;
    request_number m_number{0};

    [[nodiscard]] friend auto operator<=>(const queue_place&, const queue_place&) noexcept
        -> std::strong_ordering = default;
};

/** @brief Request that waits for a slot. */
struct queued_request {
    queue_place m_place;
    request_number m_number{0};
    std::uint32_t m_service{0};
    std::uint32_t m_team{0};
};

namespace internal {

struct by_place {};
struct by_number {};
struct by_service {};
struct by_team {};

namespace mi = boost::multi_index;
using place_member = mi::member<queued_request, queue_place, &queued_request::m_place>;
using number_member = mi::member<queued_request, request_number, &queued_request::m_number>;
using service_member = mi::member<queued_request, std::uint32_t, &queued_request::m_service>;
using team_member = mi::member<queued_request, std::uint32_t, &queued_request::m_team>;

using queue_container = mi::multi_index_container<
    queued_request,
    mi::indexed_by<
        mi::ranked_unique<mi::tag<by_place>, place_member>, mi::hashed_unique<mi::tag<by_number>, number_member>,
        mi::ordered_unique<mi::tag<by_service>, mi::composite_key<queued_request, service_member, place_member>>,
        mi::ordered_unique<mi::tag<by_team>, mi::composite_key<queued_request, team_member, place_member>>>>;

} // namespace internal

/** @brief Requests of one pool that wait for a slot. */
struct admission_queue {
    internal::queue_container m_requests;
};

/** @brief Slots that each team uses in one pool, and its quota while other teams wait; indexed by team number. */
struct team_usage {
    std::vector<int> m_in_use;
    std::vector<int> m_quota;
};

/**
 * @brief Adds a request.
 * @param queue The queue.
 * @param request The request.
 */
auto enqueue(admission_queue& queue, const queued_request& request) -> void;

/**
 * @brief Removes a request, in logarithmic time.
 * @param queue The queue.
 * @param number The request.
 * @return True if the request was in the queue, false otherwise.
 */
auto dequeue(admission_queue& queue, request_number number) -> bool;

/**
 * @brief Chooses the next request to start: the first one whose team is below its quota. If all waiting teams are at
 * their quota, the first request overall, so that no slot is left unused.
 * @param queue The queue.
 * @param usage Slot usage and quotas of the teams.
 * @return The request, or nothing if the queue is empty.
 */
[[nodiscard]] auto next_request(const admission_queue& queue, const team_usage& usage) -> std::optional<queued_request>;

/**
 * @brief Counts the requests that are ahead of a place in the queue.
 * @param queue The queue.
 * @param place The place.
 * @return Number of requests ahead of it.
 */
[[nodiscard]] auto count_before(const admission_queue& queue, const queue_place& place) -> std::size_t;

/**
 * @brief Returns the last request of a service, which is displaced when an urgent one arrives and the queue is full.
 * @param queue The queue.
 * @param service The service.
 * @return The request, or nothing if no request of the service is queued.
 */
[[nodiscard]] auto last_of_service(const admission_queue& queue, std::uint32_t service)
    -> std::optional<queued_request>;

} // namespace cicadalug

#endif
