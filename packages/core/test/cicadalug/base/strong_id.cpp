#include <cicadalug/base/ids.hpp>

#include <gtest/gtest.h>

#include <type_traits>
#include <unordered_set>

namespace {

using namespace cicadalug;

// Guards against passing the id of a pool where the id of a VM is expected.
static_assert(!std::is_convertible_v<pool_id, vm_id>);
static_assert(!std::is_constructible_v<vm_id, pool_id>);

// Guards against identifiers with the same text that are not equal or have different hashes.
TEST(strong_id, hashes_and_compares_by_text)
{
    const std::unordered_set<vm_id> ids{vm_id{"a"}, vm_id{"a"}, vm_id{"b"}};
    EXPECT_EQ(ids.size(), 2U);
}

} // namespace
