#ifndef CICADALUG_ROUTING_UPSTREAM_CHOICE_HPP
#define CICADALUG_ROUTING_UPSTREAM_CHOICE_HPP

#include <cicadalug/routing/slot_ledger.hpp>
#include <cicadalug/routing/upstream_health.hpp>

#include <array>
#include <cstddef>
#include <vector>

namespace cicadalug {

/** @brief Preference for an upstream; rank 0 gets no work. Latency is not considered, because errors are often fast. */
using upstream_rank = std::uint8_t;

inline constexpr upstream_rank unavailable_rank = 0;
inline constexpr upstream_rank failing_rank = 1;
inline constexpr upstream_rank unreliable_rank = 2;
inline constexpr std::size_t rank_count = static_cast<std::size_t>(unreliable_rank) + 1 + max_slots;

/**
 * @brief Ranks an upstream that accepts work and is not ejected.
 * @param health Its health.
 * @param free Number of its free slots.
 * @return unavailable_rank without a free slot; the rank of a healthy upstream grows with its free slots.
 */
[[nodiscard]] constexpr auto rank_upstream(const upstream_health& health, const int free) noexcept -> upstream_rank
{
    if (free <= 0) {
        return unavailable_rank;
    }
    if (is_failing(health)) {
        return failing_rank;
    }
    return is_unreliable(health) ? unreliable_rank : static_cast<upstream_rank>(unreliable_rank + free);
}

/** @brief Upstreams of one pool, grouped by rank, so that a choice does not have to visit all of them. */
struct ranked_upstreams {
    std::array<std::vector<upstream_index>, rank_count> m_groups;
    /** @brief Number of choices made; the offset of the round robin within a group. */
    std::size_t m_round_robin{0};
};

/** @brief Position of one upstream in ranked_upstreams. */
struct ranked_place {
    upstream_rank m_rank{unavailable_rank};
    std::size_t m_position{0};
};

/**
 * @brief Moves an upstream to the group of a rank.
 * @param ranked The upstreams of its pool.
 * @param places Positions of all upstreams.
 * @param upstream The upstream.
 * @param rank Its new rank; unavailable_rank removes it.
 */
inline auto set_rank(ranked_upstreams& ranked, std::vector<ranked_place>& places, const upstream_index upstream,
                     const upstream_rank rank) -> void
{
    auto& place = places[upstream];
    if (place.m_rank == rank) {
        return;
    }
    if (place.m_rank != unavailable_rank) {
        auto& group = ranked.m_groups[place.m_rank];
        group[place.m_position] = group.back();
        places[group.back()].m_position = place.m_position;
        group.pop_back();
    }
    place = {rank, ranked.m_groups[rank].size()};
    if (rank != unavailable_rank) {
        ranked.m_groups[rank].push_back(upstream);
    }
}

/**
 * @brief Chooses the upstream of the highest rank, preferring upstreams that were not tried before.
 * @param ranked The upstreams of a pool.
 * @param is_tried Returns whether the request was already sent to an upstream.
 * @param take Acquires a slot of an upstream and returns true, or returns false if no slot qualifies.
 * @return True if a slot was acquired, false otherwise.
 */
template<typename IsTried, typename Take>
[[nodiscard]] auto choose_upstream(ranked_upstreams& ranked, const IsTried& is_tried, const Take& take) -> bool
{
    auto has_skipped = false;
    for (const auto tried : {false, true}) {
        for (auto rank = rank_count; rank-- > failing_rank;) {
            const auto& group = ranked.m_groups[rank];
            for (std::size_t step = 0; step < group.size(); ++step) {
                const auto upstream = group[(ranked.m_round_robin + step) % group.size()];
                if (is_tried(upstream) != tried) {
                    has_skipped = true;
                    continue;
                }
                if (take(upstream)) {
                    ++ranked.m_round_robin;
                    return true;
                }
            }
        }
        if (!has_skipped) {
            break;
        }
    }
    return false;
}

} // namespace cicadalug

#endif
