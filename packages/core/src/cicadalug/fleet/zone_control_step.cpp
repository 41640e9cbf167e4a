#include <cicadalug/fleet/budget.hpp>
#include <cicadalug/fleet/wave_control.hpp>
#include <cicadalug/fleet/zone_control_step.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <limits>
#include <utility>

namespace cicadalug {

namespace {

/**
 * @brief Time after which the record of an unlisted VM is removed. The platform's list lags, so a VM that is missing
 * briefly keeps its record.
 */
constexpr seconds record_removal_delay{600};
/** @brief Time after which a reboot is requested again, because the request may have been lost. */
constexpr seconds reboot_retry_interval{10};

using vm_index = std::map<vm_id, const vm_record*>;
using requested_operation = std::pair<vm_id, operation_id>;

/** @brief A control step in progress: the copies that it reads and the values that it will write. */
class control_step {
public:
    control_step(zone_control_state& state, const zone_control_inputs& inputs, const time_point now)
        : m_state{state}, m_inputs{inputs}, m_now{now}
    {
        for (const auto& [number, shard] : m_state.m_shards) {
            for (const auto& [id, record] : shard.m_value.m_vms) {
                m_vms.emplace(id, &record);
                m_shard_of.emplace(id, number);
                m_members[record.m_pool].push_back(&record);
            }
        }
        for (const auto& [id, service] : m_inputs.m_view->m_services) {
            m_services[service.m_pool].push_back(&service);
        }
        find_unhealthy();
    }

    auto run() -> zone_control_effects
    {
        if (write_fences()) {
            return std::move(m_effects);
        }
        update_vm_records();
        update_waves();
        advance_operations();
        request_assigned_operations();
        request_wave_operations();
        announce_charged();
        write_shards();
        write_ledgers();
        return std::move(m_effects);
    }

private:
    template<typename Value>
    auto write(const std::string& key, const version expected, Value value, nlohmann::json (*to_json)(const Value&))
        -> void
    {
        value.m_write_id = write_id{m_state.m_writer + '/' + std::to_string(++m_state.m_writes)};
        const auto id = value.m_write_id;
        m_state.m_in_flight.insert(key);
        m_effects.m_writes.push_back({key, expected, id, to_json(value)});
    }

    /**
     * @brief Raises the epoch of the shards and waves of the zone, and overwrites keys whose write may still take
     * effect.
     * @return True if there is such a write; the step then writes nothing else.
     */
    auto write_fences() -> bool
    {
        const auto uncertain = [this](const std::string& key) {
            return m_state.m_uncertain.contains(key);
        };
        for (auto& [number, shard] : m_state.m_shards) {
            const auto key = vm_shard_key(m_state.m_availability_zone, number);
            if (shard.m_value.m_epoch < m_state.m_epoch || uncertain(key)) {
                auto value = shard.m_value;
                value.m_epoch = m_state.m_epoch;
                write(key, shard.m_version, std::move(value), &vm_shard_to_json);
            }
        }
        for (auto& [id, progress] : m_state.m_waves) {
            const auto key = wave_key(m_state.m_availability_zone, id);
            if (progress.m_value.m_epoch < m_state.m_epoch || uncertain(key)) {
                auto value = progress.m_value;
                if (progress.m_version == version{}) {
                    value.m_wave = id;
                    value.m_closed = true;
                }
                value.m_epoch = m_state.m_epoch;
                write(key, progress.m_version, std::move(value), &wave_progress_to_json);
            }
        }
        for (auto& [id, ledger] : m_state.m_ledgers) {
            if (uncertain(budget_key(id))) {
                auto value = ledger.m_value;
                value.m_service = id;
                write(budget_key(id), ledger.m_version, std::move(value), &budget_ledger_to_json);
            }
        }
        return !m_effects.m_writes.empty();
    }

    auto find_unhealthy() -> void
    {
        for (const auto& [id, record] : m_vms) {
            const auto* listed = find_listed(id);
            if (m_inputs.m_unhealthy.contains(id) || (m_inputs.m_listed && (listed == nullptr || listed->m_leaving))) {
                m_unhealthy.insert(id);
            }
        }
    }

    [[nodiscard]] auto find_listed(const vm_id& vm) const -> const listed_vm*
    {
        if (!m_inputs.m_listed) {
            return nullptr;
        }
        const auto found = m_inputs.m_listed->find(vm);
        return found == m_inputs.m_listed->end() ? nullptr : &found->second;
    }

