#include "fleet_simulation.hpp"

#include <algorithm>

namespace cicadalug::test {

namespace {

constexpr int vms_per_pool_and_zone = 3;
const std::vector<std::string> zone_names{"z1", "z2"};
const std::vector<std::string> pool_names{"desk", "quotes", "spare"};

[[nodiscard]] auto choose_fault(const unsigned choice) -> kv_fault
{
    constexpr unsigned faults = 24;
    switch (choice % faults) {
    case 0:
        return kv_fault::response_lost;
    case 1:
        return kv_fault::request_lost;
    case 2:
        return kv_fault::delayed;
    default:
        return kv_fault::none;
    }
}

template<typename Container>
[[nodiscard]] auto pick(Container& items, const unsigned choice) -> auto&
{
    return *std::next(items.begin(), static_cast<std::ptrdiff_t>(choice % items.size()));
}

} // namespace

fleet_simulation::fleet_simulation()
{
    for (const auto& name : pool_names) {
        m_view.m_pools.emplace(pool_id{name}, pool{pool_id{name}, name == "spare"});
        service declared;
        declared.m_id = service_id{"s-" + name};
        declared.m_pool = pool_id{name};
        declared.m_promised_vms = name == "spare" ? 2 : 4;
        m_view.m_services.emplace(declared.m_id, declared);
    }
    m_view.m_waves.emplace(wave_id{"w1"}, wave{wave_id{"w1"}, {pool_id{"desk"}, pool_id{"quotes"}}});
    m_view.m_waves.emplace(wave_id{"w2"}, wave{wave_id{"w2"}, {pool_id{"quotes"}, pool_id{"spare"}}, 1});
    for (const auto& zone : zone_names) {
        for (const auto& name : pool_names) {
            for (int number = 0; number < vms_per_pool_and_zone; ++number) {
                listed_vm listed;
                std::string vm{zone};
                vm += '-' + name;
                vm += '-' + std::to_string(number);
                listed.m_vm = vm_id{vm};
                listed.m_availability_zone = availability_zone_id{zone};
                listed.m_rack = rack_id{zone + "-r" + std::to_string(number)};
                listed.m_pool = pool_id{name};
                listed.m_boot = 1;
                m_platform_vms.emplace(listed.m_vm, vm_state{listed});
            }
        }
        for (const auto* name : {"a", "b"}) {
            entry_vm actor;
            actor.m_zone = availability_zone_id{zone};
            actor.m_id = entry_vm_id{zone + '-' + name};
            m_entry_vms.push_back(std::move(actor));
        }
        add_holder(availability_zone_id{zone});
    }
}

auto fleet_simulation::add_holder(const availability_zone_id& zone) -> void
{
    const auto lease = "control/" + zone.str();
    std::ignore = m_store.put(lease, m_store.read(lease).m_version, {}, kv_fault::none);
    auto actor = std::make_unique<holder>();
    actor->m_state.m_availability_zone = zone;
    actor->m_state.m_epoch = epoch{m_store.read(lease).m_version.value()};
    actor->m_state.m_writer = "holder" + std::to_string(m_holders.size());
    for (const auto& [key, entry] : m_store.entries()) {
        const auto found = apply_value(actor->m_state, key, entry.m_version, entry.m_value);
        if (!found.empty()) {
            m_violations.push_back(key + ": " + found.to_string());
        }
    }
    m_holders.push_back(std::move(actor));
}

auto fleet_simulation::inputs_of(const availability_zone_id& zone) const -> zone_control_inputs
{
    zone_control_inputs inputs;
    inputs.m_view = &m_view;
    inputs.m_listed.emplace();
    for (const auto& [id, state] : m_platform_vms) {
        if (state.m_listed.m_availability_zone == zone) {
            inputs.m_listed->emplace(id, state.m_listed);
        }
        if (state.m_is_unhealthy) {
            inputs.m_unhealthy.insert(id);
        }
    }
    for (const auto& actor : m_entry_vms) {
        if (actor.m_zone == zone) {
            inputs.m_entry_vms.push_back({actor.m_id, actor.m_incarnation, false});
        }
    }
    return inputs;
}

auto fleet_simulation::step(holder& actor) -> void
{
    auto effects = zone_control_step(actor.m_state, inputs_of(actor.m_state.m_availability_zone), m_now);
    std::move(effects.m_writes.begin(), effects.m_writes.end(), std::back_inserter(actor.m_writes));
    m_reboot_requests.insert(m_reboot_requests.end(), effects.m_reboots.begin(), effects.m_reboots.end());
}

auto fleet_simulation::send_write(holder& actor, const kv_fault fault) -> void
{
    const auto write = actor.m_writes.front();
    actor.m_writes.pop_front();
    if (m_store.put(write.m_key, write.m_expected, write.m_value, fault) == kv_model::put_result::applied) {
        std::ignore = apply_value(actor.m_state, write.m_key, m_store.read(write.m_key).m_version, write.m_value);
    }
    else {
        actor.m_unresolved.push_back(write);
    }
}

auto fleet_simulation::resolve_writes(holder& actor) -> void
{
    for (const auto& write : std::exchange(actor.m_unresolved, {})) {
        const auto entry = m_store.read(write.m_key);
        std::ignore = apply_reread(actor.m_state, write, entry.m_version, entry.m_value);
    }
}

auto fleet_simulation::deliver_changes(holder& actor) -> void
{
    for (const auto& [key, entry] : m_store.entries()) {
        std::ignore = apply_change(actor.m_state, key, entry.m_version, entry.m_value);
    }
}

auto fleet_simulation::reboot(const std::size_t index) -> void
{
    if (m_reboot_requests.empty()) {
        return;
    }
    const auto& request = pick(m_reboot_requests, static_cast<unsigned>(index));
    auto& state = m_platform_vms.at(request.m_vm);
    if (state.m_listed.m_boot != request.m_boot || !state.m_returns_after_reboot) {
        return;
    }
    ++state.m_listed.m_boot;
    ++m_reboots;
    for (const auto& actor : m_entry_vms) {
        if (const auto work = actor.m_in_flight.find(request.m_vm);
            work != actor.m_in_flight.end() && work->second > 0) {
            m_violations.push_back("reboot of " + request.m_vm.str() + " interrupted a request of " + actor.m_id.str());
        }
    }
}

auto fleet_simulation::start_or_finish_request(entry_vm& actor, const unsigned choice) -> void
{
    const auto& [vm, state] = pick(m_platform_vms, choice);
    if (state.m_listed.m_availability_zone != actor.m_zone) {
        return;
    }
    const auto known = actor.m_view.find(vm);
    auto& in_flight = actor.m_in_flight[vm];
    if (in_flight > 0) {
        --in_flight;
    }
    else if (known != actor.m_view.end() && accepts_new_work(known->second)) {
        ++in_flight;
    }
}

auto fleet_simulation::send_confirmations(const entry_vm& actor, const unsigned choice) -> void
{
    const auto sent = m_messages.size();
    for (const auto& [vm, record] : actor.m_view) {
        const auto work = actor.m_in_flight.find(vm);
        if (record.m_phase == vm_phase::announced && (work == actor.m_in_flight.end() || work->second == 0)) {
            m_messages.push_back({actor.m_id, actor.m_incarnation, vm, record.m_announcement});
        }
    }
    // Messages stay in the list, so that some are delivered again, delayed and out of order.
    const auto deliver = [this](const drain_confirmation& message) {
        for (auto& each : m_holders) {
            receive_confirmation(each->m_state.m_confirmations, message);
        }
    };
    if (choice % 3 == 0 && !m_messages.empty()) {
        deliver(pick(m_messages, choice));
        return;
    }
    std::for_each(m_messages.begin() + static_cast<std::ptrdiff_t>(sent), m_messages.end(), deliver);
}

auto fleet_simulation::restart_entry_vm(entry_vm& actor) -> void
{
    actor.m_incarnation = actor.m_incarnation + incarnation{1};
    actor.m_in_flight.clear();
    actor.m_view = records();
}

auto fleet_simulation::change_assignment(const unsigned first, const unsigned second) -> void
{
    const auto& [vm, state] = pick(m_platform_vms, first);
    const pool_id target{pool_names[second % pool_names.size()]};
    m_view.m_assignments[vm] = {vm, target, second % 5 == 0};
}

auto fleet_simulation::toggle_rack_failure(const unsigned choice) -> void
{
    const auto rack = pick(m_platform_vms, choice).second.m_listed.m_rack;
    for (auto& [vm, state] : m_platform_vms) {
        if (state.m_listed.m_rack == rack) {
            state.m_is_unhealthy = !state.m_is_unhealthy;
            state.m_returns_after_reboot = !state.m_is_unhealthy || choice % 2 == 0;
        }
    }
}

/** @brief Lets a holder send some of its writes, or send all of them and run its next step. */
auto fleet_simulation::run_holder(holder& actor, const unsigned choice) -> void
{
    constexpr unsigned all = 12;
    for (unsigned count = 0; count < (choice % 3 == 0 ? choice % 5 : all) && !actor.m_writes.empty(); ++count) {
        send_write(actor, choose_fault(choice + 7 * count));
        check();
    }
    if (actor.m_writes.empty()) {
        resolve_writes(actor);
        step(actor);
    }
}

auto fleet_simulation::apply_frequent(const unsigned kind, const simulation_event& event, holder& actor,
                                      entry_vm& entry) -> void
{
    constexpr unsigned kinds = 16;
    switch (kind % kinds) {
    case 0:
        m_store.deliver_delayed(event.m_first);
        break;
    case 1:
        change_assignment(event.m_first, event.m_second);
        break;
    case 2:
        reboot(event.m_second);
        break;
    case 3:
    case 4:
        for (const auto& each : m_entry_vms) {
            if (event.m_first % 2 == 0 || &each == &entry) {
                send_confirmations(each, event.m_second);
            }
        }
        break;
    case 5:
        start_or_finish_request(entry, event.m_second);
        break;
    case 6:
    case 7:
        for (auto& each : m_entry_vms) {
            if (event.m_first % 2 == 0 || &each == &entry) {
                each.m_view = records();
            }
        }
        break;
    case 8:
        deliver_changes(actor);
        break;
    case 9:
    case 10:
        for (const auto& each : m_holders) {
            resolve_writes(*each);
        }
        break;
    default:
        // The holders that acquired the leases last act most often; the others represent paused holders that resume
        // occasionally.
        run_holder(event.m_second % 4 == 0 ? actor : *m_holders[m_holders.size() - 1 - event.m_first % 2],
                   event.m_second / 4);
        break;
    }
}

auto fleet_simulation::apply(const simulation_event& event) -> void
{
    auto& actor = *pick(m_holders, event.m_first);
    auto& entry = pick(m_entry_vms, event.m_first);
    constexpr unsigned rare_kinds = 4;
    switch (event.m_kind) {
    case 0:
        add_holder(availability_zone_id{zone_names[event.m_first % zone_names.size()]});
        break;
    case 1:
        restart_entry_vm(entry);
        break;
    case 2:
        toggle_rack_failure(event.m_first);
        break;
    case 3:
        m_now += seconds{event.m_second % 40};
        break;
    default:
        apply_frequent(event.m_kind - rare_kinds, event, actor, entry);
        break;
    }
    check();
}

/**
 * @brief Performs the actions of operators: releases VMs that were set aside, ends drains, returns VMs to their pools.
 */
auto fleet_simulation::repair() -> void
{
    for (const auto& [vm, record] : records()) {
        m_view.m_assignments[vm] = {vm, m_platform_vms.at(vm).m_listed.m_pool, record.m_phase == vm_phase::set_aside};
    }
}

auto fleet_simulation::run_until_settled() -> void
{
    constexpr int rounds = 3'000;
    for (auto& [vm, state] : m_platform_vms) {
        state.m_is_unhealthy = false;
        state.m_returns_after_reboot = true;
    }
    for (const auto& zone : zone_names) {
        add_holder(availability_zone_id{zone});
    }
    for (int round = 0;
         round < rounds && !(round > 20 && unfinished_waves().empty() && charges_without_operation().empty());
         ++round) {
        m_now += seconds{1};
        repair();
        for (auto last = m_holders.end() - 2; last != m_holders.end(); ++last) {
            deliver_changes(**last);
            step(**last);
            while (!(*last)->m_writes.empty()) {
                send_write(**last, kv_fault::none);
            }
            resolve_writes(**last);
        }
        check();
        m_messages.clear();
        for (auto& actor : m_entry_vms) {
            actor.m_in_flight.clear();
            actor.m_view = records();
            send_confirmations(actor, 0);
        }
        for (const auto& message : m_messages) {
            for (auto& each : m_holders) {
                receive_confirmation(each->m_state.m_confirmations, message);
            }
        }
        for (std::size_t index = 0; index < m_reboot_requests.size(); ++index) {
            reboot(index);
        }
        m_reboot_requests.clear();
    }
}

auto fleet_simulation::records() const -> std::map<vm_id, vm_record>
{
    std::map<vm_id, vm_record> all;
    for (const auto& [key, entry] : m_store.entries()) {
        if (key.starts_with("fleet/")) {
            const auto shard = parse_vm_shard(entry.m_value);
            all.insert(shard.assume_value().m_vms.begin(), shard.assume_value().m_vms.end());
        }
    }
    return all;
}

auto fleet_simulation::ledgers() const -> std::map<service_id, budget_ledger>
{
    std::map<service_id, budget_ledger> all;
    for (const auto& [key, entry] : m_store.entries()) {
        if (key.starts_with("budget/")) {
            const auto ledger = parse_budget_ledger(entry.m_value);
            all.emplace(ledger.assume_value().m_service, ledger.assume_value());
        }
    }
    return all;
}

auto fleet_simulation::check() -> void
{
    std::uint64_t revision = 0;
    for (const auto& [key, entry] : m_store.entries()) {
        revision = std::max(revision, entry.m_version.value());
    }
    if (revision == m_checked_revision) {
        return;
    }
    m_checked_revision = revision;
    auto after = records();
    for (const auto& [vm, record] : after) {
        if (const auto before = m_checked_records.find(vm); before != m_checked_records.end()) {
            check_record(before->second, record);
        }
    }
    check_budgets(after);
    m_checked_records = std::move(after);
}

auto fleet_simulation::check_record(const vm_record& before, const vm_record& after) -> void
{
    const auto moved = before.m_pool != after.m_pool;
    if (moved != (after.m_generation == before.m_generation + 1)) {
        m_violations.push_back("pool of " + after.m_vm.str() + " and its generation do not change together");
    }
    m_moves += moved ? 1 : 0;
    if (!moved && (after.m_phase != vm_phase::rebooting || before.m_phase != vm_phase::announced)) {
        return;
    }
    for (const auto& actor : m_entry_vms) {
        const auto work = actor.m_in_flight.find(after.m_vm);
        const auto known = actor.m_view.find(after.m_vm);
        if (actor.m_zone == after.m_availability_zone &&
            ((work != actor.m_in_flight.end() && work->second > 0) ||
             (known != actor.m_view.end() && accepts_new_work(known->second)))) {
            m_violations.push_back(actor.m_id.str() + " may send to " + after.m_vm.str() + ", which was disrupted");
        }
    }
}

auto fleet_simulation::check_budgets(const std::map<vm_id, vm_record>& records) -> void
{
    auto after = ledgers();
    for (const auto& item : after) {
        const auto& id = item.first;
        const auto& ledger = item.second;
        const auto& before = m_checked_ledgers[id];
        std::set<vm_id> out;
        int members = 0;
        for (const auto& [vm, record] : records) {
            if (record.m_pool != ledger.m_pool) {
                continue;
            }
            ++members;
            const auto charged = ledger.m_charges.contains(vm);
            if (!record.m_operation.empty() && !charged) {
                m_violations.push_back(vm.str() + " is held by " + record.m_operation.str() + " without a charge");
            }
            const auto zone = ledger.m_zones.find(record.m_availability_zone);
            if (charged || (zone != ledger.m_zones.end() && zone->second.m_unhealthy.contains(vm))) {
                out.insert(vm);
            }
        }
        const auto added = std::any_of(ledger.m_charges.begin(), ledger.m_charges.end(), [&](const auto& charge) {
            const auto zone = ledger.m_zones.find(charge.second.m_availability_zone);
            return !before.m_charges.contains(charge.first) && !zone->second.m_unhealthy.contains(charge.first);
        });
        const auto promised = m_view.m_services.at(id).m_promised_vms;
        if (added && members - static_cast<int>(out.size()) < promised) {
            m_violations.push_back("a charge took " + id.str() + " below its promised capacity");
        }
    }
    m_checked_ledgers = std::move(after);
}

auto fleet_simulation::unfinished_waves() const -> std::vector<std::string>
{
    std::vector<std::string> open;
    for (const auto& zone : zone_names) {
        for (const auto& [id, wave] : m_view.m_waves) {
            const auto key = wave_key(availability_zone_id{zone}, id);
            const auto progress = parse_wave_progress(m_store.read(key).m_value);
            if (!progress || !progress.assume_value().m_finished) {
                open.push_back(key);
            }
        }
    }
    return open;
}

auto fleet_simulation::charges_without_operation() const -> std::vector<std::string>
{
    std::vector<std::string> idle;
    const auto all = records();
    for (const auto& [id, ledger] : ledgers()) {
        for (const auto& [vm, charge] : ledger.m_charges) {
            if (const auto record = all.find(vm); record == all.end() || record->second.m_operation.empty()) {
                idle.push_back(vm.str());
            }
        }
    }
    return idle;
}

} // namespace cicadalug::test
