#include "wave_simulation.hpp"

#include <cicadalug/scheduler/maintenance.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace cicadalug::test {

namespace {

/** @brief Carries out a wave: the workers of VMs that are taken down crash, and start again under another id. */
class wave_simulation {
public:
    wave_simulation(scheduler_simulation& simulation, wave_progress_state& wave)
        : m_simulation{simulation}, m_wave{wave}
    {
    }

    auto run_for(const milliseconds time) -> void
    {
        for (const auto end = m_simulation.now() + time; m_simulation.now() < end;) {
            update_vms();
            for (const auto& id : plan_maintenance(m_simulation.m_state, m_simulation.m_maintenance_settings, m_wave,
                                                   m_simulation.listed_vms(), {}, m_simulation.now())) {
                begin(id);
            }
            m_simulation.run_for(milliseconds{100});
        }
    }

private:
    auto begin(const vm_id& id) -> void
    {
        const auto vm = std::find_if(m_simulation.m_vms.begin(), m_simulation.m_vms.end(),
                                     [&id](const vm_status& listed) { return listed.m_vm == id; });
        vm->m_phase = vm_phase::in_maintenance;
        m_simulation.m_restart_time = m_simulation.m_maintenance_settings.m_maintenance_time;
        m_simulation.crash(vm->m_worker);
        apply_maintenance_result(m_simulation.m_state, m_wave, id, vm->m_worker, vm_command_result::accepted,
                                 m_simulation.now());
        end_runs_of_worker(m_simulation.m_state, find_worker(m_simulation.m_state, vm->m_worker), m_simulation.now());
    }

    /** @brief Lists the VMs as up whose new worker is registered. */
    auto update_vms() -> void
    {
        for (const auto& worker : m_simulation.m_state.m_workers) {
            for (auto& vm : m_simulation.m_vms) {
                if (worker.m_registered && worker.m_entry.m_vm == vm.m_vm && worker.m_entry.m_id != vm.m_worker) {
                    vm.m_worker = worker.m_entry.m_id;
                    vm.m_phase = vm_phase::up;
                }
            }
        }
    }

    scheduler_simulation& m_simulation;
    wave_progress_state& m_wave;
};

} // namespace