    auto change_shard(const std::size_t number) -> vm_shard&
    {
        return m_changed_shards.try_emplace(number, m_state.m_shards[number].m_value).first->second;
    }

    /** @brief Creates the records of new VMs and removes those of VMs that were unlisted for record_removal_delay. */
    auto update_vm_records() -> void
    {
        if (!m_inputs.m_listed) {
            m_state.m_absent_since.clear();
            return;
        }
        for (const auto& [id, record] : m_vms) {
            if (find_listed(id) != nullptr) {
                m_state.m_absent_since.erase(id);
            }
            else if (m_now - m_state.m_absent_since.try_emplace(id, m_now).first->second >= record_removal_delay) {
                change_shard(m_shard_of[id]).m_vms.erase(id);
                m_changed_vms.insert(id);
            }
        }
        std::vector<const listed_vm*> added;
        for (const auto& [id, listed] : *m_inputs.m_listed) {
            if (!m_vms.contains(id) && !listed.m_leaving && listed.m_availability_zone == m_state.m_availability_zone) {
                added.push_back(&listed);
            }
        }
        std::vector<std::size_t> sizes;
        for (const auto& [number, shard] : m_state.m_shards) {
            sizes.resize(std::max(sizes.size(), number + 1));
            sizes[number] = shard.m_value.m_vms.size();
        }
        m_all_vms_recorded = added.empty();
        const auto shards = assign_shards(std::move(sizes), added.size());
        for (std::size_t index = 0; index < added.size(); ++index) {
            vm_record record;
            const auto& listed = *added[index];
            record.m_vm = listed.m_vm;
            record.m_availability_zone = listed.m_availability_zone;
            record.m_rack = listed.m_rack;
            record.m_room = listed.m_room;
            record.m_address = listed.m_address;
            record.m_slots = listed.m_slots;
            record.m_connections = listed.m_connections;
            record.m_pool = listed.m_pool;
            change_shard(shards[index]).m_vms.insert_or_assign(listed.m_vm, record);
        }
    }

    /** @brief Updates the progress of each wave and writes it if it changed. */
    auto update_waves() -> void
    {
        for (const auto& [id, wave] : m_inputs.m_view->m_waves) {
            const auto copy = m_state.m_waves.contains(id) ? m_state.m_waves[id] : stored<wave_progress>{};
            auto next = copy.m_value;
            if (copy.m_version == version{} || next.m_closed) {
                if (!m_all_vms_recorded) {
                    continue;
                }
                next = start_wave(wave, m_vms);
                next.m_run = copy.m_value.m_run + 1;
            }
            record_outcomes(next, m_vms);
            resume_wave(next, m_state.m_paused_since[id], m_now);
            m_wave_of.emplace(wave_operation_id(next), &wave);
            write_wave(id, copy, next);
            m_progress.emplace(id, std::move(next));
        }
        for (auto& [id, copy] : m_state.m_waves) {
            if (!m_inputs.m_view->m_waves.contains(id) && !copy.m_value.m_closed) {
                auto next = copy.m_value;
                next.m_closed = true;
                write_wave(id, copy, std::move(next));
            }
        }
    }

    auto write_wave(const wave_id& id, const stored<wave_progress>& copy, wave_progress next) -> void
    {
        next.m_epoch = m_state.m_epoch;
        if (copy.m_version == version{} || next != copy.m_value) {
            write(wave_key(m_state.m_availability_zone, id), copy.m_version, std::move(next), &wave_progress_to_json);
        }
    }

    [[nodiscard]] auto find_assignment(const vm_id& vm) const -> const vm_assignment*
    {
        const auto found = m_inputs.m_view->m_assignments.find(vm);
        return found == m_inputs.m_view->m_assignments.end() ? nullptr : &found->second;
    }

    [[nodiscard]] auto is_withdrawn(const vm_record& record) const -> bool
    {
        const auto* assignment = find_assignment(record.m_vm);
        switch (kind_of(record.m_operation)) {
        case operation_kind::move:
            return assignment != nullptr && !assignment->m_pool.empty() && assignment->m_pool != record.m_target_pool;
        case operation_kind::wave:
            return !m_wave_of.contains(record.m_operation);
        case operation_kind::drain:
            break;
        }
        return assignment == nullptr || !assignment->m_drain;
    }

