#ifndef CICADALUG_ROUTING_EJECTION_HPP
#define CICADALUG_ROUTING_EJECTION_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/routing/slot_ledger.hpp>
#include <cicadalug/routing/upstream_health.hpp>

#include <cstddef>
#include <vector>

namespace cicadalug {

/** @brief Failures of upstreams of one rack count as one event if they lie within this time. */
inline constexpr milliseconds rack_failure_window{2'000};

/** @brief Upstream of a pool that takes work. */
struct ejection_candidate {
    upstream_index m_upstream{0};
    bool m_bad{false};
    /** @brief Recent share of successes. */
    double m_success{1.0};
};

/**
 * @brief Computes how many upstreams of a pool may be ejected in one availability zone.
 * @param serving Upstreams of the pool in the zone that take work, ejected ones included.
 * @param members Members of the pool in the zone.
 * @param all_members Members of the pool in all zones.
 * @param promised Promised capacity of the pool in VMs, of all zones.
 * @return Number of upstreams that can be spared while the zone keeps its part of the promise.
 */
[[nodiscard]] auto ejection_allowance(int serving, int members, int all_members, int promised) noexcept -> int;

/**
 * @brief Chooses the upstreams of a pool to eject: the bad ones, those with the fewest successes first.
 * @param candidates Upstreams of the pool that take work, ejected ones included.
 * @param allowance Largest number to eject.
 * @return The upstreams to eject, sorted by number. Bad ones that are not among them stay as a last choice.
 */
[[nodiscard]] auto choose_ejected(std::vector<ejection_candidate> candidates, int allowance)
    -> std::vector<upstream_index>;

/**
 * @brief Tells whether most upstreams of a rack failed together.
 * @param rack Health of the upstreams of the rack that take work.
 * @param now Current time.
 * @return True if there are at least two and more than half have a recent failure and no success after it.
 */
[[nodiscard]] auto is_rack_failed(const std::vector<const upstream_health*>& rack, time_point now) noexcept -> bool;

} // namespace cicadalug

#endif