// Guards against a long-running task that never starts, as all workers of its pool are cordoned and none of them may be
// taken down before it has started.
TEST(maintenance, a_task_whose_worker_is_lost_in_a_wave_starts_on_another_one)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 4);
    const auto job = simulation.submit(make_long_running_job("ledger", 4, 1));
    simulation.run_for(milliseconds{200});
    std::int64_t lost{0};
    while (find_task(simulation.m_state, {job, 0, 0, lost})->m_worker != 3) {
        ++lost;
    }
    simulation.m_restart_time = milliseconds{1'000'000};
    simulation.crash(worker_id{"w4"});
    simulation.run_for(milliseconds{1'500});
    add_short_tasks(simulation, 3);
    auto wave = make_wave(simulation, 3);
    wave.m_request.m_vms.pop_back();
    wave.m_request.m_duration = milliseconds{1'000};
    wave_simulation maintained{simulation, wave};
    for (int tick = 0; tick < 30 && find_task(simulation.m_state, {job, 0, 0, lost})->m_worker == 3; ++tick) {
        maintained.run_for(milliseconds{100});
    }
    ASSERT_TRUE(wave.m_begun.empty()) << "the short tasks have not ended";
    maintained.run_for(milliseconds{200});
    EXPECT_EQ(simulation.starts_of({job, 0, 0, lost}), 2);
    maintained.run_for(milliseconds{30'000});
    EXPECT_TRUE(is_wave_completed(wave));
    for (std::int64_t index = 0; index < 4; ++index) {
        EXPECT_EQ(find_task(simulation.m_state, {job, 0, 0, index})->m_percent, 100);
    }
}

// Guards against a long-running task that never starts, as the worker that its wave has left open has no room for it.
TEST(maintenance, a_cordoned_worker_is_released_for_a_task_that_has_room_on_no_other)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 4);
    const auto job = simulation.submit(make_long_running_job("ledger", 4, 1));
    simulation.run_for(milliseconds{200});
    simulation.set_capacity(worker_id{"w1"}, 3'000);
    simulation.set_capacity(worker_id{"w2"}, 3'000);
    std::int64_t lost{0};
    while (find_task(simulation.m_state, {job, 0, 0, lost})->m_worker != 3) {
        ++lost;
    }
    simulation.m_restart_time = milliseconds{1'000'000};
    simulation.crash(worker_id{"w4"});
    simulation.run_for(milliseconds{1'500});
    add_short_tasks(simulation, 3);
    auto wave = make_wave(simulation, 1);
    wave.m_request.m_vms = {simulation.m_vms[2].m_vm};
    wave_simulation maintained{simulation, wave};
    for (int tick = 0; tick < 30 && find_task(simulation.m_state, {job, 0, 0, lost})->m_worker == 3; ++tick) {
        maintained.run_for(milliseconds{100});
    }
    ASSERT_TRUE(wave.m_begun.empty()) << "the short tasks have not ended";
    maintained.run_for(milliseconds{300});
    EXPECT_EQ(simulation.starts_of({job, 0, 0, lost}), 2);
    EXPECT_EQ(find_task(simulation.m_state, {job, 0, 0, lost})->m_worker, 2);
}

// Guards against maintenance that makes two tasks of a step unavailable when its budget allows only one.
TEST(maintenance, a_second_vm_of_one_step_waits_until_the_first_task_is_available)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 4);
    static_cast<void>(simulation.submit(make_long_running_job("ledger", 4, 1)));
    simulation.run_for(milliseconds{200});
    auto wave = make_wave(simulation, 4);
    wave.m_request.m_duration = milliseconds{1'000};
    const auto first = plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave,
                                        simulation.listed_vms(), {}, simulation.now());
    EXPECT_EQ(first.size(), 1U);
    // A report that was sent before the command still shows the task as available.
    simulation.run_for(milliseconds{10});
    const auto second = plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave,
                                         simulation.listed_vms(), {}, simulation.now());
    EXPECT_TRUE(second.empty());
}

// Guards against more VMs down at once than the operator allows.
TEST(maintenance, does_not_exceed_the_concurrency_of_the_wave)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 6);
    auto wave = make_wave(simulation, 2);
    wave.m_request.m_duration = milliseconds{500};
    const auto begun = plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave,
                                        simulation.listed_vms(), {}, simulation.now());
    EXPECT_EQ(begun.size(), 2U);
    EXPECT_FALSE(is_wave_completed(wave));
}

// Guards against a VM that is never maintained, and whose worker gets no work for good, as one list of several pages
// lacked it.
TEST(maintenance, a_vm_that_is_missing_in_one_list_is_still_maintained)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    const auto missing = simulation.m_vms.front();
    auto wave = make_wave(simulation, 2);
    wave.m_request.m_vms = {missing.m_vm};
    add_short_tasks(simulation, 2);
    const auto plan = [&](const vm_list& list) {
        return plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, list, {},
                                simulation.now());
    };
    EXPECT_TRUE(plan(simulation.listed_vms()).empty());
    ASSERT_TRUE(simulation.m_state.m_workers[0].m_cordoned);
    auto others = simulation.listed_vms();
    others.m_vms.erase(others.m_vms.begin());
    EXPECT_TRUE(plan(others).empty());
    EXPECT_FALSE(simulation.m_state.m_workers[0].m_cordoned);
    EXPECT_FALSE(is_wave_completed(wave));
    simulation.run_for(milliseconds{3'000});
    EXPECT_EQ(plan(simulation.listed_vms()), std::vector{missing.m_vm});
}

// Guards against a wave that waits for a VM that has been removed.
TEST(maintenance, a_vm_that_is_missing_for_long_is_gone)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    auto wave = make_wave(simulation, 1);
    wave.m_request.m_vms = {simulation.m_vms.front().m_vm};
    simulation.m_vms.erase(simulation.m_vms.begin());
    for (int tick = 0; tick < 31; ++tick) {
        EXPECT_FALSE(is_wave_completed(wave));
        simulation.run_for(milliseconds{100});
        EXPECT_TRUE(plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave,
                                     simulation.listed_vms(), {}, simulation.now())
                        .empty());
    }
    EXPECT_TRUE(is_wave_completed(wave));
}

