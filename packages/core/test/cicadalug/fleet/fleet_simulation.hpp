#ifndef CICADALUG_TEST_FLEET_FLEET_SIMULATION_HPP
#define CICADALUG_TEST_FLEET_FLEET_SIMULATION_HPP

#include "kv_model.hpp"

#include <cicadalug/fleet/zone_control_step.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadalug::test {

/**
 * @brief One event of a generated history. The numbers select among the objects that exist at the time of the event.
 */
struct simulation_event {
    unsigned m_kind{0};
    unsigned m_first{0};
    unsigned m_second{0};
};

/**
 * @brief Simulation of zones with VMs, entry VMs, control holders and the platform, with a simple reference model that
 * sees the whole state: one map of VM records and one of budget ledgers. `check` compares both after each event.
 */
class fleet_simulation {
public:
    fleet_simulation();

    /** @brief Applies one event, with faults, and checks the invariants. */
    auto apply(const simulation_event& event) -> void;

    /**
     * @brief Ends all faults, replaces the holders and runs until all waves are finished and all charges released, or
     * the limit of rounds is reached.
     */
    auto run_until_settled() -> void;

    /** @brief Violations of invariants that the checks found, empty if none. */
    [[nodiscard]] auto violations() const -> const std::vector<std::string>& { return m_violations; }

    /** @brief Keys of the waves that are not finished. */
    [[nodiscard]] auto unfinished_waves() const -> std::vector<std::string>;

    /** @brief VMs that are charged without being held by an operation. */
    [[nodiscard]] auto charges_without_operation() const -> std::vector<std::string>;

    [[nodiscard]] auto moves() const -> std::uint64_t { return m_moves; }
    [[nodiscard]] auto reboots() const -> std::uint64_t { return m_reboots; }

private:
    struct holder {
        zone_control_state m_state;
        std::deque<zone_control_write> m_writes;
        std::vector<zone_control_write> m_unresolved;
    };
    struct entry_vm {
        availability_zone_id m_zone;
        entry_vm_id m_id;
        incarnation m_incarnation{1};
        std::map<vm_id, vm_record> m_view;
        std::map<vm_id, int> m_in_flight;
    };
    struct vm_state {
        listed_vm m_listed;
        bool m_returns_after_reboot{true};
        bool m_is_unhealthy{false};
    };

    auto add_holder(const availability_zone_id& zone) -> void;
    auto apply_frequent(unsigned kind, const simulation_event& event, holder& actor, entry_vm& entry) -> void;
    auto run_holder(holder& actor, unsigned choice) -> void;
    auto step(holder& actor) -> void;
    auto send_write(holder& actor, kv_fault fault) -> void;
    auto deliver_changes(holder& actor) -> void;
    auto repair() -> void;
    auto resolve_writes(holder& actor) -> void;
    auto reboot(std::size_t index) -> void;
    auto start_or_finish_request(entry_vm& actor, unsigned choice) -> void;
    auto send_confirmations(const entry_vm& actor, unsigned choice) -> void;
    auto restart_entry_vm(entry_vm& actor) -> void;
    auto change_assignment(unsigned first, unsigned second) -> void;
    auto toggle_rack_failure(unsigned choice) -> void;
    [[nodiscard]] auto inputs_of(const availability_zone_id& zone) const -> zone_control_inputs;
    auto check() -> void;
    auto check_record(const vm_record& before, const vm_record& after) -> void;
    auto check_budgets(const std::map<vm_id, vm_record>& records) -> void;
    [[nodiscard]] auto records() const -> std::map<vm_id, vm_record>;
    [[nodiscard]] auto ledgers() const -> std::map<service_id, budget_ledger>;

    kv_model m_store;
    fleet_view m_view;
    std::map<vm_id, vm_state> m_platform_vms;
    std::vector<entry_vm> m_entry_vms;
    std::vector<std::unique_ptr<holder>> m_holders;
    std::vector<reboot_request> m_reboot_requests;
    std::vector<drain_confirmation> m_messages;
    time_point m_now;
    std::map<vm_id, vm_record> m_checked_records;
    std::map<service_id, budget_ledger> m_checked_ledgers;
    std::vector<std::string> m_violations;
    std::uint64_t m_moves{0};
    std::uint64_t m_reboots{0};
    std::uint64_t m_checked_revision{0};
};

} // namespace cicadalug::test

#endif
