#include <cicadalug/request/request_table.hpp>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>

namespace {

using namespace cicadalug;

class request_table_test : public ::testing::Test {
protected:
    request_table_test() { m_table.add(m_pending); }

    auto finish(const outcome_kind kind) -> bool
    {
        request_outcome outcome;
        outcome.m_kind = kind;
        return m_table.finish(m_id, std::move(outcome));
    }

    [[nodiscard]] auto delivered_kind() -> outcome_kind
    {
        m_context.run();
        return m_pending->m_outcome.value_or(request_outcome{}).m_kind;
    }

    const request_id m_id{"r1"};
    asio::io_context m_context;
    request_table m_table;
    std::shared_ptr<pending_request> m_pending{std::make_shared<pending_request>(
        m_context.get_executor(), routing_request{m_id, {}, {}, false, false, {}}, http_request{}, trace_context{})};
};

TEST_F(request_table_test, not_run_stays_not_run_after_a_refused_attempt)
{
    ASSERT_TRUE(m_table.begin_attempt(m_id, vm_id{"vm"}));
    m_table.end_attempt(*m_pending, attempt_outcome::no_slot);
    EXPECT_TRUE(finish(outcome_kind::not_run));
    EXPECT_EQ(delivered_kind(), outcome_kind::not_run);
}

// Guards against reporting "not-run" for a request whose earlier attempt may have run.
TEST_F(request_table_test, not_run_becomes_unknown_after_a_lost_attempt)
{
    ASSERT_TRUE(m_table.begin_attempt(m_id, vm_id{"vm"}));
    m_table.end_attempt(*m_pending, attempt_outcome::connection_lost);
    ASSERT_TRUE(m_table.begin_attempt(m_id, vm_id{"vm"}));
    m_table.end_attempt(*m_pending, attempt_outcome::no_slot);
    EXPECT_TRUE(finish(outcome_kind::not_run));
    EXPECT_EQ(delivered_kind(), outcome_kind::unknown);
}

// Guards against reporting "not-run" for a request that is being sent.
TEST_F(request_table_test, not_run_becomes_unknown_during_an_attempt)
{
    ASSERT_TRUE(m_table.begin_attempt(m_id, vm_id{"vm"}));
    EXPECT_TRUE(finish(outcome_kind::not_run));
    EXPECT_EQ(delivered_kind(), outcome_kind::unknown);
}

// Guards against two outcomes of one request, and against sending a request after its caller received the outcome.
TEST_F(request_table_test, first_outcome_is_the_only_one)
{
    EXPECT_TRUE(finish(outcome_kind::not_run));
    EXPECT_FALSE(finish(outcome_kind::answered));
    EXPECT_FALSE(m_table.begin_attempt(m_id, vm_id{"vm"}));
    EXPECT_EQ(delivered_kind(), outcome_kind::not_run);
    EXPECT_EQ(m_table.size(), 0U);
}

// Guards against abandoning a running order because its caller disconnected.
TEST_F(request_table_test, started_order_is_kept_when_its_caller_disconnects)
{
    ASSERT_TRUE(m_table.begin_attempt(m_id, vm_id{"vm"}));
    EXPECT_FALSE(m_table.abandon(m_id, true));
    EXPECT_TRUE(m_table.abandon(m_id, false));
    EXPECT_EQ(delivered_kind(), outcome_kind::unknown);
}

} // namespace
