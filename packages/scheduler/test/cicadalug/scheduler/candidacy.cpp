#include <cicadalug/scheduler/candidacy.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against electing an entry VM for which a takeover takes seconds while better-equipped candidates exist.
TEST(candidacy, weak_entry_vms_wait_for_stronger_ones)
{
    EXPECT_EQ(candidate_delay(0.25), milliseconds{0});
    EXPECT_EQ(candidate_delay(0.5), milliseconds{0});
    // Candidates start within 60 ms of each other, and an election takes two calls to the store.
    EXPECT_GE(candidate_delay(0.12), milliseconds{200});
    EXPECT_LE(candidate_delay(0.0), max_candidate_delay);
}

} // namespace cicadalug::test
