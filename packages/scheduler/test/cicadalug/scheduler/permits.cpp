#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/permits.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

auto prepare(scheduler_simulation& simulation, const std::size_t workers) -> void
{
    simulation.begin_with("quotes", workers);
    simulation.m_state.m_permit_queues.insert(queue_id{"quotes-queue"});
}

} // namespace

// Guards against starts that are rejected for lack of a permit, and against jobs that therefore never run.
TEST(permits, tasks_run_where_the_service_permits_them)
{
    scheduler_simulation simulation;
    prepare(simulation, 6);
    simulation.m_permitted = {worker_id{"w2"}, worker_id{"w5"}};
    static_cast<void>(simulation.submit(make_job("quotes", 6, 8'000, milliseconds{300})));
    simulation.run_for(milliseconds{1'000});
    EXPECT_EQ(simulation.total_starts(), 6);
    EXPECT_EQ(simulation.m_rejected_starts, 0);
    EXPECT_EQ(simulation.m_permit_request_count, 1) << "one request names all workers";
    EXPECT_TRUE(simulation.m_state.m_active[service_id{"quotes"}].empty());
}

// Guards against repeated requests for workers that were refused permanently.
TEST(permits, refused_workers_are_not_requested_again)
{
    scheduler_simulation simulation;
    prepare(simulation, 4);
    static_cast<void>(simulation.submit(make_job("quotes", 2, 8'000, milliseconds{300})));
    simulation.run_for(milliseconds{2'000});
    EXPECT_EQ(simulation.total_starts(), 0);
    EXPECT_EQ(simulation.m_permit_request_count, 1);
    simulation.add_vms("quotes", 1);
    simulation.m_permitted = {worker_id{"w5"}};
    simulation.run_for(milliseconds{500});
    EXPECT_EQ(simulation.total_starts(), 2) << "permits are requested for a new worker";
}

// Guards against using an expired permit, and against a step that waits forever after its permit has expired.
TEST(permits, permits_are_requested_again_after_they_expire)
{
    scheduler_simulation simulation;
    prepare(simulation, 1);
    simulation.m_permitted = {worker_id{"w1"}};
    simulation.m_permit_validity = milliseconds{500};
    static_cast<void>(simulation.submit(make_job("quotes", 8, 8'000, milliseconds{700})));
    simulation.run_for(milliseconds{2'000});
    EXPECT_EQ(simulation.total_starts(), 8) << "the second half starts after the first permit has expired";
    EXPECT_EQ(simulation.m_permit_request_count, 2);
    EXPECT_EQ(simulation.m_rejected_starts, 0);
}

// Guards against flooding an unresponsive permit service with requests.
TEST(permits, a_request_without_a_response_is_repeated_after_a_delay)
{
    scheduler_simulation simulation;
    prepare(simulation, 1);
    simulation.m_permitted = {worker_id{"w1"}};
    simulation.m_permit_service_up = false;
    static_cast<void>(simulation.submit(make_job("quotes", 1, 8'000, milliseconds{300})));
    simulation.run_for(milliseconds{1'000});
    EXPECT_LE(simulation.m_permit_request_count, 5);
    simulation.m_permit_service_up = true;
    simulation.run_for(milliseconds{500});
    EXPECT_EQ(simulation.total_starts(), 1);
}

} // namespace cicadalug::test
