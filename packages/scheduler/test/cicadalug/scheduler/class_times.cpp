#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/class_times.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

[[nodiscard]] auto make_completed_job() -> job_entry
{
    job_entry job;
    job.m_record = make_job("orders", 1, 1'000, milliseconds{300});
    job.m_state = job_state::completed;
    job.m_arrived = time_point{milliseconds{10'000}};
    job.m_read = job.m_arrived + milliseconds{5};
    job.m_finished = job.m_arrived + milliseconds{900};
    job.m_deadline = job.m_arrived + milliseconds{905};
    job.m_times[job_part::accepted] = milliseconds{5};
    job.m_times[job_part::none_fitting] = milliseconds{595};
    job.m_times[job_part::running] = milliseconds{300};
    return job;
}

} // namespace

// Guards against a job that counts as in time by the end of its last run although its clients learn of it too late.
TEST(class_times, a_job_is_late_if_its_end_is_stored_after_its_deadline)
{
    const auto job = make_completed_job();
    class_times times;
    count_job(times, job, job.m_finished + milliseconds{4});
    EXPECT_EQ(times.m_in_time, 1);
    EXPECT_EQ(times.m_late, 0);
    count_job(times, job, job.m_finished + milliseconds{10});
    EXPECT_EQ(times.m_in_time, 1);
    EXPECT_EQ(times.m_late, 1);
    EXPECT_EQ(times.m_found_in_time, 1);
    EXPECT_EQ(times.m_lateness, milliseconds{5});
    EXPECT_EQ(times.m_times_late[job_part::end_stored], milliseconds{10});
    EXPECT_EQ(total(times.m_times_late), milliseconds{910});
    EXPECT_EQ(most_frequent_bound(times), job_part::none_fitting);
}

// Guards against jobs without an account, such as those that ended before a takeover, in the means of a class.
TEST(class_times, only_jobs_that_completed_in_this_term_have_times)
{
    auto job = make_completed_job();
    EXPECT_TRUE(has_times(job));
    job.m_state = job_state::cancelled;
    EXPECT_FALSE(has_times(job));
    job = make_completed_job();
    job.m_finished = job.m_read;
    EXPECT_FALSE(has_times(job));
    job = make_completed_job();
    job.m_record.m_spec.m_occurrences = 3;
    EXPECT_FALSE(has_times(job));
}

// Guards against a class whose jobs are all left out, as their clients name a number of repeats of one.
TEST(class_times, a_job_that_runs_once_at_its_arrival_has_times)
{
    auto job = make_completed_job();
    job.m_record.m_spec.m_occurrences = 1;
    EXPECT_TRUE(has_times(job));
    job.m_record.m_spec.m_first_due_unix_ms = job.m_record.m_arrived_unix_ms + 1;
    EXPECT_FALSE(has_times(job));
}

// Guards against an overload that is not visible before its jobs end.
TEST(class_times, overdue_jobs_are_counted_with_the_workers_of_their_service)
{
    scheduler_simulation simulation;
    simulation.begin_with("orders", 3);
    simulation.m_state.m_workers[0].m_cordoned = true;
    simulation.m_state.m_workers[1].m_unresponsive = true;
    const auto id = simulation.submit(make_job("orders", 1, 1'000, milliseconds{300}));
    static_cast<void>(simulation.submit(make_long_running_job("orders", 1, 1)));
    const auto deadline = find_job(simulation.m_state, id)->m_deadline;
    EXPECT_TRUE(find_backlogs(simulation.m_state, {}, deadline).empty());
    const auto backlogs = find_backlogs(simulation.m_state, {}, deadline + milliseconds{10'000});
    ASSERT_EQ(backlogs.size(), 1U);
    const auto& backlog = backlogs.at(queue_id{"orders-queue"});
    EXPECT_EQ(backlog.m_overdue, 1);
    EXPECT_EQ(backlog.m_cordoned, 1);
}

} // namespace cicadalug::test
