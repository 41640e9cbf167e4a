#include <cicadalug/fleet/wave_control.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>

namespace cicadalug {

namespace {

/**
 * @brief Fraction of the operations of a window that may fail, and the number below which failures may be coincidental.
 */
constexpr double max_failed_fraction = 0.3;
constexpr int min_failures = 2;
/**
 * @brief Number of operations after which the pause rule starts a new window, so that old successes do not hide
 * failures.
 */
constexpr int window_size = 10;
/** @brief Fraction of failed VMs of a rack at which the rack counts as failing. */
constexpr double rack_failure_fraction = 0.5;
/** @brief Time for the platform to repair a common cause before the wave resumes with one VM. */
constexpr seconds resume_delay{60};
/** @brief Batch cap from which the next success removes the cap. */
constexpr int max_batch_cap = 64;

[[nodiscard]] auto is_failure(const operation_outcome outcome) noexcept -> bool
{
    return outcome == operation_outcome::not_drained || outcome == operation_outcome::not_returned;
}

auto count_outcome(wave_progress& progress, const operation_outcome outcome) -> void
{
    if (progress.m_ended >= window_size) {
        progress.m_ended = 0;
        progress.m_failed = 0;
    }
    ++progress.m_ended;
    if (!is_failure(outcome)) {
        if (progress.m_batch_cap > 0) {
            progress.m_batch_cap = progress.m_batch_cap >= max_batch_cap ? 0 : progress.m_batch_cap * 2;
        }
        return;
    }
    ++progress.m_failed;
    // The single VM that is tried after a pause is representative of the others, so its failure pauses the wave again.
    const auto is_trial = progress.m_batch_cap == 1;
    if (is_trial || (progress.m_failed >= min_failures && progress.m_failed > max_failed_fraction * progress.m_ended)) {
        progress.m_paused = true;
    }
}

/** @brief Returns whether a rack with VMs of the wave counts as failing because of unplanned failures. */
[[nodiscard]] auto has_failing_rack(const wave_progress& progress, const wave_inputs& inputs) -> bool
{
    struct count {
        int m_total{0};
        int m_failed{0};
        bool m_in_wave{false};
    };
    std::map<rack_id, count> racks;
    for (const auto& [id, record] : inputs.m_vms) {
        auto& rack = racks[record->m_rack];
        ++rack.m_total;
        // A VM that an operation, such as the wave itself, took out of service is expected to be down.
        if (record->m_operation.empty() && inputs.m_unhealthy.contains(id)) {
            ++rack.m_failed;
        }
        rack.m_in_wave = rack.m_in_wave || progress.m_vms.contains(id);
    }
    return std::any_of(racks.begin(), racks.end(), [](const auto& item) {
        const auto& rack = item.second;
        return rack.m_in_wave && rack.m_failed >= min_failures && rack.m_failed >= rack_failure_fraction * rack.m_total;
    });
}

/** @brief Finishes the wave when the only open VMs are those that only an operator can release. */
auto record_held_outcomes(wave_progress& progress, const std::map<vm_id, const vm_record*>& vms) -> void
{
    const auto is_pending = [&vms](const auto& vm) {
        if (vm.second != operation_outcome::none) {
            return false;
        }
        const auto phase = vms.at(vm.first)->m_phase;
        return phase != vm_phase::draining && phase != vm_phase::set_aside;
    };
    if (std::any_of(progress.m_vms.begin(), progress.m_vms.end(), is_pending)) {
        return;
    }
    for (auto& [id, outcome] : progress.m_vms) {
        outcome = outcome == operation_outcome::none ? operation_outcome::held : outcome;
    }
    progress.m_finished = true;
}

} // namespace

auto start_wave(const wave& wave, const std::map<vm_id, const vm_record*>& vms) -> wave_progress
{
    wave_progress progress;
    progress.m_wave = wave.m_id;
    for (const auto& [id, record] : vms) {
        if (std::find(wave.m_pools.begin(), wave.m_pools.end(), record->m_pool) != wave.m_pools.end()) {
            progress.m_vms.emplace(id, operation_outcome::none);
        }
    }
    progress.m_finished = progress.m_vms.empty();
    return progress;
}

auto record_outcomes(wave_progress& progress, const std::map<vm_id, const vm_record*>& vms) -> void
{
    const auto operation = wave_operation_id(progress);
    for (auto& [id, outcome] : progress.m_vms) {
        if (outcome != operation_outcome::none) {
            continue;
        }
        const auto found = vms.find(id);
        if (found == vms.end()) {
            outcome = operation_outcome::gone;
        }
        else if (found->second->m_last_operation == operation &&
                 found->second->m_last_outcome != operation_outcome::withdrawn) {
            outcome = found->second->m_last_outcome;
            count_outcome(progress, outcome);
        }
    }
    record_held_outcomes(progress, vms);
}

auto resume_wave(wave_progress& progress, std::optional<time_point>& paused_since, const time_point now) -> void
{
    if (!progress.m_paused) {
        paused_since.reset();
        return;
    }
    if (!paused_since) {
        paused_since = now;
    }
    if (now - *paused_since >= resume_delay) {
        progress.m_paused = false;
        progress.m_batch_cap = 1;
        progress.m_ended = 0;
        progress.m_failed = 0;
        paused_since.reset();
    }
}

auto choose_batch(const wave& wave, const wave_progress& progress, const wave_inputs& inputs, pool_headroom& headroom)
    -> std::vector<vm_id>
{
    if (wave.m_paused || progress.m_paused || progress.m_finished || has_failing_rack(progress, inputs)) {
        return {};
    }
    const auto operation = wave_operation_id(progress);
    auto remaining = std::numeric_limits<int>::max();
    for (const auto limit : {wave.m_batch_limit, progress.m_batch_cap}) {
        remaining = limit > 0 ? std::min(remaining, limit) : remaining;
    }
    std::set<rack_id> open_racks;
    std::vector<const vm_record*> candidates;
    for (const auto& [id, outcome] : progress.m_vms) {
        const auto found = inputs.m_vms.find(id);
        if (found == inputs.m_vms.end()) {
            continue;
        }
        const auto* record = found->second;
        if (record->m_operation == operation && record->m_phase != vm_phase::set_aside) {
            --remaining;
            open_racks.insert(record->m_rack);
        }
        else if (outcome == operation_outcome::none && record->m_operation.empty()) {
            candidates.push_back(record);
        }
    }
    const auto rank = [&](const vm_record* record) {
        const auto load = inputs.m_load.find(record->m_pool);
        return std::tuple{!inputs.m_charged.contains(record->m_vm), !open_racks.contains(record->m_rack),
                          load == inputs.m_load.end() ? 0.0 : load->second, std::cref(record->m_rack),
                          std::cref(record->m_vm)};
    };
    std::sort(candidates.begin(), candidates.end(),
              [&rank](const auto* left, const auto* right) { return rank(left) < rank(right); });
    std::vector<vm_id> chosen;
    for (const auto* record : candidates) {
        if (remaining <= 0) {
            break;
        }
        auto& free = headroom[record->m_pool];
        const auto uses_headroom =
            !inputs.m_charged.contains(record->m_vm) && !inputs.m_unhealthy.contains(record->m_vm);
        if (uses_headroom && free <= 0) {
            continue;
        }
        free -= uses_headroom ? 1 : 0;
        --remaining;
        chosen.push_back(record->m_vm);
    }
    return chosen;
}

} // namespace cicadalug
