#ifndef CICADALUG_SCHEDULER_SAVED_FLEET_STATE_HPP
#define CICADALUG_SCHEDULER_SAVED_FLEET_STATE_HPP

#include <cicadalug/base/result.hpp>
#include <cicadalug/scheduler/demand.hpp>
#include <cicadalug/scheduler/jobs.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief What was learned of one service's demand. */
struct learned_demand {
    service_id m_service;
    double m_own_cores{0.0};
    double m_peak_cores{0.0};
    bool m_surged{false};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_service, m_own_cores, m_peak_cores, m_surged);
    }
};

/** @brief A surge that follows another one. */
struct learned_succession {
    service_id m_first;
    service_id m_next;
    std::int64_t m_delay_us{0};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_first, m_next, m_delay_us);
    }
};

/** @brief Order for a VM that was sent or is about to be. */
struct saved_vm_command {
    vm_id m_vm;
    std::int64_t m_unix_ms{0};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_vm, m_unix_ms);
    }
};

/** @brief What the next decider has to know of the fleet duty; kept in the store. */
struct saved_fleet_state {
    /** @brief Orders so recent that another decider may not give one for the same VM. */
    std::vector<saved_vm_command> m_commands;
    std::vector<learned_demand> m_demand;
    std::vector<learned_succession> m_successions;
    service_id m_last_surge;
    std::int64_t m_last_surge_unix_ms{0};
    std::int64_t m_turn_us{0};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_commands, m_demand, m_successions, m_last_surge, m_last_surge_unix_ms, m_turn_us);
    }
};

/** @brief Encodes the memory for the store. */
[[nodiscard]] auto encode(const saved_fleet_state& memory) -> std::string;

/** @brief Decodes the memory from the store. */
[[nodiscard]] auto decode_saved_fleet_state(std::string_view bytes) -> result<saved_fleet_state>;

/** @brief Takes what was learned of the demand into a memory. */
auto save_demand(saved_fleet_state& memory, const demand_state& demand, const clock_reading& clock) -> void;

/** @brief Restores the demand that an earlier decider learned. */
[[nodiscard]] auto restore_demand(const saved_fleet_state& memory, const clock_reading& clock) -> demand_state;

} // namespace cicadalug

#endif
