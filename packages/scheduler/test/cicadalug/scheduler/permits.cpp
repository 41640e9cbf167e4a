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

// Guards against starts that are refused for want of a permit, and against jobs that never run for it.
TEST(permits, tasks_run_where_the_service_permits_them)
{
    scheduler_simulation simulation;
    prepare(simulation, 6);
    simulation.m_permitted = {worker_id{"w2"}, worker_id{"w5"}};
    static_cast<void>(simulation.submit(make_job("quotes", 6, 8'000, milliseconds{300})));
    simulation.run_for(milliseconds{1'000});
    EXPECT_EQ(simulation.total_starts(), 6);
    EXPECT_EQ(simulation.m_rejected_starts, 0);
    EXPECT_EQ(simulation.m_permit_request_count, 1) << "one question names all workers";
    EXPECT_TRUE(simulation.m_state.m_active[service_id{"quotes"}].empty());
}

// Guards against questions that are repeated for workers which were refused for good.
TEST(permits, refused_workers_are_not_asked_for_again)
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
    EXPECT_EQ(simulation.total_starts(), 2) << "a new worker is asked for";
}

// Guards against a permit that is used after its time, and against a step that waits for ever when it has ended.
TEST(permits, permits_are_asked_for_again_when_their_time_is_over)
{
    scheduler_simulation simulation;
    prepare(simulation, 1);
    simulation.m_permitted = {worker_id{"w1"}};
    simulation.m_permit_validity = milliseconds{500};
    static_cast<void>(simulation.submit(make_job("quotes", 8, 8'000, milliseconds{700})));
    simulation.run_for(milliseconds{2'000});
    EXPECT_EQ(simulation.total_starts(), 8) << "the second half starts after the first permit has ended";
    EXPECT_EQ(simulation.m_permit_request_count, 2);
    EXPECT_EQ(simulation.m_rejected_starts, 0);
}

// Guards against a service that is pressed with questions while it does not answer.
TEST(permits, an_unanswered_question_is_repeated_after_a_pause)
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