    [[nodiscard]] auto facts_of(const vm_record& record) -> vm_facts
    {
        const auto* assignment = find_assignment(record.m_vm);
        const auto* listed = find_listed(record.m_vm);
        const auto time_spent = time_in_phase(m_state.m_timers, record, m_now);
        return {listed != nullptr, listed != nullptr ? listed->m_boot : record.m_boot,
                !m_inputs.m_unhealthy.contains(record.m_vm),
                is_drained(record, m_inputs.m_entry_vms, m_state.m_confirmations),
                // Without the platform's list, VMs that returned cannot be distinguished from VMs that did not, so no
                // timeout expires.
                m_inputs.m_listed ? time_spent : milliseconds{0}, is_withdrawn(record),
                assignment != nullptr && assignment->m_drain};
    }

    auto advance_operations() -> void
    {
        for (const auto& [id, record] : m_vms) {
            if (record->m_phase == vm_phase::serving || m_changed_vms.contains(id)) {
                continue;
            }
            operation_limits limits;
            if (const auto wave = m_wave_of.find(record->m_operation); wave != m_wave_of.end()) {
                limits = {wave->second->m_drain_timeout, wave->second->m_reboot_timeout};
            }
            else if (kind_of(record->m_operation) == operation_kind::wave) {
                limits.m_reboot_timeout = cicadalug::wave{}.m_reboot_timeout;
            }
            const auto facts = facts_of(*record);
            if (auto next = advance_operation(*record, facts, limits)) {
                change_shard(m_shard_of[id]).m_vms[id] = std::move(*next);
                m_changed_vms.insert(id);
            }
            else if (record->m_phase == vm_phase::rebooting) {
                request_reboot(*record);
            }
        }
    }

    auto request_reboot(const vm_record& record) -> void
    {
        const auto [last_request, first] = m_state.m_reboot_requested_at.try_emplace(record.m_vm, m_now);
        if (first || m_now - last_request->second >= reboot_retry_interval) {
            last_request->second = m_now;
            m_effects.m_reboots.push_back({record.m_vm, record.m_boot});
        }
    }

    /** @brief Returns whether an operation can start on a VM. */
    [[nodiscard]] auto is_free(const vm_record& record) const -> bool
    {
        return record.m_phase == vm_phase::serving && !m_changed_vms.contains(record.m_vm) &&
               find_listed(record.m_vm) != nullptr;
    }

    auto request_operation(const vm_record& record, const operation_id& operation, const pool_id& target) -> void
    {
        m_requested[record.m_pool].emplace_back(record.m_vm, operation);
        m_target_pools[record.m_vm] = target;
    }

    /** @brief Requests the drains, then the moves that are assigned by operators or planned. */
    auto request_assigned_operations() -> void
    {
        for (const auto& [id, record] : m_vms) {
            const auto* assignment = find_assignment(id);
            if (assignment != nullptr && assignment->m_drain && is_free(*record)) {
                request_operation(*record, make_operation_id(operation_kind::drain, id.str()), {});
            }
        }
        for (const auto& [id, record] : m_vms) {
            const auto* assignment = find_assignment(id);
            const auto planned = m_inputs.m_moves.find(id);
            pool_id target = planned == m_inputs.m_moves.end() ? pool_id{} : planned->second;
            if (assignment != nullptr && !assignment->m_pool.empty()) {
                target = assignment->m_pool;
            }
            if (!target.empty() && target != record->m_pool && m_inputs.m_view->m_pools.contains(target) &&
                is_free(*record) && !m_target_pools.contains(id)) {
                request_operation(*record, make_operation_id(operation_kind::move, id.str()), target);
            }
        }
    }

    auto request_wave_operations() -> void
    {
        auto headroom = compute_headroom();
        const auto load = compute_load();
        for (const auto& [id, wave] : m_inputs.m_view->m_waves) {
            const auto found = m_progress.find(id);
            if (found == m_progress.end()) {
                continue;
            }
            const auto& progress = found->second;
            const auto operation = wave_operation_id(progress);
            const wave_inputs inputs{m_vms, m_unhealthy, find_charged_vms(operation), load};
            for (const auto& vm : choose_batch(wave, progress, inputs, headroom)) {
                if (is_free(*m_vms[vm]) && !m_target_pools.contains(vm)) {
                    request_operation(*m_vms[vm], operation, {});
                }
            }
        }
    }

