#include <cicadalug/scheduler/job_times.hpp>

#include <gtest/gtest.h>

#include <set>

namespace cicadalug::test {

// Guards against time that is counted twice or lost when a task changes from one part to another.
TEST(job_times, parts_add_up_to_the_time_since_the_turn_of_a_task)
{
    const time_point begin{milliseconds{1'000}};
    task_times task;
    task.m_since = begin;
    enter_part(task, job_part::none_fitting, begin + milliseconds{10});
    enter_part(task, job_part::none_fitting, begin + milliseconds{30});
    enter_part(task, job_part::placed, begin + milliseconds{50});
    enter_part(task, job_part::running, begin + milliseconds{57});
    const auto times = times_until(task, begin + milliseconds{200});
    EXPECT_EQ(times[job_part::pass_due], milliseconds{10});
    EXPECT_EQ(times[job_part::none_fitting], milliseconds{40});
    EXPECT_EQ(times[job_part::placed], milliseconds{7});
    EXPECT_EQ(times[job_part::running], milliseconds{143});
    EXPECT_EQ(total(times), milliseconds{200});
}

// Guards against a late job that is reported as bound by its own run time.
TEST(job_times, the_running_time_is_no_delay)
{
    job_times times;
    times[job_part::running] = milliseconds{900};
    times[job_part::placed] = milliseconds{20};
    times[job_part::step_not_opened] = milliseconds{30};
    EXPECT_EQ(largest_delay(times), job_part::step_not_opened);
}

// Guards against two parts that share one field of a log line or one time series.
TEST(job_times, each_part_has_a_name_of_its_own)
{
    std::set<std::string_view> names;
    for (std::size_t part = 0; part < job_parts; ++part) {
        names.insert(name_of(static_cast<job_part>(part)));
    }
    EXPECT_EQ(names.size(), job_parts);
    EXPECT_FALSE(names.contains(""));
}

} // namespace cicadalug::test
