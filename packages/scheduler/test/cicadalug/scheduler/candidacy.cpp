#include <cicadalug/scheduler/candidacy.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against an entry VM that decides although a takeover takes it seconds, while strong ones are there.
TEST(candidacy, weak_entry_vms_let_strong_ones_go_first)
{
    EXPECT_EQ(candidate_delay(0.25), milliseconds{0});
    EXPECT_EQ(candidate_delay(0.5), milliseconds{0});
    // The spread of candidates is 60 ms and a campaign takes two calls to the store.
    EXPECT_GE(candidate_delay(0.12), milliseconds{200});
    EXPECT_LE(candidate_delay(0.0), max_candidate_delay);
}

} // namespace cicadalug::test
