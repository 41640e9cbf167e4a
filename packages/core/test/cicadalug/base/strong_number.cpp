#include <cicadalug/base/ids.hpp>

#include <gtest/gtest.h>

#include <type_traits>

namespace {

using namespace cicadalug;

// Guards against passing a version as an epoch, which would break the fencing of writes.
static_assert(!std::is_convertible_v<version, epoch>);
static_assert(!std::is_constructible_v<version, epoch>);

// Guards against numbers that are not compared and added by value.
TEST(strong_number, orders_by_value)
{
    EXPECT_LT(version{1}, version{2});
    EXPECT_EQ(version{1} + version{1}, version{2});
}

} // namespace
