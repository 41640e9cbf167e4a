#ifndef CICADALUG_ENTRY_FLEET_DUTY_HPP
#define CICADALUG_ENTRY_FLEET_DUTY_HPP

#include <cicadalug/adapter/fleet_client.hpp>
#include <cicadalug/adapter/store_client.hpp>
#include <cicadalug/entry/leadership.hpp>
#include <cicadalug/scheduler/maintenance.hpp>
#include <cicadalug/scheduler/moves.hpp>
#include <cicadalug/scheduler/queue_config.hpp>
#include <cicadalug/scheduler/saved_fleet_state.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadalug {

/** @brief What the fleet duty uses of its decider. */
struct fleet_duty_parts {
    asio::any_io_executor m_executor;
    store_client* m_store{nullptr};
    decider_term m_term;
    /** @brief Time between the orders of two holders for one VM. */
    milliseconds m_duty_interval{3'000};
    maintenance_settings m_upkeep;
    move_settings m_moves;
    /** @brief Returns the configuration in force, or null. */
    std::function<std::shared_ptr<const fleet_config>()> m_config;
    /** @brief The scheduler; outlives the duty. */
    scheduler_state* m_state{nullptr};
    /** @brief Checks that the term goes on and that its lease is held for certain. */
    std::function<bool()> m_may_order;
    /** @brief Called when runs have ended or another decider has shown itself. */
    std::function<void()> m_changed;
};

/**
 * @brief Carries out maintenance waves and moves VMs between pools: follows the operator's orders and the demand, and
 * tells the operator how far they are. Part of one term of the decider.
 * @note Thread safety: all functions on the executor of the parts.
 */
class fleet_duty : public std::enable_shared_from_this<fleet_duty> {
public:
    /**
     * @brief Constructs a duty that does not run yet.
     * @param parts What it uses.
     * @param fleet Interface to the VMs.
     */
    fleet_duty(const fleet_duty_parts& parts, std::unique_ptr<fleet_client> fleet);

    /** @brief Starts the duty. @pre Called once, on an object owned by a shared_ptr. */
    auto start() -> void;

    /** @brief Ends the duty. Nothing is ordered afterwards. */
    auto stop() -> void { m_active = false; }

private:
    [[nodiscard]] auto run(std::shared_ptr<fleet_duty> self) -> asio::awaitable<void>;
    [[nodiscard]] auto read_waves() -> asio::awaitable<bool>;
    [[nodiscard]] auto read_progress(std::int64_t wave) -> asio::awaitable<bool>;
    [[nodiscard]] auto list_vms() -> asio::awaitable<void>;
    [[nodiscard]] auto read_memory() -> asio::awaitable<bool>;
    [[nodiscard]] auto store_memory() -> asio::awaitable<bool>;
    [[nodiscard]] auto send_orders() -> asio::awaitable<void>;
    [[nodiscard]] auto recently_ordered(const clock_reading& clock) const -> std::set<vm_id>;
    [[nodiscard]] auto reserved_vms(const clock_reading& clock) const -> std::set<vm_id>;
    auto confirm_end(const vm_id& vm, const worker_id& worker) -> void;
    auto remember_order(const vm_id& vm) -> void;
    auto advance_waves() -> void;
    auto advance_moves() -> void;
    [[nodiscard]] auto order_move(std::shared_ptr<fleet_duty> self, move_command order) -> asio::awaitable<void>;
    [[nodiscard]] auto order_upkeep(std::shared_ptr<fleet_duty> self, std::int64_t wave, vm_id vm)
        -> asio::awaitable<void>;
    [[nodiscard]] auto store_wave(std::int64_t wave) -> asio::awaitable<void>;
    auto log_blocked(std::int64_t number, const wave_progress_state& wave) const -> void;
    auto take_wave(const std::string& value) -> void;

    /** @brief A wave with what is known of its stored state. */
    struct open_wave {
        wave_progress_state m_progress;
        std::int64_t m_began_unix_ms{0};
        bool m_loaded{false};
        bool m_status_written{false};
        bool m_dirty{false};
        bool m_completed{false};
    };

    fleet_duty_parts m_parts;
    std::unique_ptr<fleet_client> m_fleet;
    std::map<std::int64_t, open_wave> m_waves;
    std::vector<vm_status> m_vms;
    std::set<vm_id> m_ordered;
    demand_state m_demand;
    move_state m_moves;
    saved_fleet_state m_memory;
    /** @brief Orders of earlier deciders, which keep their VMs untouched for a while. */
    std::vector<saved_vm_command> m_earlier_orders;
    std::vector<move_command> m_planned_moves;
    std::vector<std::pair<std::int64_t, vm_id>> m_planned_upkeeps;
    /** @brief The surge that was the last one when the memory was stored. */
    time_point m_remembered_surge{};
    time_point m_listed{};
    time_point m_logged{};
    bool m_active{true};
};

} // namespace cicadalug

#endif
