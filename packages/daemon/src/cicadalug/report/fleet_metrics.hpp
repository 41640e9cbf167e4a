#ifndef CICADALUG_REPORT_FLEET_METRICS_HPP
#define CICADALUG_REPORT_FLEET_METRICS_HPP

#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/telemetry/metrics.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace cicadalug {

/**
 * @brief Reports metrics of the VMs of this zone: VMs by pool and phase, promised capacity and moves. The buffer of a
 * pool is the sum of its serving VMs over all zones minus its promised VMs; it is not reported, since an entry VM knows
 * the VMs of its own zone only.
 * @note Thread safety: one call at a time.
 */
class fleet_metrics {
public:
    /**
     * @brief Constructs a reporter without a previous view.
     * @param target Receives the values; must outlive the reporter.
     */
    explicit fleet_metrics(metrics& target) : m_target{target} {}

    /**
     * @brief Reports the next view. A VM whose generation increased since the previous view has moved.
     * @param view The view.
     */
    auto update(const fleet_view& view) -> void;

private:
    struct seen_vm {
        pool_id m_pool;
        std::uint64_t m_generation{0};
    };

    auto count_vms(const fleet_view& view) -> void;
    auto count_moves(const fleet_view& view) -> void;

    metrics& m_target;
    std::map<vm_id, seen_vm> m_seen;
    /** @brief Series that were set before; they are set to zero when they have no VM left. */
    std::set<std::pair<pool_id, vm_phase>> m_series;
};

} // namespace cicadalug

#endif