// Guards against a wave that counts as completed because the VMs could not be listed yet.
TEST(maintenance, a_wave_makes_no_progress_before_the_vms_are_listed)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    auto wave = make_wave(simulation, 2);
    const auto begun =
        plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, {}, {}, simulation.now());
    EXPECT_TRUE(begun.empty());
    EXPECT_TRUE(wave.m_begun.empty());
    EXPECT_FALSE(is_wave_completed(wave));
}

// Guards against decisions on a list that has not been renewed, as the interface to the VMs is unavailable.
TEST(maintenance, no_vm_is_taken_down_on_an_outdated_list)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    auto wave = make_wave(simulation, 2);
    const auto vms = simulation.listed_vms();
    const auto plan = [&](const time_point now) {
        return plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, vms, {}, now);
    };
    EXPECT_TRUE(plan(simulation.now() + max_vm_list_age + milliseconds{1}).empty());
    EXPECT_FALSE(plan(simulation.now() + max_vm_list_age).empty());
}

// Guards against workers that get no work as long as the VMs cannot be listed, and against work on a VM for which a
// command was sent.
TEST(maintenance, only_workers_without_a_command_are_released_while_the_vms_cannot_be_listed)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 3);
    auto job = make_job("ledger", 1, 30'000, milliseconds{4'000});
    static_cast<void>(simulation.submit(job));
    simulation.run_for(milliseconds{50});
    auto wave = make_wave(simulation, 2);
    wave.m_request.m_duration = milliseconds{500};
    const auto list = simulation.listed_vms();
    const auto plan = [&](const time_point now) {
        return plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, list, {}, now);
    };
    wave.m_request.m_vms = {simulation.m_vms[0].m_vm, simulation.m_vms[1].m_vm};
    ASSERT_EQ(plan(simulation.now()).size(), 1U);
    ASSERT_EQ(wave.m_cordoned.size(), 2U);
    const auto cordoned = [&] {
        return std::count_if(simulation.m_state.m_workers.begin(), simulation.m_state.m_workers.end(),
                             [](const worker_slot& worker) { return worker.m_cordoned; });
    };
    EXPECT_EQ(cordoned(), 2);
    EXPECT_TRUE(plan(simulation.now() + max_vm_list_age + milliseconds{1}).empty());
    EXPECT_EQ(cordoned(), 1);
    EXPECT_EQ(wave.m_down.size(), 1U);
}

// Guards against a wave that counts as completed although its last VM is still down, as the list is older than that.
TEST(maintenance, a_vm_is_not_back_by_a_list_requested_during_its_maintenance)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 1);
    const auto& vm = simulation.m_vms.front().m_vm;
    auto wave = make_wave(simulation, 1);
    wave.m_begun.insert(vm);
    wave.m_down.emplace(vm, simulation.now());
    const auto down_until = simulation.now() + simulation.m_maintenance_settings.m_maintenance_time;
    const auto plan = [&](const time_point requested) {
        static_cast<void>(plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave,
                                           {simulation.m_vms, requested}, {}, down_until + milliseconds{1}));
        return is_wave_completed(wave);
    };
    EXPECT_FALSE(plan(down_until - milliseconds{500}));
    EXPECT_TRUE(plan(down_until + milliseconds{1}));
}

