#ifndef CICADALUG_ROUTING_EJECTION_HPP
#define CICADALUG_ROUTING_EJECTION_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/routing/slot_ledger.hpp>
#include <cicadalug/routing/upstream_health.hpp>

#include <cstddef>
#include <vector>

namespace cicadalug {

/** @brief Failures of upstreams of one rack within this time count as one event. */
inline constexpr milliseconds rack_failure_window{2'000};

/** @brief Upstream of a pool that accepts work. */
struct ejection_candidate {
    upstream_index m_upstream{0};
    bool m_failing{false};
    /** @brief Recent success rate, from 0 to 1. */
    double m_success_rate{1.0};
};

/**
 * @brief Computes how many upstreams of a pool can be ejected in one availability zone.
 * @param serving Upstreams of the pool in the zone that accept work, including ejected ones.
 * @param members Members of the pool in the zone.
 * @param all_members Members of the pool in all zones.
 * @param promised Promised capacity of the pool in VMs, in all zones.
 * @return Number of upstreams that can be ejected while the zone still provides its part of the promised capacity.
 */
[[nodiscard]] auto ejection_allowance(int serving, int members, int all_members, int promised) noexcept -> int;

/**
 * @brief Chooses the upstreams of a pool to eject: the failing ones, lowest success rate first.
 * @param candidates Upstreams of the pool that accept work, including ejected ones.
 * @param allowance Maximum number to eject.
 * @return The upstreams to eject, sorted by number. Other failing upstreams stay in use as a last resort.
 */
[[nodiscard]] auto choose_ejected(std::vector<ejection_candidate> candidates, int allowance)
    -> std::vector<upstream_index>;

/**
 * @brief Returns whether most upstreams of a rack failed at about the same time.
 * @param rack Health of the upstreams of the rack that accept work.
 * @param now Current time.
 * @return True if at least two upstreams, and more than half of them, have a failure within rack_failure_window and no
 * success after it.
 */
[[nodiscard]] auto is_rack_failed(const std::vector<const upstream_health*>& rack, time_point now) noexcept -> bool;

} // namespace cicadalug

#endif
