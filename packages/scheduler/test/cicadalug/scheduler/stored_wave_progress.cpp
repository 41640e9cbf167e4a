#include <cicadalug/scheduler/stored_wave_progress.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

// Guards against a successor that maintains a VM twice, waits for a refused one, or forgets a command on its way.
TEST(stored_wave_progress, a_successor_restores_what_was_saved)
{
    wave_progress_state wave;
    wave.m_begun = {vm_id{"m-1"}, vm_id{"m-2"}};
    wave.m_excluded = {vm_id{"m-3"}};
    wave.m_down = {{vm_id{"m-2"}, time_point{}}, {vm_id{"m-4"}, time_point{}}};
    wave.m_commanded_before = {vm_id{"m-5"}};
    const auto stored = decode_wave_progress(encode(save_progress(wave, false, 1'796'588'481'784)));
    EXPECT_FALSE(stored.m_completed);
    EXPECT_EQ(stored.m_began_unix_ms, 1'796'588'481'784);
    wave_progress_state restored;
    restore_progress(restored, stored);
    EXPECT_TRUE(restored.m_recovered);
    EXPECT_EQ(restored.m_begun, wave.m_begun);
    EXPECT_EQ(restored.m_excluded, wave.m_excluded);
    EXPECT_EQ(restored.m_commanded_before, (std::set{vm_id{"m-4"}, vm_id{"m-5"}}));
}

// Guards against a completed wave that begins again after a change of the decider.
TEST(stored_wave_progress, a_completed_wave_remains_completed)
{
    EXPECT_TRUE(decode_wave_progress(encode(save_progress({}, true, 1))).m_completed);
    EXPECT_TRUE(decode_wave_progress("completed 1796588481784 m-1").m_completed);
}

} // namespace cicadalug::test