// Guards against a command that is sent long after it was decided, when another task of a step is unavailable.
TEST(maintenance, a_withdrawn_command_is_decided_again_by_the_current_state)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    const auto job = simulation.submit(make_long_running_job("ledger", 2, 1));
    simulation.run_for(milliseconds{200});
    auto wave = make_wave(simulation, 2);
    wave.m_request.m_duration = milliseconds{1'000};
    const auto plan = [&] {
        return plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, simulation.listed_vms(),
                                {}, simulation.now());
    };
    const auto first = plan();
    ASSERT_EQ(first.size(), 1U);
    const auto worker = find_vm(simulation.listed_vms().m_vms, first.front())->m_worker;
    withdraw_maintenance(simulation.m_state, wave, first.front(), worker);
    simulation.run_for(milliseconds{20});
    EXPECT_TRUE(wave.m_down.empty());
    for (std::int64_t index = 0; index < 2; ++index) {
        auto* task = find_task(simulation.m_state, {job, 0, 0, index});
        EXPECT_EQ(task->m_percent, 100) << "no task counts as unavailable";
        if (task->m_worker != find_worker(simulation.m_state, worker)) {
            task->m_percent = 0;
        }
    }
    for (const auto& vm : plan()) {
        EXPECT_NE(vm, first.front()) << "the other task of the step is unavailable";
    }
}

// Guards against a worker that gets no work for good, and whose tasks count as unavailable, after the platform has
// rejected the maintenance of its VM.
TEST(maintenance, a_vm_that_is_not_part_of_the_wave_gets_work_again)
{
    for (const auto result : {vm_command_result::not_in_wave, vm_command_result::no_such_vm}) {
        scheduler_simulation simulation;
        simulation.begin_with("ledger", 1);
        const auto job = simulation.submit(make_long_running_job("ledger", 1, 1));
        simulation.run_for(milliseconds{200});
        auto wave = make_wave(simulation, 1);
        const auto plan = [&] {
            return plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave,
                                    simulation.listed_vms(), {}, simulation.now());
        };
        const auto begun = plan();
        ASSERT_EQ(begun.size(), 1U);
        apply_maintenance_result(simulation.m_state, wave, begun.front(), worker_id{"w1"}, result, simulation.now());
        EXPECT_TRUE(plan().empty());
        EXPECT_TRUE(is_wave_completed(wave)) << "the wave does not wait for the VM";
        simulation.run_for(milliseconds{100});
        EXPECT_EQ(find_task(simulation.m_state, {job, 0, 0, 0})->m_percent, 100);
        const auto next = simulation.submit(make_long_running_job("ledger", 1, 1));
        simulation.run_for(milliseconds{100});
        EXPECT_EQ(simulation.starts_of({next, 0, 0, 0}), 1);
    }
}

// Guards against a command for a VM for which another decider has just sent one.
TEST(maintenance, skips_vms_with_a_recent_command_of_another_decider)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    auto wave = make_wave(simulation, 2);
    wave.m_request.m_duration = milliseconds{500};
    const std::set<vm_id> reserved{simulation.m_vms[0].m_vm, simulation.m_vms[1].m_vm};
    EXPECT_TRUE(plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, simulation.listed_vms(),
                                 reserved, simulation.now())
                    .empty());
}

// Guards against a wave that never ends because several tasks of one step share a VM.
TEST(maintenance, a_worker_with_too_many_tasks_of_a_step_is_evacuated)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 1);
    static_cast<void>(simulation.submit(make_long_running_job("ledger", 2, 1)));
    simulation.run_for(milliseconds{200});
    ASSERT_EQ(simulation.m_state.m_workers[0].m_runs.size(), 2U);
    auto wave = make_wave(simulation, 1);
    simulation.add_vms("ledger", 2);
    simulation.run_for(milliseconds{50});
    std::size_t begun{0};
    for (int tick = 0; tick < 50 && begun == 0; ++tick) {
        begun = plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, simulation.listed_vms(),
                                 {}, simulation.now())
                    .size();
        simulation.run_for(milliseconds{100});
    }
    EXPECT_EQ(begun, 1U);
}

