#include <cicadalug/fleet/vm_record_json.hpp>
#include <cicadalug/report/fleet_metrics.hpp>

namespace cicadalug {

auto fleet_metrics::update(const fleet_view& view) -> void
{
    count_vms(view);
    count_moves(view);
    std::map<pool_id, std::size_t> promised;
    for (const auto& [id, item] : view.m_pools) {
        promised[id] = 0;
    }
    for (const auto& [id, item] : view.m_services) {
        promised[item.m_pool] += static_cast<std::size_t>(item.m_promised_vms);
    }
    for (const auto& [id, vms] : promised) {
        m_target.set_promised(id, vms);
    }
}

auto fleet_metrics::count_vms(const fleet_view& view) -> void
{
    std::map<std::pair<pool_id, vm_phase>, std::size_t> counts;
    for (const auto& series : m_series) {
        counts[series] = 0;
    }
    for (const auto& [id, record] : view.m_vms) {
        const std::pair series{record.m_pool, record.m_phase};
        ++counts[series];
        m_series.insert(series);
    }
    for (const auto& [series, vms] : counts) {
        m_target.set_vms(series.first, to_string(series.second), vms);
    }
}

auto fleet_metrics::count_moves(const fleet_view& view) -> void
{
    for (const auto& [id, record] : view.m_vms) {
        auto& seen = m_seen[id];
        // The generation counts the moves over the whole lifetime of a VM; moves before the first view are not
        // reported.
        if (!seen.m_pool.empty() && record.m_generation > seen.m_generation) {
            m_target.vm_moved(seen.m_pool, record.m_pool);
        }
        if (record.m_generation >= seen.m_generation) {
            seen = {record.m_pool, record.m_generation};
        }
    }
}

} // namespace cicadalug
