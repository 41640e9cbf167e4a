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

/** @brief What a wave needs to know of its zone. */
struct wave_inputs {
    /** @brief All VM records of the zone. */
    std::map<vm_id, const vm_record*> m_vms;
    std::set<vm_id> m_unhealthy;
    /** @brief VMs in phase serving that are charged for this wave already. */
    std::set<vm_id> m_charged;
    /** @brief Present load of each pool, as a fraction of its capacity. Pools with little load go first. */
    std::map<pool_id, double> m_load;
};

/** @brief Further VMs of each pool that budgets and demand allow to go out. Shared by all waves of a step. */
using pool_room = std::map<pool_id, int>;

/**
 * @brief Starts the account of a wave in one zone.
 * @param wave The wave.
 * @param vms All VM records of the zone.
 * @return Progress with each VM of the wave's pools open; finished if there is none.
 */
[[nodiscard]] auto start_wave(const wave& wave, const std::map<vm_id, const vm_record*>& vms) -> wave_progress;

/**
 * @brief Enters the outcomes that the VM records show into the account, and pauses the wave when failures are
 * correlated.
 * @param progress Account to change.
 * @param vms All VM records of the zone. A VM of the wave without a record is entered as gone; VMs
 * that an operator's drain or another wave's failure holds are entered as held when no other VM is open, since only an
 * operator ends that.
 */
auto absorb_outcomes(wave_progress& progress, const std::map<vm_id, const vm_record*>& vms) -> void;

/**
 * @brief Ends a pause after a time without failures. The wave then starts with one VM.
 * @param progress Account to change.
 * @param paused_since When this holder first saw the pause; set and cleared by the function.
 * @param now Present time.
 */
auto resume_wave(wave_progress& progress, std::optional<time_point>& paused_since, time_point now) -> void;

/**
 * @brief Chooses the VMs that go out next.
 * @param wave The wave.
 * @param progress Its account, with all outcomes of the records absorbed.
 * @param inputs Knowledge of the zone.
 * @param room Reduced by the chosen VMs.
 * @return VMs to charge and announce: those that are charged already, then racks with VMs of the wave out, then pools
 * with little load, rack by rack. Nothing while the wave is held by an operator, paused, or a rack of it fails.
 */
[[nodiscard]] auto choose_batch(const wave& wave, const wave_progress& progress, const wave_inputs& inputs,
                                pool_room& room) -> std::vector<vm_id>;

} // namespace cicadalug

#endif
