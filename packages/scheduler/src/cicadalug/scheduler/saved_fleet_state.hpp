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

/** @brief Learned demand of one service. */
struct learned_demand {
    service_id m_service;
    double m_own_cores{0.0};
    double m_peak_cores{0.0};
    bool m_has_surged{false};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_service, m_own_cores, m_peak_cores, m_has_surged);
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

/** @brief Command for a VM that has been sent or is about to be sent, with its time. */
struct saved_vm_command {
    vm_id m_vm;
    std::int64_t m_unix_ms{0};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_vm, m_unix_ms);
    }
};

/** @brief State of fleet control that the next decider needs; kept in the store. */
struct saved_fleet_state {
    /** @brief Commands so recent that another decider must not send one for the same VM. */
    std::vector<saved_vm_command> m_commands;
    std::vector<learned_demand> m_demand;
    std::vector<learned_succession> m_successions;
    service_id m_last_surge;
    std::int64_t m_last_surge_unix_ms{0};
    std::int64_t m_surge_interval_us{0};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_commands, m_demand, m_successions, m_last_surge, m_last_surge_unix_ms, m_surge_interval_us);
    }
};

/** @brief Encodes the state for the store. */
[[nodiscard]] auto encode(const saved_fleet_state& saved) -> std::string;

/** @brief Decodes the state from the store. */
[[nodiscard]] auto decode_saved_fleet_state(std::string_view bytes) -> result<saved_fleet_state>;

/** @brief Copies the learned demand into the state to save. */
auto save_demand(saved_fleet_state& saved, const demand_state& demand, const clock_reading& clock) -> void;

/** @brief Restores the demand learned by an earlier decider. */
[[nodiscard]] auto restore_demand(const saved_fleet_state& saved, const clock_reading& clock) -> demand_state;

} // namespace cicadalug

#endif
