#include "wave_simulation.hpp"

#include <cicadalug/scheduler/wave_progress.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace cicadalug::test {

// Guards against a second command for a VM that has come up, where it would begin the maintenance without notice.
TEST(wave_progress, the_command_for_a_doubtful_vm_is_not_sent_once_it_is_up)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 1);
    auto wave = make_wave(simulation, 1);
    wave.m_recovered = true;
    auto& vm = simulation.m_vms.front();
    vm.m_phase = vm_phase::in_maintenance;
    EXPECT_TRUE(begin_next(simulation, wave).empty());
    vm.m_phase = vm_phase::up;
    EXPECT_FALSE(is_command_due(wave, vm.m_vm, simulation.listed_vms(), {}));
    simulation.run_for(simulation.m_maintenance_settings.m_maintenance_time + milliseconds{10});
    EXPECT_EQ(begin_next(simulation, wave).size(), 1U) << "the VM has not been maintained for the wave";
    EXPECT_TRUE(is_command_due(wave, vm.m_vm, simulation.listed_vms(), {}));
}

// Guards against a successor that takes any maintenance for that of its wave, or exceeds the wave's limit of VMs that
// are down: the response to the repeated command tells.
TEST(wave_progress, a_successor_learns_from_the_response_for_which_wave_a_vm_is_down)
{
    for (const auto result : {vm_command_result::accepted, vm_command_result::busy}) {
        scheduler_simulation simulation;
        simulation.begin_with("ledger", 2);
        auto wave = make_wave(simulation, 1);
        wave.m_recovered = true;
        auto& doubtful = simulation.m_vms.front();
        doubtful.m_phase = vm_phase::in_maintenance;
        EXPECT_TRUE(begin_next(simulation, wave).empty()) << "the VM counts as down";
        EXPECT_FALSE(is_command_due(wave, doubtful.m_vm, simulation.listed_vms(), {doubtful.m_vm}))
            << "the earlier decider has just sent a command for the VM";
        EXPECT_TRUE(is_command_due(wave, doubtful.m_vm, simulation.listed_vms(), {}));
        apply_maintenance_result(simulation.m_state, wave, doubtful.m_vm, doubtful.m_worker, result, simulation.now());
        const bool accepted = result == vm_command_result::accepted;
        EXPECT_EQ(wave.m_begun.contains(doubtful.m_vm), accepted);
        EXPECT_EQ(wave.m_down.contains(doubtful.m_vm), accepted);
        EXPECT_EQ(begin_next(simulation, wave).size(), accepted ? 0U : 1U);
        EXPECT_FALSE(wave.m_in_doubt.contains(doubtful.m_vm));
    }
}

// Guards against a wave whose limit is taken by a VM that is in maintenance for another wave.
TEST(wave_progress, a_vm_of_another_wave_takes_no_place_in_this_one)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    auto first = make_wave(simulation, 1);
    auto second = make_wave(simulation, 1);
    second.m_recovered = true;
    auto& vm = simulation.m_vms.front();
    first.m_begun.insert(vm.m_vm);
    first.m_down.emplace(vm.m_vm, simulation.now());
    vm.m_phase = vm_phase::in_maintenance;
    claimed_vms others;
    add_claims(others, first);
    const auto begun = plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, second,
                                        simulation.listed_vms(), {}, simulation.now(), others);
    EXPECT_EQ(begun, std::vector{simulation.m_vms.back().m_vm});
    EXPECT_FALSE(second.m_down.contains(vm.m_vm));
}

// Guards against two commands for a VM that two waves want at the same time.
TEST(wave_progress, a_vm_that_another_wave_has_cordoned_is_not_begun)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 1);
    auto first = make_wave(simulation, 1);
    ASSERT_EQ(begin_next(simulation, first).size(), 1U);
    auto second = make_wave(simulation, 1);
    claimed_vms others;
    add_claims(others, first);
    EXPECT_TRUE(plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, second, simulation.listed_vms(),
                                 {}, simulation.now(), others)
                    .empty());
    EXPECT_TRUE(second.m_cordoned.empty());
}

// Guards against a wave that is said to be completed without a VM that the platform's lists lacked for some time.
TEST(wave_progress, a_vm_that_is_listed_again_is_part_of_the_wave_again)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    auto wave = make_wave(simulation, 1);
    wave.m_request.m_vms.erase(wave.m_request.m_vms.begin());
    const auto missing = simulation.m_vms.back();
    simulation.m_vms.pop_back();
    EXPECT_TRUE(begin_next(simulation, wave).empty());
    EXPECT_FALSE(is_wave_completed(wave));
    simulation.run_for(simulation.m_maintenance_settings.m_missing_timeout);
    EXPECT_TRUE(begin_next(simulation, wave).empty());
    EXPECT_TRUE(is_wave_completed(wave));
    EXPECT_FALSE(has_open_vm(wave, simulation.listed_vms()));
    simulation.m_vms.push_back(missing);
    EXPECT_TRUE(has_open_vm(wave, simulation.listed_vms()));
    EXPECT_EQ(begin_next(simulation, wave).size(), 1U);
    EXPECT_FALSE(is_wave_completed(wave));
}

// Guards against VMs that stay cordoned, and VMs that are never maintained, after the operator has changed a wave.
TEST(wave_progress, a_changed_request_replaces_the_vms_of_the_wave)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    add_short_tasks(simulation, 2);
    auto wave = make_wave(simulation, 1);
    const auto [kept, dropped] = std::pair{simulation.m_vms.front().m_vm, simulation.m_vms.back().m_vm};
    wave.m_request.m_vms = {dropped};
    wave.m_excluded.insert(kept);
    EXPECT_TRUE(begin_next(simulation, wave).empty()) << "the short tasks have not ended";
    ASSERT_TRUE(wave.m_cordoned.contains(dropped));
    auto request = wave.m_request;
    request.m_vms = {kept};
    change_request(wave, request, simulation.now());
    EXPECT_TRUE(has_open_vm(wave, simulation.listed_vms()));
    EXPECT_TRUE(begin_next(simulation, wave).empty());
    EXPECT_FALSE(wave.m_cordoned.contains(dropped));
    EXPECT_TRUE(wave.m_cordoned.contains(kept));
    const auto cordoned = std::count_if(simulation.m_state.m_workers.begin(), simulation.m_state.m_workers.end(),
                                        [](const worker_slot& worker) { return worker.m_cordoned; });
    EXPECT_EQ(cordoned, 1);
}

// Guards against a wave that is said to be completed although a VM of it was in maintenance for another wave alone.
TEST(wave_progress, the_maintenance_of_another_wave_does_not_count)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 1);
    auto& vm = simulation.m_vms.front();
    const auto up_worker = vm.m_worker;
    auto wave = make_wave(simulation, 1);
    vm.m_phase = vm_phase::in_maintenance;
    EXPECT_TRUE(begin_next(simulation, wave).empty());
    EXPECT_TRUE(wave.m_down.empty()) << "this decider has sent no command for the wave";
    simulation.run_for(simulation.m_maintenance_settings.m_maintenance_time);
    vm.m_phase = vm_phase::up;
    vm.m_worker = up_worker;
    EXPECT_EQ(begin_next(simulation, wave).size(), 1U);
    EXPECT_FALSE(is_wave_completed(wave));
    apply_maintenance_result(simulation.m_state, wave, vm.m_vm, vm.m_worker, vm_command_result::accepted,
                             simulation.now());
    EXPECT_TRUE(wave.m_begun.contains(vm.m_vm));
}

} // namespace cicadalug::test
