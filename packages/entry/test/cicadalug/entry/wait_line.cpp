#include <cicadalug/entry/wait_line.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against a line that does not name its task, its cause or an obstacle.
TEST(wait_line, it_names_the_task_the_cause_and_what_rules_out_the_workers)
{
    task_wait wait;
    wait.m_task = {job_id{"5c0e7a21d94b36f8"}, 0, 1, 17};
    wait.m_waited = milliseconds{3'210};
    wait.m_cause = wait_cause::none_accepting;
    wait.m_workers.at(static_cast<std::size_t>(worker_obstacle::cordoned)) = 4;
    wait.m_workers.at(static_cast<std::size_t>(worker_obstacle::paused)) = 2;
    wait.m_pause_left = milliseconds{700};
    EXPECT_EQ(make_wait_line(wait, fencing_token{601}).str(),
              "event=task_waiting request=5c0e7a21d94b36f8 step=1 index=17 waited_ms=3210 cause=none_accepting "
              "token=601 cordoned=4 paused=2 pause_left_ms=700");
}

TEST(wait_line, counts_that_are_zero_are_left_out)
{
    task_wait wait;
    wait.m_workers.front() = 3;
    wait.m_expected = 1;
    wait.m_opening = milliseconds{180};
    const auto line = make_wait_line(wait, fencing_token{2}).str();
    EXPECT_NE(line.find(" token=2 able=3 expected=1 opening_ms=180"), std::string::npos) << line;
}

// Guards against a line from which one cannot tell for which worker a task waits, until when, and why.
TEST(wait_line, it_names_the_worker_that_is_awaited_longest)
{
    task_wait wait;
    wait.m_expected = 3;
    wait.m_awaited = worker_id{"i-aa64588d46"};
    wait.m_awaited_left = milliseconds{9'744};
    wait.m_awaited_bound = expected_bound::restart;
    const auto line = make_wait_line(wait, fencing_token{2}).str();
    EXPECT_NE(line.find(" expected=3 awaited=i-aa64588d46 awaited_left_ms=9744 awaited_for=restart"), std::string::npos)
        << line;
}

} // namespace
