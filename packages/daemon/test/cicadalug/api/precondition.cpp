#include <cicadalug/api/precondition.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

// Guards against a write without a precondition, which would overwrite a concurrent change of another operator.
TEST(precondition, requires_exactly_one_precondition)
{
    findings found;
    static_cast<void>(parse_precondition("", "", found));
    static_cast<void>(parse_precondition("3", "*", found));
    static_cast<void>(parse_precondition("x", "", found));
    static_cast<void>(parse_precondition("0", "", found));
    static_cast<void>(parse_precondition("", "3", found));
    EXPECT_EQ(found.items().size(), 5U);
}

TEST(precondition, version_may_be_quoted)
{
    findings found;
    EXPECT_EQ(parse_precondition("\"12\"", "", found).m_version, version{12});
    EXPECT_EQ(parse_precondition("12", "", found).m_version, version{12});
    EXPECT_TRUE(parse_precondition("", "*", found).m_create);
    EXPECT_TRUE(found.empty());
}

} // namespace
