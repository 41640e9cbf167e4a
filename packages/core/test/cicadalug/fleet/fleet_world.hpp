#ifndef CICADALUG_TEST_FLEET_FLEET_WORLD_HPP
#define CICADALUG_TEST_FLEET_FLEET_WORLD_HPP

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

/** @brief One event of a generated history. The numbers choose among what exists at that moment. */
struct world_event {
    unsigned m_kind{0};
    unsigned m_first{0};
    unsigned m_second{0};
};

/**
 * @brief Zones with VMs, entry VMs, control holders and the platform, and beside them a naive model with total
 * knowledge: one owner map and one budget counter. `check` compares after each event.
 */
class fleet_world {
public:
    fleet_world();

    /** @brief Lets one event happen, with faults, and checks the invariants. */
    auto apply(const world_event& event) -> void;

    /** @brief Ends all faults, replaces the holders and runs until nothing changes or the time is over. */
    auto calm_down() -> void;

    /** @brief Faults that the checks found, empty if none. */
    [[nodiscard]] auto violations() const -> const std::vector<std::string>& { return m_violations; }

    /** @brief VMs that some wave has not accounted for. */
    [[nodiscard]] auto unaccounted() const -> std::vector<std::string>;

    /** @brief Charges whose VM is held by no operation. */
    [[nodiscard]] auto idle_charges() const -> std::vector<std::string>;

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
        bool m_comes_back{true};
        bool m_broken{false};
    };

    auto add_holder(const availability_zone_id& zone) -> void;
    auto apply_frequent(unsigned kind, const world_event& event, holder& actor, entry_vm& entry) -> void;
    auto act(holder& actor, unsigned choice) -> void;
    auto step(holder& actor) -> void;
    auto send_write(holder& actor, kv_fault fault) -> void;
    auto watch(holder& actor) -> void;
    auto repair() -> void;
    auto resolve(holder& actor) -> void;
    auto reboot(std::size_t index) -> void;
    auto use_vm(entry_vm& actor, unsigned choice) -> void;
    auto confirm(const entry_vm& actor, unsigned choice) -> void;
    auto restart(entry_vm& actor) -> void;
    auto change_wish(unsigned first, unsigned second) -> void;
    auto fail_rack(unsigned choice) -> void;
    [[nodiscard]] auto inputs_of(const availability_zone_id& zone) const -> zone_control_inputs;
    auto check() -> void;
    auto check_record(const vm_record& before, const vm_record& after) -> void;
    auto check_budgets(const std::map<vm_id, vm_record>& records) -> void;
    [[nodiscard]] auto records() const -> std::map<vm_id, vm_record>;
    [[nodiscard]] auto ledgers() const -> std::map<service_id, budget_ledger>;

    kv_model m_store;
    fleet_view m_view;
    std::map<vm_id, vm_state> m_machines;
    std::vector<entry_vm> m_entry_vms;
    std::vector<std::unique_ptr<holder>> m_holders;
    std::vector<reboot_request> m_reboot_requests;
    std::vector<drain_confirmation> m_messages;
    time_point m_now;
    std::map<vm_id, vm_record> m_owner;
    std::map<service_id, budget_ledger> m_counted;
    std::vector<std::string> m_violations;
    std::uint64_t m_moves{0};
    std::uint64_t m_reboots{0};
    std::uint64_t m_seen{0};
};

} // namespace cicadalug::test

#endif
