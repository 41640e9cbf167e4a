#ifndef CICADALUG_SCHEDULER_TEST_WAVE_SIMULATION_HPP
#define CICADALUG_SCHEDULER_TEST_WAVE_SIMULATION_HPP

#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/maintenance.hpp>

#include <cstdint>
#include <vector>

namespace cicadalug::test {

/** @brief Makes a wave of all VMs that begins now. */
[[nodiscard]] inline auto make_wave(const scheduler_simulation& simulation, const std::int64_t concurrency)
    -> wave_progress_state
{
    wave_progress_state wave;
    wave.m_request = {1, {}, milliseconds{20'000}, concurrency};
    for (const auto& vm : simulation.m_vms) {
        wave.m_request.m_vms.push_back(vm.m_vm);
    }
    wave.m_began = simulation.now();
    return wave;
}

/** @brief Plans once by the current list. @return The VMs whose maintenance begins. */
[[nodiscard]] inline auto begin_next(scheduler_simulation& simulation, wave_progress_state& wave) -> std::vector<vm_id>
{
    return plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, simulation.listed_vms(), {},
                            simulation.now());
}

/** @brief Fills each worker with a short task that a later plan has to wait for. */
inline auto add_short_tasks(scheduler_simulation& simulation, const std::int64_t count) -> void
{
    auto job = make_job("ledger", count, 1'000, milliseconds{2'500});
    job.m_spec.m_steps.front().m_max_per_worker = 1;
    static_cast<void>(simulation.submit(job));
    simulation.run_for(milliseconds{50});
}

} // namespace cicadalug::test

#endif
