#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

constexpr time_point now{milliseconds{100'000}};

[[nodiscard]] auto make_worker() -> worker_slot
{
    worker_slot worker;
    worker.m_has_reported = true;
    worker.m_lease_listed = true;
    worker.m_last_report = now;
    return worker;
}

} // namespace

TEST(worker_obstacle, a_worker_that_has_reported_and_is_listed_accepts_work)
{
    EXPECT_EQ(find_obstacle(make_worker(), now), worker_obstacle::none);
}

// Guards against work on a worker by the capacity and the labels of another incarnation.
TEST(worker_obstacle, an_entry_matches_any_incarnation_that_is_not_known)
{
    auto worker = make_worker();
    worker.m_entry.m_incarnation_start_unix_ms = 7;
    EXPECT_EQ(find_service_obstacle(worker), worker_obstacle::none);
    worker.m_incarnation_start_unix_ms = 7;
    EXPECT_EQ(find_service_obstacle(worker), worker_obstacle::none);
    worker.m_incarnation_start_unix_ms = 8;
    EXPECT_EQ(find_service_obstacle(worker), worker_obstacle::other_incarnation);
    worker.m_entry.m_incarnation_start_unix_ms = 0;
    EXPECT_EQ(find_service_obstacle(worker), worker_obstacle::none);
}

// Guards against a start that is withdrawn because its worker has paused since.
TEST(worker_obstacle, a_pause_does_not_end_the_service_of_a_worker)
{
    auto worker = make_worker();
    worker.m_paused_until = now + milliseconds{1};
    EXPECT_EQ(find_obstacle(worker, now), worker_obstacle::paused);
    EXPECT_EQ(find_service_obstacle(worker), worker_obstacle::none);
}

// Guards against a start on a worker that is not only paused, but has not reported for long.
TEST(worker_obstacle, a_paused_worker_has_no_other_obstacle)
{
    auto worker = make_worker();
    worker.m_paused_until = now + milliseconds{1};
    worker.m_last_report = now - milliseconds{3'000};
    EXPECT_EQ(find_obstacle(worker, now), worker_obstacle::report_too_old);
}

TEST(worker_obstacle, each_obstacle_has_a_name)
{
    EXPECT_EQ(name_of(worker_obstacle::none), "none");
    EXPECT_EQ(name_of(worker_obstacle::not_reported), "not_reported");
    EXPECT_EQ(name_of(worker_obstacle::no_permit), "no_permit");
}

} // namespace cicadalug::test
