#include <cicadalug/scheduler/compact_progress.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace cicadalug::test {

namespace {

/** @brief Makes progress with two occurrences of one step. */
[[nodiscard]] auto make_progress(const std::vector<bool>& done, const std::vector<std::string>& checkpoints)
    -> job_progress
{
    job_progress progress;
    progress.m_state = job_state::running;
    progress.m_first_open = 3;
    for (const std::int64_t number : {3, 5}) {
        occurrence_progress open;
        open.m_occurrence = number;
        open.m_opened = {true, false};
        open.m_steps.resize(2);
        for (std::size_t index = 0; index < done.size(); ++index) {
            task_progress task;
            task.m_done = done[index];
            if (index < checkpoints.size()) {
                task.m_checkpoint = checkpoints[index];
                task.m_failed_runs = {run_number{static_cast<std::int64_t>(index) * 7'000}, run_number{3}};
            }
            open.m_steps.front().push_back(task);
        }
        progress.m_open.push_back(open);
    }
    progress.m_crashes.push_back(
        {3, 0, 1, {run_number{9'001}}, true, {{run_number{9'002}, worker_id{"w1"}, vm_id{"m-1"}, 1'764'000'000'000}}});
    return progress;
}

[[nodiscard]] auto make_record(const std::int64_t tasks, const std::int64_t attempts) -> job_record
{
    job_record record;
    record.m_policy.m_max_attempts = attempts;
    record.m_spec.m_steps.resize(1);
    record.m_spec.m_steps.front().m_count = tasks;
    record.m_spec.m_steps.front().m_checkpoints = true;
    return record;
}

} // namespace

// Guards against progress of a large job that differs after a successor has read it from the store.
RC_GTEST_PROP(compact_progress, is_read_as_it_was_written,
              (const std::vector<bool>& done, const std::vector<std::string>& checkpoints))
{
    const auto written = make_progress(done, checkpoints);
    const auto bytes = encode_compact(written);
    RC_ASSERT(is_compact(bytes));
    const auto read = decode_job_progress(bytes);
    RC_ASSERT(read.has_value());
    // The other form, which writes all fields, serves for the comparison.
    RC_ASSERT(encode(read.assume_value()) == encode(written));
}

// Guards against a crash on bytes of another writer or of a later version.
RC_GTEST_PROP(compact_progress, other_bytes_are_a_finding_or_a_value, (const std::string& bytes))
{
    static_cast<void>(decode_compact_progress('\x02' + bytes).has_value());
    const auto whole = encode_compact(make_progress({true, false}, {bytes}));
    RC_ASSERT(!decode_compact_progress(whole.substr(0, whole.size() / 2)).has_value());
}

// Guards against progress of the form that earlier releases write being taken for the compact one.
TEST(compact_progress, the_other_form_is_not_compact)
{
    EXPECT_FALSE(is_compact(encode(make_progress({true}, {}))));
    EXPECT_FALSE(is_compact({}));
}

// Guards against an accepted job whose progress outgrows what was reckoned for it.
TEST(compact_progress, the_bound_holds_for_the_longest_progress)
{
    constexpr std::int64_t tasks{500};
    constexpr std::int64_t attempts{4};
    constexpr std::size_t checkpoint_length{16};
    job_progress progress;
    progress.m_open.resize(1);
    progress.m_open.front().m_opened = {true};
    progress.m_open.front().m_steps.resize(1);
    constexpr std::int64_t high_run{4'000'000'000'000'000'000};
    for (std::int64_t index = 0; index < tasks; ++index) {
        task_progress task;
        task.m_done = index % 2 == 1;
        task.m_checkpoint = std::string(checkpoint_length, 'c');
        for (std::int64_t run = 0; run < attempts; ++run) {
            task.m_failed_runs.emplace_back(run % 2 == 0 ? high_run : -high_run);
        }
        progress.m_open.front().m_steps.front().push_back(task);
        progress.m_crashes.push_back(
            {0, 0, index, {run_number{high_run}, run_number{-high_run}, run_number{high_run}}, true, {}});
    }
    EXPECT_LE(encode_compact(progress).size(),
              static_cast<std::size_t>(largest_compact_bytes(make_record(tasks, attempts))));
}

} // namespace cicadalug::test