    [[nodiscard]] auto find_charged_vms(const operation_id& operation) const -> std::set<vm_id>
    {
        std::set<vm_id> charged;
        for (const auto& [service, ledger] : m_state.m_ledgers) {
            for (const auto& [vm, charge] : ledger.m_value.m_charges) {
                if (charge.m_operation == operation && charge.m_availability_zone == m_state.m_availability_zone) {
                    charged.insert(vm);
                }
            }
        }
        return charged;
    }

    /**
     * @brief Computes how many VMs of each pool the budgets and the current demand of the zone allow to take out of
     * service.
     */
    [[nodiscard]] auto compute_headroom() const -> pool_headroom
    {
        pool_headroom headroom;
        for (const auto& [pool, members] : m_members) {
            const auto needed = m_inputs.m_needed_vms.find(pool);
            auto free = needed == m_inputs.m_needed_vms.end() ? 0 : -needed->second;
            free += static_cast<int>(std::count_if(members.begin(), members.end(), [this](const auto* record) {
                return record->m_phase == vm_phase::serving && !m_unhealthy.contains(record->m_vm);
            }));
            if (const auto services = m_services.find(pool); services != m_services.end()) {
                for (const auto* service : services->second) {
                    const auto ledger = m_state.m_ledgers.find(service->m_id);
                    free = std::min(free, ledger == m_state.m_ledgers.end() ? 0 : spare_vms(ledger->second.m_value));
                }
            }
            headroom.emplace(pool, free);
        }
        return headroom;
    }

    [[nodiscard]] auto compute_load() const -> std::map<pool_id, double>
    {
        std::map<pool_id, double> load;
        for (const auto& [pool, needed] : m_inputs.m_needed_vms) {
            const auto members = m_members.find(pool);
            if (members != m_members.end()) {
                load.emplace(pool, static_cast<double>(needed) / static_cast<double>(members->second.size()));
            }
        }
        return load;
    }

    [[nodiscard]] auto is_charged(const pool_id& pool, const requested_operation& requested) const -> bool
    {
        const auto services = m_services.find(pool);
        return services == m_services.end() ||
               std::all_of(services->second.begin(), services->second.end(), [&](const service* service) {
                   const auto ledger = m_state.m_ledgers.find(service->m_id);
                   if (ledger == m_state.m_ledgers.end() || ledger->second.m_value.m_pool != pool) {
                       return false;
                   }
                   const auto& charges = ledger->second.m_value.m_charges;
                   const auto charge = charges.find(requested.first);
                   return charge != charges.end() && charge->second.m_operation == requested.second;
               });
    }

    auto announce_charged() -> void
    {
        for (const auto& [pool, operations] : m_requested) {
            for (const auto& requested : operations) {
                if (is_charged(pool, requested)) {
                    const auto& [vm, operation] = requested;
                    const auto shard = m_shard_of[vm];
                    m_state.m_reboot_requested_at.erase(vm);
                    change_shard(shard).m_vms[vm] =
                        announce(*m_vms[vm], operation, m_target_pools[vm], m_state.m_shards[shard].m_version,
                                 find_listed(vm)->m_boot);
                }
            }
        }
    }

    auto write_shards() -> void
    {
        for (auto& [number, shard] : m_changed_shards) {
            shard.m_epoch = m_state.m_epoch;
            write(vm_shard_key(m_state.m_availability_zone, number), m_state.m_shards[number].m_version,
                  std::move(shard), &vm_shard_to_json);
        }
    }

    /**
     * @brief Writes the ledgers from the stored copies of the records, because the changes of this step may still fail.
     */
    auto write_ledgers() -> void
    {
        for (const auto& [id, service] : m_inputs.m_view->m_services) {
            write_ledger(service);
        }
        for (const auto& [id, ledger] : m_state.m_ledgers) {
            if (!m_inputs.m_view->m_services.contains(id)) {
                service deleted;
                deleted.m_id = id;
                write_ledger(deleted);
            }
        }
    }

    auto write_ledger(const service& service) -> void
    {
        zone_report report;
        report.m_availability_zone = m_state.m_availability_zone;
        report.m_epoch = m_state.m_epoch;
        if (const auto members = m_members.find(service.m_pool); members != m_members.end()) {
            for (const auto* record : members->second) {
                report.m_members.insert(record->m_vm);
                if (!record->m_operation.empty()) {
                    report.m_operations.emplace(record->m_vm, record->m_operation);
                }
                if (m_unhealthy.contains(record->m_vm)) {
                    report.m_unhealthy.insert(record->m_vm);
                }
            }
        }
        if (const auto requested = m_requested.find(service.m_pool); requested != m_requested.end()) {
            report.m_requested = requested->second;
        }
        const auto& copy = m_state.m_ledgers[service.m_id];
        auto next = reconcile(copy.m_value, service, report);
        if (copy.m_version == version{} || next != copy.m_value) {
            write(budget_key(service.m_id), copy.m_version, std::move(next), &budget_ledger_to_json);
        }
    }

