#include <cicadalug/base/finding.hpp>

#include <gtest/gtest.h>

namespace {

using cicadalug::findings;

// Guards against reporting only the first error of an input.
TEST(findings, reports_all_errors_with_location)
{
    findings inner{"name", "is missing"};
    findings all{"spec", "is not an object"};
    all.append(inner, "items[2].");

    EXPECT_EQ(all.to_string(), "spec: is not an object\nitems[2].name: is missing");
}

} // namespace
