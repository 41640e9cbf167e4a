#include <cicadalug/entry/job_times_line.hpp>

#include <gtest/gtest.h>

#include <sstream>

namespace cicadalug::test {

// Guards against a line that loses its event and fields when several parts are added.
TEST(job_times_line, contains_the_line_and_the_mean_of_each_part)
{
    job_times times;
    times[job_part::accepted] = milliseconds{10};
    times[job_part::placed] = microseconds{1'500};
    times[job_part::running] = milliseconds{601};
    std::ostringstream text;
    text << add_parts(log_line{"late_jobs"}.with("late", 2), times, 2);
    EXPECT_EQ(text.str(), "event=late_jobs late=2 accepted_ms=5 running_ms=300");
}

} // namespace cicadalug::test
