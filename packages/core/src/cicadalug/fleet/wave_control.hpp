#ifndef CICADALUG_FLEET_WAVE_CONTROL_HPP
#define CICADALUG_FLEET_WAVE_CONTROL_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/fleet/wave_progress.hpp>
#include <cicadalug/model/wave.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cicadalug {

/** @brief State of the zone on which the batches of a wave depend. */
struct wave_inputs {
    /** @brief All VM records of the zone. */
    std::map<vm_id, const vm_record*> m_vms;
    std::set<vm_id> m_unhealthy;
    /** @brief VMs in phase serving that are charged for this wave already. */
    std::set<vm_id> m_charged;
    /** @brief Current load of each pool as a fraction of its capacity. Pools with a low load are maintained first. */
    std::map<pool_id, double> m_load;
};

/**
 * @brief Number of further VMs of each pool that budgets and demand allow to take out of service. Shared by all waves
 * of a control step.
 */
using pool_headroom = std::map<pool_id, int>;

/**
 * @brief Creates the progress of a wave in one zone.
 * @param wave The wave.
 * @param vms All VM records of the zone.
 * @return Progress in which each VM of the wave's pools is open; finished if there is no such VM.
 */
[[nodiscard]] auto start_wave(const wave& wave, const std::map<vm_id, const vm_record*>& vms) -> wave_progress;

/**
 * @brief Records the outcomes contained in the VM records, and pauses the wave if failures are correlated.
 * @param progress Progress to update.
 * @param vms All VM records of the zone. A VM of the wave without a record is recorded as gone; VMs that are held by an
 * operator's drain or by a failure of another wave are recorded as held when no other VM is open, because only an
 * operator can release them.
 */
auto record_outcomes(wave_progress& progress, const std::map<vm_id, const vm_record*>& vms) -> void;

/**
 * @brief Ends a pause after a delay. The wave then resumes with one VM.
 * @param progress Progress to update.
 * @param paused_since Time when this holder first saw the pause; set and cleared by the function.
 * @param now Current time.
 */
auto resume_wave(wave_progress& progress, std::optional<time_point>& paused_since, time_point now) -> void;

/**
 * @brief Selects the VMs to take out of service next.
 * @param wave The wave.
 * @param progress Progress of the wave, updated by record_outcomes().
 * @param inputs State of the zone.
 * @param headroom Reduced by the selected VMs.
 * @return VMs to charge and announce: first VMs that are already charged, then racks with VMs of the wave out of
 * service, then pools with a low load, rack by rack. Empty while the wave is held by an operator or paused, or while
 * one of its racks is failing.
 */
[[nodiscard]] auto choose_batch(const wave& wave, const wave_progress& progress, const wave_inputs& inputs,
                                pool_headroom& headroom) -> std::vector<vm_id>;

} // namespace cicadalug

#endif