// Guards against tasks that are stopped again and again, as the only worker with room for them is the one that they
// were stopped on.
TEST(maintenance, no_task_is_stopped_without_a_place_on_another_worker)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    simulation.set_capacity(worker_id{"w2"}, 1'000);
    static_cast<void>(simulation.submit(make_long_running_job("ledger", 2, 1)));
    simulation.run_for(milliseconds{200});
    ASSERT_EQ(simulation.m_state.m_workers[0].m_runs.size(), 2U);
    auto wave = make_wave(simulation, 1);
    wave_simulation maintained{simulation, wave};
    maintained.run_for(milliseconds{10'000});
    EXPECT_EQ(simulation.total_starts(), 2);
    simulation.set_capacity(simulation.m_vms[1].m_worker, 32'000);
    maintained.run_for(milliseconds{20'000});
    EXPECT_TRUE(is_wave_completed(wave)) << "the other worker has room now";
}

// Guards against more VMs down at once than the operator allows, because another decider took some of them down.
TEST(maintenance, vms_with_commands_of_the_last_decider_count_as_down)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 6);
    auto wave = make_wave(simulation, 3);
    wave.m_recovered = true;
    wave.m_request.m_duration = milliseconds{500};
    simulation.m_vms[0].m_phase = vm_phase::in_maintenance;
    const std::set<vm_id> reserved{simulation.m_vms[1].m_vm};
    EXPECT_EQ(plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, simulation.listed_vms(),
                               reserved, simulation.now())
                  .size(),
              1U);
    EXPECT_TRUE(wave.m_down.contains(simulation.m_vms[0].m_vm));
    EXPECT_FALSE(wave.m_begun.contains(simulation.m_vms[0].m_vm)) << "the list does not show for which wave it is down";
}

// Guards against more VMs down at once than the operator allows, because a command of the last decider is carried out
// late, after its VM has been left alone for the handover interval.
TEST(maintenance, a_vm_with_an_unanswered_command_of_the_last_decider_goes_first)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 3);
    auto wave = make_wave(simulation, 1);
    wave.m_recovered = true;
    wave.m_read = simulation.now();
    const auto commanded = simulation.m_vms[1].m_vm;
    wave.m_commanded_before.insert(commanded);
    EXPECT_TRUE(plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, simulation.listed_vms(),
                                 {commanded}, simulation.now())
                    .empty());
    EXPECT_EQ(begin_next(simulation, wave), std::vector{commanded});
    EXPECT_EQ(unanswered_vms(wave), std::set{commanded});
    apply_maintenance_result(simulation.m_state, wave, commanded, simulation.m_vms[1].m_worker,
                             vm_command_result::accepted, simulation.now());
    EXPECT_TRUE(unanswered_vms(wave).empty());
    EXPECT_TRUE(begin_next(simulation, wave).empty());
}

// Guards against a wave that waits for good for a command that can no longer be carried out.
TEST(maintenance, an_unanswered_command_of_the_last_decider_takes_a_place_for_a_limited_time)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    auto wave = make_wave(simulation, 1);
    wave.m_recovered = true;
    wave.m_read = simulation.now();
    const auto commanded = simulation.m_vms[1].m_vm;
    wave.m_commanded_before.insert(commanded);
    simulation.m_vms[1].m_phase = vm_phase::moving;
    EXPECT_TRUE(begin_next(simulation, wave).empty());
    simulation.run_for(simulation.m_maintenance_settings.m_late_command_time + milliseconds{10});
    EXPECT_EQ(begin_next(simulation, wave), std::vector{simulation.m_vms[0].m_vm});
}

// Guards against a wave that ends late because its next VM drains only after the last one has come up.
TEST(maintenance, the_next_vm_drains_while_as_many_as_allowed_are_down)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 4);
    auto wave = make_wave(simulation, 1);
    wave.m_request.m_duration = milliseconds{8'000};
    EXPECT_EQ(begin_next(simulation, wave).size(), 1U);
    EXPECT_EQ(wave.m_down.size(), 1U);
    EXPECT_GT(wave.m_cordoned.size(), 1U);
    const auto down = wave.m_down.begin()->first;
    apply_maintenance_result(simulation.m_state, wave, down, worker_id{"w1"}, vm_command_result::accepted,
                             simulation.now());
    EXPECT_EQ(next_maintenance_end(wave, simulation.m_maintenance_settings.m_maintenance_time, simulation.now()),
              simulation.now() + simulation.m_maintenance_settings.m_maintenance_time);
    EXPECT_TRUE(begin_next(simulation, wave).empty());
}