    zone_control_state& m_state;
    const zone_control_inputs& m_inputs;
    time_point m_now;
    zone_control_effects m_effects;
    vm_index m_vms;
    std::map<vm_id, std::size_t> m_shard_of;
    std::map<pool_id, std::vector<const vm_record*>> m_members;
    std::map<pool_id, std::vector<const service*>> m_services;
    std::set<vm_id> m_unhealthy;
    std::map<wave_id, wave_progress> m_progress;
    std::map<operation_id, const wave*> m_wave_of;
    std::map<std::size_t, vm_shard> m_changed_shards;
    /** @brief True if each listed VM has a record. A wave that started earlier would miss the VMs without one. */
    bool m_all_vms_recorded{false};
    /** @brief VMs whose record is already changed by this step. */
    std::set<vm_id> m_changed_vms;
    std::map<pool_id, std::vector<requested_operation>> m_requested;
    std::map<vm_id, pool_id> m_target_pools;
};

template<typename Value, typename Key>
auto store_parsed(std::map<Key, stored<Value>>& copies, const Key& key, const version at, result<Value> parsed)
    -> findings
{
    if (!parsed) {
        return std::move(parsed).assume_error();
    }
    auto& copy = copies[key];
    if (at >= copy.m_version) {
        copy = {at, std::move(parsed).assume_value()};
    }
    return {};
}

} // namespace

auto apply_value(zone_control_state& state, const std::string& key, const version at, const nlohmann::json& value)
    -> findings
{
    const auto fleet_prefix = "fleet/" + state.m_availability_zone.str() + '/';
    const auto wave_prefix = "wave/" + state.m_availability_zone.str() + '/';
    const std::string budget_prefix{"budget/"};
    findings found;
    if (at == version{}) {
        // The key does not exist: the copy stays at version zero, so that the next write creates it.
    }
    else if (key.starts_with(fleet_prefix)) {
        std::size_t number{};
        const auto* last = key.data() + key.size();
        if (const auto read = std::from_chars(key.data() + fleet_prefix.size(), last, number);
            read.ec != std::errc{} || read.ptr != last) {
            return findings{key, "is not a shard number"};
        }
        found = store_parsed(state.m_shards, number, at, parse_vm_shard(value));
        state.m_fenced = state.m_fenced || state.m_shards[number].m_value.m_epoch > state.m_epoch;
    }
    else if (key.starts_with(wave_prefix)) {
        const wave_id id{key.substr(wave_prefix.size())};
        found = store_parsed(state.m_waves, id, at, parse_wave_progress(value));
        state.m_fenced = state.m_fenced || state.m_waves[id].m_value.m_epoch > state.m_epoch;
    }
    else if (key.starts_with(budget_prefix)) {
        const service_id id{key.substr(budget_prefix.size())};
        found = store_parsed(state.m_ledgers, id, at, parse_budget_ledger(value));
        state.m_fenced =
            state.m_fenced || is_fenced(state.m_ledgers[id].m_value, state.m_availability_zone, state.m_epoch);
    }
    if (found.empty()) {
        state.m_in_flight.erase(key);
        state.m_uncertain.erase(key);
    }
    return found;
}

auto apply_change(zone_control_state& state, const std::string& key, const version at, const nlohmann::json& value)
    -> findings
{
    if (state.m_in_flight.contains(key) || state.m_uncertain.contains(key)) {
        return {};
    }
    return apply_value(state, key, at, value);
}

auto apply_reread(zone_control_state& state, const zone_control_write& write, const version at,
                  const nlohmann::json& value) -> findings
{
    auto found = apply_value(state, write.m_key, at, value);
    if (found.empty() && at == write.m_expected) {
        state.m_uncertain.insert(write.m_key);
    }
    return found;
}

auto zone_control_step(zone_control_state& state, const zone_control_inputs& inputs, const time_point now)
    -> zone_control_effects
{
    if (state.m_fenced || !state.m_in_flight.empty()) {
        return {};
    }
    return control_step{state, inputs, now}.run();
}

} // namespace cicadalug
