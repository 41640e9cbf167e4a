#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/progress_batch.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace cicadalug::test {

namespace {

[[nodiscard]] auto submit_jobs(scheduler_simulation& simulation, const int count) -> std::vector<job_entry*>
{
    std::vector<job_entry*> jobs;
    jobs.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        jobs.push_back(
            find_job(simulation.m_state, simulation.submit(make_job("quotes", 1, 1'000, milliseconds{500}))));
    }
    return jobs;
}

auto begin_opening(job_entry& job) -> void
{
    job.m_open.front().m_steps.front().m_opening = true;
}

} // namespace

// Guards against steps and final states that wait until the progress of all running jobs has been written.
TEST(progress_batch, a_job_whose_write_is_awaited_goes_before_a_backlog_of_others)
{
    scheduler_simulation simulation;
    auto remaining = submit_jobs(simulation, 100);
    begin_opening(*remaining.back());
    const auto opening = remaining.back();
    const auto later = submit_jobs(simulation, 1).front();
    begin_opening(*later);
    mark_dirty(simulation.m_state, *later);
    const auto batch = take_progress_batch(remaining, simulation.m_state, 8);
    EXPECT_EQ(batch.size(), 8U);
    EXPECT_NE(std::find(batch.begin(), batch.end(), opening), batch.end());
    EXPECT_NE(std::find(batch.begin(), batch.end(), later), batch.end());
    EXPECT_TRUE(simulation.m_state.m_dirty.empty());
    EXPECT_FALSE(later->m_dirty);
    EXPECT_EQ(remaining.size(), 93U);
}

// Guards against ends that are never acknowledged, because jobs whose write is awaited keep coming.
TEST(progress_batch, other_jobs_get_a_part_of_each_write)
{
    scheduler_simulation simulation;
    auto remaining = submit_jobs(simulation, 4);
    const auto first = remaining;
    for (auto* job : submit_jobs(simulation, 100)) {
        begin_opening(*job);
        mark_dirty(simulation.m_state, *job);
    }
    for (std::size_t written = 2; written <= 4; written += 2) {
        const auto batch = take_progress_batch(remaining, simulation.m_state, 8);
        EXPECT_EQ(batch.size(), 8U);
        EXPECT_EQ(remaining.size(), 4 - written);
    }
    EXPECT_EQ(simulation.m_state.m_dirty.size(), 88U);
}

// Guards against two entries of one job in a write, which the store rejects.
TEST(progress_batch, a_job_that_has_changed_again_is_written_once)
{
    scheduler_simulation simulation;
    auto remaining = submit_jobs(simulation, 3);
    for (auto* job : remaining) {
        begin_opening(*job);
        mark_dirty(simulation.m_state, *job);
    }
    const auto batch = take_progress_batch(remaining, simulation.m_state, 8);
    EXPECT_EQ(batch.size(), 3U);
    EXPECT_TRUE(remaining.empty());
    EXPECT_TRUE(take_progress_batch(remaining, simulation.m_state, 8).empty());
}

// Guards against a second write of a job that has changed between the begin of the writes and its own.
TEST(progress_batch, a_write_covers_the_changes_up_to_it)
{
    scheduler_simulation simulation;
    auto remaining = submit_jobs(simulation, 20);
    for (auto* job : remaining) {
        mark_dirty(simulation.m_state, *job);
    }
    const auto batch = take_progress_batch(remaining, simulation.m_state, 8);
    EXPECT_EQ(batch.size(), 8U);
    EXPECT_EQ(simulation.m_state.m_dirty.size(), 12U);
    EXPECT_TRUE(std::none_of(batch.begin(), batch.end(), [](const job_entry* job) { return job->m_dirty; }));
}

} // namespace cicadalug::test
