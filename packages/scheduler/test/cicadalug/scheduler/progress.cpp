#include <cicadalug/scheduler/progress.hpp>
#include <cicadalug/scheduler/saved_fleet_state.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cicadalug::test {

// Guards against progress that differs after a successor has read it from the store.
RC_GTEST_PROP(progress, is_read_as_it_was_written, (std::vector<bool> done, std::vector<std::string> checkpoints))
{
    job_progress written;
    written.m_state = job_state::running;
    occurrence_progress open;
    open.m_occurrence = 3;
    open.m_steps.emplace_back();
    for (std::size_t index = 0; index < std::min(done.size(), checkpoints.size()); ++index) {
        open.m_steps.front().push_back(
            {done[index], {run_number{static_cast<std::int64_t>(index) * 7}, run_number{3}}, checkpoints[index]});
    }
    open.m_opened = done;
    written.m_open.push_back(open);
    const auto read = decode_job_progress(encode(written));
    RC_ASSERT(read.has_value());
    const auto& back = read.assume_value().m_open.front();
    RC_ASSERT(back.m_opened == done);
    for (std::size_t index = 0; index < back.m_steps.front().size(); ++index) {
        RC_ASSERT(back.m_steps.front()[index].m_done == done[index]);
        RC_ASSERT(back.m_steps.front()[index].m_checkpoint == checkpoints[index]);
        RC_ASSERT(back.m_steps.front()[index].m_failed_runs.front().value() == static_cast<std::int64_t>(index) * 7);
    }
}

// Guards against a crash on bytes of another writer or of a later version.
RC_GTEST_PROP(progress, other_bytes_are_a_finding_or_a_value, (const std::string& bytes))
{
    static_cast<void>(decode_job_progress(bytes.substr(0, 64)).has_value());
    RC_ASSERT(!decode_job_record("x").has_value());
}

// Guards against a new decider that has to learn the order of the surges again.
TEST(saved_fleet_state, the_expected_surge_survives_a_takeover)
{
    const clock_reading before{time_point{milliseconds{50'000}}, 1'000'000};
    demand_state demand;
    demand.m_services[service_id{"quotes"}].m_own_cores = 288;
    demand.m_services[service_id{"orders"}].m_own_cores = 288;
    demand.m_last_surge = service_id{"quotes"};
    demand.m_last_surge_begin = before.m_now - milliseconds{1'000};
    demand.m_successions[service_id{"quotes"}] = {service_id{"orders"}, milliseconds{4'500}};
    saved_fleet_state saved;
    save_demand(saved, demand, before);
    const auto read = decode_saved_fleet_state(encode(saved));
    ASSERT_TRUE(read.has_value());
    // Another process with a different monotonic clock, 1.5 s later.
    const clock_reading after{time_point{milliseconds{7'000}}, 1'001'500};
    const auto restored = restore_demand(read.assume_value(), after);
    const auto& expected = restored.m_services.at(service_id{"orders"}).m_expected_surge;
    ASSERT_TRUE(expected.has_value());
    EXPECT_EQ(*expected - after.m_now, milliseconds{2'000});
}

} // namespace cicadalug::test
