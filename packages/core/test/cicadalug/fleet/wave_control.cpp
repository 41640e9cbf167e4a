#include <cicadalug/fleet/wave_control.hpp>

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace cicadalug;

struct wave_fixture {
    wave m_wave{wave_id{"w"}, {pool_id{"p"}}};
    std::map<vm_id, vm_record> m_records;
    wave_inputs m_inputs;
    wave_progress m_progress;

    explicit wave_fixture(const int count)
    {
        for (int number = 0; number < count; ++number) {
            vm_record record;
            record.m_vm = vm_id{"vm-" + std::to_string(number)};
            record.m_rack = rack_id{"r" + std::to_string(number / 4)};
            record.m_pool = pool_id{"p"};
            m_records.emplace(record.m_vm, record);
        }
        for (const auto& [id, record] : m_records) {
            m_inputs.m_vms.emplace(id, &record);
        }
        m_progress = start_wave(m_wave, m_inputs.m_vms);
    }

    auto end(const std::string& vm, const operation_outcome outcome) -> void
    {
        auto& record = m_records[vm_id{vm}];
        record.m_last_operation = wave_operation_id(m_progress);
        record.m_last_outcome = outcome;
        record_outcomes(m_progress, m_inputs.m_vms);
    }

    [[nodiscard]] auto choose(const int free) const -> std::size_t
    {
        pool_headroom headroom{{pool_id{"p"}, free}};
        return choose_batch(m_wave, m_progress, m_inputs, headroom).size();
    }
};

// Guards against a wave that continues while the VMs that it reboots fail, and against a wave that stays paused
// forever.
TEST(wave_control, pauses_on_correlated_failures_and_resumes_with_one_vm)
{
    wave_fixture fixture{8};
    fixture.end("vm-0", operation_outcome::done);
    fixture.end("vm-1", operation_outcome::not_returned);
    EXPECT_EQ(fixture.choose(4), 4U);
    fixture.end("vm-2", operation_outcome::not_returned);
    EXPECT_EQ(fixture.choose(4), 0U);

    std::optional<time_point> paused_since;
    resume_wave(fixture.m_progress, paused_since, time_point{});
    EXPECT_EQ(fixture.choose(4), 0U);
    resume_wave(fixture.m_progress, paused_since, time_point{seconds{60}});
    EXPECT_EQ(fixture.choose(4), 1U);
    fixture.end("vm-3", operation_outcome::done);
    EXPECT_EQ(fixture.choose(4), 2U);
}

// Guards against taking VMs out of service while a rack of the wave fails for another reason.
TEST(wave_control, waits_while_a_rack_fails)
{
    wave_fixture fixture{8};
    fixture.m_inputs.m_unhealthy = {vm_id{"vm-4"}, vm_id{"vm-5"}};
    EXPECT_EQ(fixture.choose(4), 0U);
    fixture.m_inputs.m_unhealthy.clear();
    EXPECT_EQ(fixture.choose(4), 4U);
}

// Guards against a wave that never ends because a VM disappeared or is held by an operator.
TEST(wave_control, ends_with_an_outcome_for_every_vm)
{
    wave_fixture fixture{3};
    fixture.m_inputs.m_vms.erase(vm_id{"vm-2"});
    fixture.m_records[vm_id{"vm-1"}].m_phase = vm_phase::draining;
    fixture.end("vm-0", operation_outcome::not_drained);
    EXPECT_TRUE(fixture.m_progress.m_finished);
    EXPECT_EQ(fixture.m_progress.m_vms.at(vm_id{"vm-1"}), operation_outcome::held);
    EXPECT_EQ(fixture.m_progress.m_vms.at(vm_id{"vm-2"}), operation_outcome::gone);
}

} // namespace
