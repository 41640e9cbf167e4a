#ifndef CICADALUG_ROUTING_UPSTREAM_CHOICE_HPP
#define CICADALUG_ROUTING_UPSTREAM_CHOICE_HPP

#include <cicadalug/routing/slot_ledger.hpp>
#include <cicadalug/routing/upstream_health.hpp>

#include <array>
#include <cstddef>
#include <vector>

namespace cicadalug {

/** @brief How much an upstream is preferred; 0 gets no work. Latency has no part in it: errors are often fast. */
using upstream_rank = std::uint8_t;

inline constexpr upstream_rank no_work_rank = 0;
inline constexpr upstream_rank last_choice_rank = 1;
inline constexpr upstream_rank doubtful_rank = 2;
inline constexpr std::size_t rank_count = static_cast<std::size_t>(doubtful_rank) + 1 + max_slots;

/**
 * @brief Ranks an upstream that takes work and is not ejected.
 * @param health Its health.
 * @param free Number of its free slots.
 * @return no_work_rank without a free slot; the rank of a sound upstream grows with its free slots.
 */
[[nodiscard]] constexpr auto rank_upstream(const upstream_health& health, const int free) noexcept -> upstream_rank
{
    if (free <= 0) {
        return no_work_rank;
    }
    if (is_bad(health)) {
        return last_choice_rank;
    }
    return is_doubtful(health) ? doubtful_rank : static_cast<upstream_rank>(doubtful_rank + free);
}

/** @brief Upstreams of one pool, grouped by rank, so that a choice does not look at all of them. */
struct ranked_upstreams {
    std::array<std::vector<upstream_index>, rank_count> m_groups;
    /** @brief Choices made, to take the members of a group in turn. */
    std::size_t m_turn{0};
};

/** @brief Place of one upstream in ranked_upstreams. */
struct ranked_place {
    upstream_rank m_rank{no_work_rank};
    std::size_t m_position{0};
};

/**
 * @brief Moves an upstream to the group of a rank.
 * @param ranked The upstreams of its pool.
 * @param places Places of all upstreams.
 * @param upstream The upstream.
 * @param rank Its new rank; no_work_rank removes it.
 */
inline auto set_rank(ranked_upstreams& ranked, std::vector<ranked_place>& places, const upstream_index upstream,
                     const upstream_rank rank) -> void
{
    auto& place = places[upstream];
    if (place.m_rank == rank) {
        return;
    }
    if (place.m_rank != no_work_rank) {
        auto& group = ranked.m_groups[place.m_rank];
        group[place.m_position] = group.back();
        places[group.back()].m_position = place.m_position;
        group.pop_back();
    }
    place = {rank, ranked.m_groups[rank].size()};
    if (rank != no_work_rank) {
        ranked.m_groups[rank].push_back(upstream);
    }
}

/**
 * @brief Chooses an upstream: of the highest rank, one that was not tried before if there is any.
 * @param ranked The upstreams of a pool.
 * @param is_tried Tells whether the request was sent to an upstream before.
 * @param take Takes a slot of an upstream and returns true, or returns false if none fits.
 * @return True if a slot was taken, false otherwise.
 */
template<typename IsTried, typename Take>
[[nodiscard]] auto choose_upstream(ranked_upstreams& ranked, const IsTried& is_tried, const Take& take) -> bool
{
    auto has_tried = false;
    for (const auto wanted : {false, true}) {
        for (auto rank = rank_count; rank-- > last_choice_rank;) {
            const auto& group = ranked.m_groups[rank];
            for (std::size_t step = 0; step < group.size(); ++step) {
                const auto upstream = group[(ranked.m_turn + step) % group.size()];
                if (is_tried(upstream) != wanted) {
                    has_tried = true;
                    continue;
                }
                if (take(upstream)) {
                    ++ranked.m_turn;
                    return true;
                }
            }
        }
        if (!has_tried) {
            break;
        }
    }
    return false;
}

} // namespace cicadalug

#endif
