#include <cicadalug/scheduler/compact_progress.hpp>
#include <cicadalug/scheduler/stored_progress.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <string>

namespace cicadalug::test {

namespace {

constexpr std::size_t value_bytes{1'048'576};

[[nodiscard]] auto make_progress(const std::size_t tasks, const std::size_t checkpoint_length) -> job_progress
{
    job_progress progress;
    progress.m_state = job_state::running;
    progress.m_open.resize(1);
    progress.m_open.front().m_opened = {true};
    progress.m_open.front().m_steps.resize(1);
    progress.m_open.front().m_steps.front().resize(tasks);
    for (auto& task : progress.m_open.front().m_steps.front()) {
        task.m_checkpoint = std::string(checkpoint_length, 'c');
    }
    progress.m_open.front().m_steps.front().front().m_done = true;
    return progress;
}

[[nodiscard]] auto make_record(const std::size_t steps, const std::int64_t tasks) -> job_record
{
    job_record record;
    record.m_id = job_id{"1a365c03c12a8600"};
    record.m_policy.m_max_attempts = 4;
    record.m_spec.m_steps.resize(steps);
    for (auto& step : record.m_spec.m_steps) {
        step.m_count = tasks;
        step.m_checkpoints = true;
    }
    return record;
}

[[nodiscard]] auto join(const stored_progress& stored) -> std::string
{
    return std::accumulate(stored.m_parts.begin(), stored.m_parts.end(), std::string{});
}

} // namespace

// Guards against ordinary jobs that a decider of an earlier release cannot read during an upgrade.
TEST(stored_progress, what_fits_into_one_value_has_the_form_of_earlier_releases)
{
    const auto progress = make_progress(1'000, 16);
    const auto stored = encode_parts(progress, value_bytes);
    ASSERT_EQ(stored.m_parts.size(), 1U);
    EXPECT_EQ(stored.m_parts.front(), encode(progress));
    EXPECT_EQ(count_parts(stored.m_parts.front()), 1U);
}

// Guards against a job with many tasks whose progress the store refuses.
TEST(stored_progress, many_tasks_take_values_of_the_allowed_size)
{
    const auto progress = make_progress(100'000, 16);
    const auto stored = encode_parts(progress, value_bytes);
    EXPECT_GT(stored.m_parts.size(), 1U);
    EXPECT_LE(stored.m_parts.size(), max_progress_parts);
    EXPECT_EQ(stored.m_dropped_checkpoints, 0U);
    EXPECT_TRUE(std::all_of(stored.m_parts.begin(), stored.m_parts.end(),
                            [](const std::string& part) { return part.size() <= value_bytes; }));
    EXPECT_EQ(count_parts(stored.m_parts.front()), stored.m_parts.size());
    const auto read = decode_job_progress(join(stored));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(encode(read.assume_value()), encode(progress));
}

// Guards against a state that cannot be read while there is no decider, as the progress takes several values.
TEST(stored_progress, the_state_is_read_from_the_first_value)
{
    for (const auto tasks : {1U, 100'000U}) {
        const auto stored = encode_parts(make_progress(tasks, 16), value_bytes);
        const auto state = decode_stored_state(stored.m_parts.front());
        ASSERT_TRUE(state.has_value());
        EXPECT_EQ(state.assume_value(), job_state::running);
    }
    EXPECT_FALSE(decode_stored_state({}).has_value());
    EXPECT_FALSE(decode_stored_state("\x01\x7f").has_value());
}

// Guards against ends that are never stored because of checkpoints of an extraordinary length.
TEST(stored_progress, checkpoints_without_room_are_left_out)
{
    constexpr std::size_t small_value{1'024};
    auto progress = make_progress(100, 400);
    progress.m_open.front().m_steps.front().back().m_checkpoint = "short";
    const auto stored = encode_parts(progress, small_value);
    EXPECT_LE(stored.m_parts.size(), max_progress_parts);
    EXPECT_GT(stored.m_dropped_checkpoints, 0U);
    const auto read = decode_job_progress(join(stored));
    ASSERT_TRUE(read.has_value());
    const auto& tasks = read.assume_value().m_open.front().m_steps.front();
    EXPECT_TRUE(tasks.front().m_done);
    EXPECT_EQ(tasks.back().m_checkpoint, "short");
}

// Guards against a job that is accepted and cannot be stored, and against a limit that refuses ordinary jobs.
TEST(stored_progress, a_job_that_cannot_be_stored_is_found_with_its_size)
{
    EXPECT_TRUE(find_size_obstacle(make_record(1, 61'000), value_bytes).empty());
    EXPECT_TRUE(find_size_obstacle(make_record(4, 25'000), value_bytes).empty());
    const auto many_tasks = find_size_obstacle(make_record(1, 200'000), value_bytes);
    EXPECT_NE(many_tasks.to_string().find("16777216 bytes"), std::string::npos) << many_tasks.to_string();
    const auto many_steps = find_size_obstacle(make_record(6'000, 1), value_bytes);
    EXPECT_NE(many_steps.to_string().find("1048576 bytes"), std::string::npos) << many_steps.to_string();
}

// Guards against a write with more entries than the store takes.
TEST(stored_progress, only_jobs_with_many_open_tasks_may_need_several_values)
{
    EXPECT_FALSE(may_need_parts(make_record(1, 1'000), 1, value_bytes));
    EXPECT_TRUE(may_need_parts(make_record(1, 1'000), 50, value_bytes));
    EXPECT_TRUE(may_need_parts(make_record(1, 61'000), 1, value_bytes));
}

// Guards against a schedule whose open occurrences outgrow the store.
TEST(stored_progress, the_open_occurrences_of_a_schedule_are_limited)
{
    EXPECT_EQ(storable_occurrences(make_record(1, 90'000), value_bytes), 1U);
    const auto record = make_record(1, 1'000);
    const auto occurrences = storable_occurrences(record, value_bytes);
    EXPECT_GT(occurrences, 50U);
    EXPECT_LE(largest_compact_bytes(record) * static_cast<std::int64_t>(occurrences),
              static_cast<std::int64_t>(max_progress_parts * value_bytes));
}

} // namespace cicadalug::test
