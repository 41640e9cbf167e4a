#include <cicadalug/scheduler/binary_codec.hpp>
#include <cicadalug/scheduler/saved_fleet_state.hpp>

#include <algorithm>

namespace cicadalug {

auto encode(const saved_fleet_state& saved) -> std::string
{
    return encode_binary(saved);
}

auto decode_saved_fleet_state(const std::string_view bytes) -> result<saved_fleet_state>
{
    return decode_binary<saved_fleet_state>(bytes, "saved fleet state");
}

auto save_demand(saved_fleet_state& saved, const demand_state& demand, const clock_reading& clock) -> void
{
    saved.m_demand.clear();
    for (const auto& [service, entry] : demand.m_services) {
        saved.m_demand.push_back(
            {service, entry.m_own_cores, entry.m_peak_cores, entry.m_last_surge_begin.has_value()});
    }
    saved.m_successions.clear();
    for (const auto& [first, succession] : demand.m_successions) {
        saved.m_successions.push_back({first, succession.m_next, succession.m_delay.count()});
    }
    saved.m_last_surge = demand.m_last_surge;
    const auto since_surge = std::chrono::duration_cast<milliseconds>(clock.m_now - demand.m_last_surge_begin);
    saved.m_last_surge_unix_ms = clock.m_unix_ms - since_surge.count();
    saved.m_surge_interval_us = demand.m_surge_interval.count();
}

auto restore_demand(const saved_fleet_state& saved, const clock_reading& clock) -> demand_state
{
    demand_state demand;
    demand.m_last_surge = saved.m_last_surge;
    const auto since_surge_ms = std::max<std::int64_t>(0, clock.m_unix_ms - saved.m_last_surge_unix_ms);
    demand.m_last_surge_begin = clock.m_now - milliseconds{since_surge_ms};
    for (const auto& learned : saved.m_demand) {
        auto& entry = demand.m_services[learned.m_service];
        entry.m_own_cores = learned.m_own_cores;
        entry.m_peak_cores = learned.m_peak_cores;
        if (learned.m_has_surged) {
            entry.m_last_surge_begin = demand.m_last_surge_begin;
        }
    }
    for (const auto& succession : saved.m_successions) {
        demand.m_successions[succession.m_first] = {succession.m_next, microseconds{succession.m_delay_us}};
    }
    demand.m_surge_interval = microseconds{saved.m_surge_interval_us};
    if (!demand.m_last_surge.empty()) {
        expect_next_surge(demand, demand.m_last_surge, demand.m_last_surge_begin);
    }
    return demand;
}

} // namespace cicadalug
