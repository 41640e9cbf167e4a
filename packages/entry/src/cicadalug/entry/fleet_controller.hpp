#ifndef CICADALUG_ENTRY_FLEET_CONTROLLER_HPP
#define CICADALUG_ENTRY_FLEET_CONTROLLER_HPP

#include <cicadalug/adapter/fleet_client.hpp>
#include <cicadalug/adapter/store_client.hpp>
#include <cicadalug/entry/decider_election.hpp>
#include <cicadalug/scheduler/maintenance.hpp>
#include <cicadalug/scheduler/moves.hpp>
#include <cicadalug/scheduler/paged_read.hpp>
#include <cicadalug/scheduler/queue_config.hpp>
#include <cicadalug/scheduler/saved_fleet_state.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/vm_list.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadalug {

/** @brief Dependencies of the fleet controller, supplied by its decider. */
struct fleet_controller_dependencies {
    asio::any_io_executor m_executor;
    store_client* m_store{nullptr};
    decider_term m_term;
    /** @brief Minimum time between commands of two deciders for the same VM. */
    milliseconds m_handover_interval{3'000};
    maintenance_settings m_maintenance;
    move_settings m_moves;
    /** @brief Returns the configuration in force, or null. */
    std::function<std::shared_ptr<const fleet_config>()> m_config;
    /** @brief State of the scheduler; must outlive the fleet controller. */
    scheduler_state* m_state{nullptr};
    /** @brief Checks that the term continues and that its lease is certain to be held. */
    std::function<bool()> m_can_send_commands;
    /** @brief Called when runs have ended, a worker accepts work again, or another decider has been detected. */
    std::function<void()> m_on_change;
};

/**
 * @brief Carries out the operator's maintenance waves, reports their state to the operator, and moves VMs between pools
 * according to the demand. Runs within one term of the decider.
 * @note Thread safety: all functions on the executor of the dependencies.
 */
class fleet_controller : public std::enable_shared_from_this<fleet_controller> {
public:
    /**
     * @brief Constructs a fleet controller; start() runs it.
     * @param dependencies Dependencies.
     * @param fleet Client of the platform's interface to the VMs.
     */
    fleet_controller(const fleet_controller_dependencies& dependencies, std::unique_ptr<fleet_client> fleet);

    /** @brief Starts the fleet controller. @pre Called once, on an object owned by a shared_ptr. */
    auto start() -> void;

    /** @brief Stops the fleet controller. No commands are sent afterwards. */
    auto stop() -> void { m_active = false; }

private:
    /** @brief Command to take a VM down for a wave. */
    struct maintenance_command {
        std::int64_t m_wave{0};
        vm_id m_vm;
        /** @brief Worker on the VM when the command was planned; empty if there was none. */
        worker_id m_worker;
    };

    /** @brief A maintenance wave with what is known of its stored state. */
    struct open_wave {
        wave_progress_state m_progress;
        std::int64_t m_began_unix_ms{0};
        bool m_loaded{false};
        bool m_status_written{false};
        bool m_dirty{false};
        bool m_completed{false};
        /** @brief The operator has removed the request. */
        bool m_withdrawn{false};
    };

    /** @brief Runs a coroutine of the term; the term ends if it fails. @param name Has to outlive the coroutine. */
    auto run_in_term(asio::awaitable<void> coroutine, std::string_view name) -> void;
    [[nodiscard]] auto run(std::shared_ptr<fleet_controller> self) -> asio::awaitable<void>;
    [[nodiscard]] auto read_waves() -> asio::awaitable<bool>;
    [[nodiscard]] auto read_progress(std::int64_t wave) -> asio::awaitable<bool>;
    [[nodiscard]] auto list_vms() -> asio::awaitable<void>;
    [[nodiscard]] auto restore_state() -> asio::awaitable<bool>;
    /** @param commanded_waves Waves with commands that are about to be sent. */
    [[nodiscard]] auto save_state(const std::set<std::int64_t>& commanded_waves) -> asio::awaitable<bool>;
    [[nodiscard]] auto send_commands() -> asio::awaitable<void>;
    [[nodiscard]] auto recently_commanded(const clock_reading& clock) const -> std::set<vm_id>;
    [[nodiscard]] auto reserved_vms(const clock_reading& clock) const -> std::set<vm_id>;
    auto confirm_ends() -> void;
    auto record_command(const vm_id& vm) -> void;
    auto advance_waves() -> void;
    auto advance_moves() -> void;
    [[nodiscard]] auto send_move(std::shared_ptr<fleet_controller> self, move_command command) -> asio::awaitable<void>;
    [[nodiscard]] auto send_maintenance(std::shared_ptr<fleet_controller> self, maintenance_command command)
        -> asio::awaitable<void>;
    [[nodiscard]] auto store_wave(std::int64_t wave) -> asio::awaitable<void>;
    [[nodiscard]] auto is_list_due(time_point now) const -> bool;
    /** @brief Waits for the plan interval, or until a VM should come up, if that is earlier. */
    [[nodiscard]] auto pause_until_next_plan() -> asio::awaitable<void>;
    auto log_blocked(std::int64_t number, const wave_progress_state& wave) const -> void;
    auto apply_wave(const std::string& value) -> void;
    /** @brief Ends the waves that are not among those of the operator any more. */
    auto withdraw_waves(const std::vector<store_item>& waves) -> void;
    [[nodiscard]] auto claims_of_other_waves(std::int64_t number) const -> claimed_vms;
    /** @brief Completes a wave, or lets a completed one continue. */
    auto update_completion(std::int64_t number, open_wave& wave) -> void;

    /** @brief A worker that has ended if its VM was not maintained earlier, as the next list shows. */
    struct unconfirmed_end {
        std::int64_t m_wave{0};
        worker_id m_worker;
        time_point m_accepted{};
    };

    fleet_controller_dependencies m_dependencies;
    std::unique_ptr<fleet_client> m_fleet;
    paged_read m_wave_pages;
    std::map<std::int64_t, open_wave> m_waves;
    vm_list m_vms;
    std::set<vm_id> m_pending_maintenance;
    /** @brief VMs whose last maintenance command had no response and may still be carried out. */
    std::set<vm_id> m_unanswered_maintenance;
    std::map<vm_id, unconfirmed_end> m_unconfirmed_ends;
    demand_state m_demand;
    move_state m_moves;
    saved_fleet_state m_saved_state;
    /** @brief Commands of earlier deciders; their VMs get no others until the handover interval has passed. */
    std::vector<saved_vm_command> m_earlier_commands;
    std::vector<move_command> m_planned_moves;
    std::vector<maintenance_command> m_planned_maintenance;
    /** @brief Begin of the latest surge in the saved state. */
    time_point m_saved_surge{};
    /** @brief A command was accepted whose effect the next list shows. */
    bool m_list_requested{false};
    time_point m_last_listing{};
    time_point m_last_demand_log{};
    bool m_active{true};
};

} // namespace cicadalug

#endif
