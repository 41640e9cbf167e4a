#include <cicadalug/scheduler/binary_codec.hpp>
#include <cicadalug/scheduler/saved_fleet_state.hpp>

#include <algorithm>

namespace cicadalug {

auto encode(const saved_fleet_state& memory) -> std::string
{
    return encode_binary(memory);
}

auto decode_saved_fleet_state(const std::string_view bytes) -> result<saved_fleet_state>
{
    return decode_binary<saved_fleet_state>(bytes, "fleet memory");
}

auto save_demand(saved_fleet_state& memory, const demand_state& demand, const clock_reading& clock) -> void
{
    memory.m_demand.clear();
    for (const auto& [service, known] : demand.m_services) {
        memory.m_demand.push_back({service, known.m_own_cores, known.m_peak_cores, known.m_surged.has_value()});
    }
    memory.m_successions.clear();
    for (const auto& [first, succession] : demand.m_successions) {
        memory.m_successions.push_back({first, succession.m_next, succession.m_delay.count()});
    }
    memory.m_last_surge = demand.m_last_surge;
    const auto ago = std::chrono::duration_cast<milliseconds>(clock.m_now - demand.m_last_surge_begin);
    memory.m_last_surge_unix_ms = clock.m_unix_ms - ago.count();
    memory.m_turn_us = demand.m_turn.count();
}

auto restore_demand(const saved_fleet_state& memory, const clock_reading& clock) -> demand_state
{
    demand_state demand;
    demand.m_last_surge = memory.m_last_surge;
    const auto ago_ms = std::max<std::int64_t>(0, clock.m_unix_ms - memory.m_last_surge_unix_ms);
    demand.m_last_surge_begin = clock.m_now - milliseconds{ago_ms};
    for (const auto& learned : memory.m_demand) {
        auto& known = demand.m_services[learned.m_service];
        known.m_own_cores = learned.m_own_cores;
        known.m_peak_cores = learned.m_peak_cores;
        if (learned.m_surged) {
            known.m_surged = demand.m_last_surge_begin;
        }
    }
    for (const auto& succession : memory.m_successions) {
        demand.m_successions[succession.m_first] = {succession.m_next, microseconds{succession.m_delay_us}};
    }
    demand.m_turn = microseconds{memory.m_turn_us};
    if (!demand.m_last_surge.empty()) {
        expect_next_surge(demand, demand.m_last_surge, demand.m_last_surge_begin);
    }
    return demand;
}

} // namespace cicadalug
