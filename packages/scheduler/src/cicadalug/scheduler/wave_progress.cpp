#include <cicadalug/scheduler/wave_progress.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

auto add_claims(claimed_vms& claims, const wave_progress_state& wave) -> void
{
    for (const auto& [vm, cordon] : wave.m_cordoned) {
        claims.m_claimed.insert(vm);
    }
    for (const auto& [vm, since] : wave.m_down) {
        claims.m_claimed.insert(vm);
        if (wave.m_begun.contains(vm) && !wave.m_in_doubt.contains(vm)) {
            claims.m_in_maintenance.insert(vm);
        }
    }
}

auto change_request(wave_progress_state& wave, wave_request request, const time_point now) -> void
{
    wave.m_request = std::move(request);
    wave.m_began = now;
    wave.m_excluded.clear();
}

auto next_maintenance_end(const wave_progress_state& wave, const milliseconds maintenance_time, const time_point after)
    -> std::optional<time_point>
{
    std::optional<time_point> next;
    for (const auto& [vm, since] : wave.m_down) {
        const auto end = since + maintenance_time;
        if (end > after && (!next || end < *next)) {
            next = end;
        }
    }
    return next;
}

auto unanswered_vms(const wave_progress_state& wave) -> std::set<vm_id>
{
    auto vms = wave.m_commanded_before;
    for (const auto& [vm, since] : wave.m_down) {
        if (!wave.m_begun.contains(vm)) {
            vms.insert(vm);
        }
    }
    return vms;
}

auto is_command_due(const wave_progress_state& wave, const vm_id& vm, const vm_list& vms,
                    const std::set<vm_id>& reserved) -> bool
{
    if (wave.m_begun.contains(vm)) {
        return false;
    }
    if (!wave.m_in_doubt.contains(vm)) {
        return true;
    }
    const auto* listed = find_vm(vms.m_vms, vm);
    return listed != nullptr && listed->m_phase == vm_phase::in_maintenance && !reserved.contains(vm);
}

auto is_requested(const wave_progress_state& wave, const vm_id& id) -> bool
{
    const auto& vms = wave.m_request.m_vms;
    return std::find(vms.begin(), vms.end(), id) != vms.end();
}

auto is_settled(const wave_progress_state& wave, const vm_id& id) -> bool
{
    return wave.m_begun.contains(id) || wave.m_excluded.contains(id) || wave.m_removed.contains(id);
}

auto end_maintenance(wave_progress_state& wave, const vm_id& vm) -> void
{
    if (wave.m_begun.contains(vm)) {
        wave.m_down.erase(vm);
    }
}

auto is_wave_completed(const wave_progress_state& wave) -> bool
{
    return wave.m_down.empty() && std::all_of(wave.m_request.m_vms.begin(), wave.m_request.m_vms.end(),
                                              [&wave](const vm_id& vm) { return is_settled(wave, vm); });
}

auto has_open_vm(const wave_progress_state& wave, const vm_list& vms) -> bool
{
    return std::any_of(wave.m_request.m_vms.begin(), wave.m_request.m_vms.end(), [&](const vm_id& vm) {
        return !wave.m_begun.contains(vm) && !wave.m_excluded.contains(vm) && find_vm(vms.m_vms, vm) != nullptr;
    });
}

} // namespace cicadalug
