#include <cicadalug/scheduler/log_budget.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against a log that grows with the load, and against lines that are dropped without being counted.
TEST(log_budget, lines_over_the_limit_are_counted)
{
    log_budget budget;
    budget.m_limit = 2;
    constexpr time_point start{milliseconds{5'000}};
    EXPECT_EQ(begin_window(budget, start), 0);
    EXPECT_TRUE(admit_line(budget));
    EXPECT_TRUE(admit_line(budget));
    EXPECT_FALSE(admit_line(budget));
    EXPECT_EQ(begin_window(budget, start + budget.m_window), 0) << "the window is not over";
    EXPECT_FALSE(admit_line(budget));
    EXPECT_EQ(begin_window(budget, start + budget.m_window + milliseconds{1}), 2);
    EXPECT_TRUE(admit_line(budget));
    EXPECT_EQ(begin_window(budget, start + 3 * budget.m_window), 0) << "nothing was dropped";
}

} // namespace cicadalug::test
