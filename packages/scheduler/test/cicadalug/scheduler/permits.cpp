#include "load_model.hpp"

#include <cicadalug/scheduler/permits.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

auto prepare(load_model& model, const std::size_t workers) -> void
{
    model.begin_with("quotes", workers);
    model.m_state.m_permit_queues.insert(queue_id{"quotes-queue"});
}

} // namespace

// Guards against starts that are refused for want of a permit, and against jobs that never run for it.
TEST(permits, tasks_run_where_the_service_permits_them)
{
    load_model model;
    prepare(model, 6);
    model.m_permitted = {worker_id{"w2"}, worker_id{"w5"}};
    static_cast<void>(model.submit(make_job("quotes", 6, 8'000, milliseconds{300})));
    model.run_for(milliseconds{1'000});
    EXPECT_EQ(model.total_starts(), 6);
    EXPECT_EQ(model.m_rejected_starts, 0);
    EXPECT_EQ(model.m_permit_questions, 1) << "one question names all workers";
    EXPECT_TRUE(model.m_state.m_active[service_id{"quotes"}].empty());
}

// Guards against questions that are repeated for workers which were refused for good.
TEST(permits, refused_workers_are_not_asked_for_again)
{
    load_model model;
    prepare(model, 4);
    static_cast<void>(model.submit(make_job("quotes", 2, 8'000, milliseconds{300})));
    model.run_for(milliseconds{2'000});
    EXPECT_EQ(model.total_starts(), 0);
    EXPECT_EQ(model.m_permit_questions, 1);
    model.add_vms("quotes", 1);
    model.m_permitted = {worker_id{"w5"}};
    model.run_for(milliseconds{500});
    EXPECT_EQ(model.total_starts(), 2) << "a new worker is asked for";
}

// Guards against a permit that is used after its time, and against a step that waits for ever when it has ended.
TEST(permits, permits_are_asked_for_again_when_their_time_is_over)
{
    load_model model;
    prepare(model, 1);
    model.m_permitted = {worker_id{"w1"}};
    model.m_permit_validity = milliseconds{500};
    static_cast<void>(model.submit(make_job("quotes", 8, 8'000, milliseconds{700})));
    model.run_for(milliseconds{2'000});
    EXPECT_EQ(model.total_starts(), 8) << "the second half starts after the first permit has ended";
    EXPECT_EQ(model.m_permit_questions, 2);
    EXPECT_EQ(model.m_rejected_starts, 0);
}

// Guards against a service that is pressed with questions while it does not answer.
TEST(permits, an_unanswered_question_is_repeated_after_a_pause)
{
    load_model model;
    prepare(model, 1);
    model.m_permitted = {worker_id{"w1"}};
    model.m_permit_service_up = false;
    static_cast<void>(model.submit(make_job("quotes", 1, 8'000, milliseconds{300})));
    model.run_for(milliseconds{1'000});
    EXPECT_LE(model.m_permit_questions, 5);
    model.m_permit_service_up = true;
    model.run_for(milliseconds{500});
    EXPECT_EQ(model.total_starts(), 1);
}

} // namespace cicadalug::test