// Guards against a wave with time to spare that takes more VMs out of service than it needs.
TEST(maintenance, no_further_vm_drains_in_a_wave_with_time_to_spare)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 4);
    auto wave = make_wave(simulation, 2);
    wave.m_request.m_duration = milliseconds{60'000};
    EXPECT_EQ(begin_next(simulation, wave).size(), 1U);
    EXPECT_EQ(wave.m_cordoned.size(), 1U);
}

// Guards against taking down a worker whose runs are unknown because it has not reported since a takeover.
TEST(maintenance, a_worker_that_has_not_reported_is_not_taken_down)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 2);
    static_cast<void>(simulation.submit(make_long_running_job("ledger", 2, 1)));
    simulation.run_for(milliseconds{100});
    simulation.worker("w1").m_reachable = false;
    simulation.take_over();
    auto wave = make_wave(simulation, 2);
    wave.m_request.m_duration = milliseconds{500};
    for (int tick = 0; tick < 20; ++tick) {
        simulation.run_for(milliseconds{100});
        for (const auto& vm : plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave,
                                               simulation.listed_vms(), {}, simulation.now())) {
            EXPECT_NE(vm, simulation.m_vms[0].m_vm);
        }
    }
}

// Guards against ending the runs of a worker in the table because a repeated command for completed maintenance is
// accepted.
TEST(maintenance, a_worker_on_a_vm_that_is_up_has_not_terminated)
{
    const time_point accepted{milliseconds{10'000}};
    vm_list list{{{vm_id{"vm1"}, service_id{"ledger"}, vm_phase::up, {}, worker_id{"w1"}, {}}}, accepted};
    EXPECT_EQ(worker_presence_after(list, vm_id{"vm1"}, worker_id{"w1"}, accepted), worker_presence::up);
    EXPECT_EQ(worker_presence_after(list, vm_id{"vm1"}, worker_id{"w0"}, accepted), worker_presence::ended);
    list.m_vms.front().m_phase = vm_phase::in_maintenance;
    EXPECT_EQ(worker_presence_after(list, vm_id{"vm1"}, worker_id{"w1"}, accepted), worker_presence::ended);
}

// Guards against taking a worker that a command has ended as still up, since the VMs could not be listed after it.
TEST(maintenance, a_list_requested_before_a_command_does_not_show_its_effect)
{
    const time_point accepted{milliseconds{10'000}};
    const vm_list list{{{vm_id{"vm1"}, service_id{"ledger"}, vm_phase::up, {}, worker_id{"w1"}, {}}},
                       accepted - milliseconds{1}};
    EXPECT_EQ(worker_presence_after(list, vm_id{"vm1"}, worker_id{"w1"}, accepted), worker_presence::unknown);
    EXPECT_EQ(worker_presence_after(list, vm_id{"vm1"}, worker_id{"w0"}, accepted), worker_presence::unknown);
}

// Guards against a failure that is lost with its worker and therefore not counted by the next decider.
TEST(maintenance, a_worker_with_unstored_ended_runs_is_not_taken_down)
{
    scheduler_simulation simulation;
    simulation.begin_with("ledger", 1);
    auto wave = make_wave(simulation, 1);
    simulation.m_state.m_workers[0].m_last_end = 3;
    simulation.m_state.m_workers[0].m_acknowledged_end = 2;
    EXPECT_TRUE(plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, simulation.listed_vms(),
                                 {}, simulation.now())
                    .empty());
    simulation.m_state.m_workers[0].m_acknowledged_end = 3;
    EXPECT_EQ(plan_maintenance(simulation.m_state, simulation.m_maintenance_settings, wave, simulation.listed_vms(), {},
                               simulation.now())
                  .size(),
              1U);
}

} // namespace cicadalug::test
