#include <cicadalug/fleet/ownership.hpp>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace cicadalug {

namespace {

constexpr std::string_view move_prefix{"move:"};
constexpr std::string_view wave_prefix{"wave:"};
constexpr std::string_view drain_prefix{"drain:"};

[[nodiscard]] auto end(vm_record record, const operation_outcome outcome) -> vm_record
{
    record.m_phase = vm_phase::serving;
    record.m_last_operation = std::exchange(record.m_operation, {});
    record.m_last_outcome = outcome;
    record.m_target_pool = {};
    return record;
}

[[nodiscard]] auto with_phase(vm_record record, const vm_phase phase) -> vm_record
{
    record.m_phase = phase;
    return record;
}

[[nodiscard]] auto has_expired(const milliseconds elapsed, const milliseconds limit) noexcept -> bool
{
    return limit.count() > 0 && elapsed >= limit;
}

[[nodiscard]] auto advance_announced(const vm_record& record, const vm_facts& facts, const operation_limits& limits)
    -> std::optional<vm_record>
{
    if (facts.m_withdrawn) {
        return end(record, operation_outcome::withdrawn);
    }
    if (!facts.m_drained) {
        if (has_expired(facts.m_time_in_phase, limits.m_drain_timeout)) {
            return end(record, operation_outcome::not_drained);
        }
        return std::nullopt;
    }
    switch (kind_of(record.m_operation)) {
    case operation_kind::move: {
        auto moved = end(record, operation_outcome::done);
        moved.m_pool = record.m_target_pool;
        ++moved.m_generation;
        return moved;
    }
    case operation_kind::wave:
        return with_phase(record, vm_phase::rebooting);
    case operation_kind::drain:
        break;
    }
    return with_phase(record, vm_phase::draining);
}

[[nodiscard]] auto advance_reboot(const vm_record& record, const vm_facts& facts, const operation_limits& limits)
    -> std::optional<vm_record>
{
    const auto booted = facts.m_listed && facts.m_boot != record.m_boot;
    if (record.m_phase == vm_phase::returning && booted && facts.m_healthy) {
        return end(record, operation_outcome::done);
    }
    if (has_expired(facts.m_time_in_phase, limits.m_reboot_timeout)) {
        auto next = with_phase(record, vm_phase::set_aside);
        next.m_last_operation = record.m_operation;
        next.m_last_outcome = operation_outcome::not_returned;
        return next;
    }
    if (record.m_phase == vm_phase::rebooting && booted) {
        return with_phase(record, vm_phase::returning);
    }
    return std::nullopt;
}

} // namespace

auto make_operation_id(const operation_kind kind, const std::string& name) -> operation_id
{
    switch (kind) {
    case operation_kind::move:
        return operation_id{std::string{move_prefix} + name};
    case operation_kind::wave:
        return operation_id{std::string{wave_prefix} + name};
    case operation_kind::drain:
        break;
    }
    return operation_id{std::string{drain_prefix} + name};
}

auto kind_of(const operation_id& operation) noexcept -> operation_kind
{
    if (operation.str().starts_with(move_prefix)) {
        return operation_kind::move;
    }
    return operation.str().starts_with(wave_prefix) ? operation_kind::wave : operation_kind::drain;
}

auto receive_confirmation(drain_confirmations& confirmations, const drain_confirmation& confirmation) -> void
{
    auto [latest, added] = confirmations.m_by_vm[confirmation.m_vm].try_emplace(confirmation.m_entry_vm, confirmation);
    const auto rank = [](const drain_confirmation& item) {
        return std::pair{item.m_incarnation, item.m_announcement};
    };
    if (!added && rank(latest->second) < rank(confirmation)) {
        latest->second = confirmation;
    }
}

auto is_drained(const vm_record& record, const std::vector<entry_vm_presence>& entry_vms,
                const drain_confirmations& confirmations) -> bool
{
    const auto of_vm = confirmations.m_by_vm.find(record.m_vm);
    if (of_vm == confirmations.m_by_vm.end()) {
        return false;
    }
    return std::all_of(entry_vms.begin(), entry_vms.end(), [&](const entry_vm_presence& presence) {
        if (presence.m_is_removed) {
            return true;
        }
        const auto confirmed = of_vm->second.find(presence.m_entry_vm);
        return confirmed != of_vm->second.end() && confirmed->second.m_incarnation >= presence.m_incarnation &&
               confirmed->second.m_announcement == record.m_announcement;
    });
}

auto announce(const vm_record& record, const operation_id& operation, const pool_id& target_pool,
              const version shard_version, const std::uint64_t boot) -> vm_record
{
    auto next = with_phase(record, vm_phase::announced);
    next.m_operation = operation;
    next.m_target_pool = target_pool;
    next.m_announcement = shard_version;
    next.m_boot = boot;
    return next;
}

auto advance_operation(const vm_record& record, const vm_facts& facts, const operation_limits& limits)
    -> std::optional<vm_record>
{
    switch (record.m_phase) {
    case vm_phase::serving:
        return std::nullopt;
    case vm_phase::announced:
        return advance_announced(record, facts, limits);
    case vm_phase::draining:
        return facts.m_withdrawn ? std::optional{end(record, operation_outcome::done)} : std::nullopt;
    case vm_phase::rebooting:
    case vm_phase::returning:
        return advance_reboot(record, facts, limits);
    case vm_phase::set_aside:
        break;
    }
    if (!facts.m_reclaimed) {
        return std::nullopt;
    }
    // The VM stays out of service until the operator ends the drain.
    auto reclaimed = with_phase(record, vm_phase::draining);
    reclaimed.m_operation = make_operation_id(operation_kind::drain, record.m_vm.str());
    return reclaimed;
}

auto time_in_phase(phase_timers& timers, const vm_record& record, const time_point now) -> milliseconds
{
    const auto phase = record.m_phase == vm_phase::returning ? vm_phase::rebooting : record.m_phase;
    auto& entry =
        timers.m_entries.try_emplace(record.m_vm, phase_timers::entry{record.m_announcement, phase, now}).first->second;
    if (entry.m_announcement != record.m_announcement || entry.m_phase != phase) {
        entry = {record.m_announcement, phase, now};
    }
    return std::chrono::duration_cast<milliseconds>(now - entry.m_since);
}

} // namespace cicadalug
