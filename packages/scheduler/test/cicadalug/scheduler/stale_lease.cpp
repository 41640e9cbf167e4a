#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/stale_lease.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <gtest/gtest.h>

namespace cicadalug::test {

namespace {

/** @brief A pool with one worker, which has reported its first incarnation. */
class stale_lease : public ::testing::Test {
protected:
    stale_lease() { m_simulation.begin_with("orders", 1); }

    [[nodiscard]] auto state() -> scheduler_state& { return m_simulation.m_state; }
    [[nodiscard]] auto worker() -> worker_slot& { return state().m_workers.front(); }
    [[nodiscard]] auto now() const -> time_point { return m_simulation.now(); }

    /** @brief Applies a report of an incarnation. @param token Token of the call that it answers. */
    auto report(const std::int64_t start_unix_ms, const std::int64_t clock_ms, const fencing_token token) -> void
    {
        worker_report report;
        report.m_incarnation_start_unix_ms = start_unix_ms;
        report.m_clock_ms = clock_ms;
        report.m_incarnation_age = m_age;
        report.m_token = token;
        apply_report(state(), 0, report, now(), now());
    }

    /** @brief Replaces the decider by a new one, which can raise tokens. */
    auto take_over() -> void
    {
        m_simulation.take_over();
        record_term_write(state(), store_revision{state().m_token.value() + 10});
    }

    /** @brief Restarts the worker, which answers a call with its raised token. */
    auto restart() -> void
    {
        auto& restarted = m_simulation.worker(worker().m_entry.m_id.str());
        ++restarted.m_incarnation;
        const auto clock_ms = std::chrono::duration_cast<milliseconds>(now().time_since_epoch()).count();
        report(restarted.m_incarnation, clock_ms, fence_of(state(), worker()));
        report(restarted.m_incarnation, clock_ms, fence_of(state(), worker()));
        m_simulation.list_leases();
    }

    scheduler_simulation m_simulation;
    /** @brief Age of the incarnations that report. */
    std::optional<milliseconds> m_age{milliseconds{4'000}};
};

} // namespace

// Guards against a second run of a task beside one that a stale lease keeps alive: the lease reached the new
// incarnation between its first report and its response to a call with its own token.
TEST_F(stale_lease, ends_after_the_response_to_a_call_with_the_raised_token)
{
    const auto before = fence_of(state(), worker());
    report(2, 5, before);
    report(2, 805, before);
    const auto longest = state().m_settings.m_longest_lease;
    EXPECT_GE(lease_end(state(), worker()), now() + longest);
    EXPECT_EQ(find_obstacle(worker(), now()), worker_obstacle::fence_not_answered);
    report(2, 905, fence_of(state(), worker()));
    EXPECT_NE(find_obstacle(worker(), now()), worker_obstacle::fence_not_answered);
    EXPECT_EQ(worker().m_stale_until_ms, 905 + longest.count());
    report(2, 1'905, fence_of(state(), worker()));
    EXPECT_EQ(worker().m_stale_until_ms, 905 + longest.count()) << "no stale lease is taken on any more";
}

// Guards against a bound that follows from what was granted to the last incarnation: calls to the one before it, whose
// clock was far ahead, are still on their way.
TEST_F(stale_lease, of_two_restarts_follows_from_the_leases_of_both_incarnations)
{
    report(2, 5, fence_of(state(), worker()));
    report(2, 15, fence_of(state(), worker()));
    report(3, 5, fence_of(state(), worker()));
    report(3, 15, fence_of(state(), worker()));
    EXPECT_EQ(worker().m_stale_until_ms, 15 + state().m_settings.m_longest_lease.count());
}

// Guards against a wait for a stale lease that cannot be: the clock of the new incarnation is ahead of all leases in
// calls to the last one.
TEST_F(stale_lease, is_not_assumed_on_a_worker_whose_clock_is_ahead_of_all_leases_sent)
{
    const auto sent = worker().m_lease_until_ms;
    report(2, sent - 1'000, fence_of(state(), worker()));
    EXPECT_EQ(worker().m_stale_until_ms, sent);
    report(3, sent + 7'000, fence_of(state(), worker()));
    report(3, sent + 7'010, fence_of(state(), worker()));
    EXPECT_EQ(worker().m_stale_until_ms, 0);
}

// Guards against the same bound while calls of an earlier decider to an incarnation that is not known may arrive.
TEST_F(stale_lease, is_not_bounded_by_own_grants_after_a_young_incarnation)
{
    take_over();
    report(2, 5, state().m_token);
    report(3, 7'000'000, fence_of(state(), worker()));
    report(3, 7'000'010, fence_of(state(), worker()));
    EXPECT_EQ(worker().m_stale_until_ms, 7'000'010 + state().m_settings.m_longest_lease.count());
}

// Guards against a second run of a task by a successor: the young incarnation, cut off after its first report, holds a
// lease of an earlier decider that was meant for the incarnation before it.
TEST_F(stale_lease, of_an_earlier_decider_is_assumed_on_a_young_incarnation)
{
    m_simulation.take_over();
    report(2, 7'000'000, state().m_token);
    EXPECT_EQ(worker().m_stale_until_ms, 7'000'000 + state().m_settings.m_longest_lease.count());
    EXPECT_FALSE(worker().m_takes_stale_leases) << "the token of the term is above those of all earlier calls";
}

TEST_F(stale_lease, of_an_earlier_decider_is_assumed_on_an_incarnation_of_unknown_age)
{
    m_simulation.take_over();
    m_age.reset();
    report(2, 4'000, state().m_token);
    EXPECT_GT(worker().m_stale_until_ms, 0);
}

// Guards against waiting for stale leases that have ended: a late call arrives at most 12 s after it was sent, and a
// lease from it lasts 10 s.
TEST_F(stale_lease, of_an_earlier_decider_is_not_assumed_on_an_old_incarnation)
{
    m_simulation.take_over();
    m_age = milliseconds{31'000};
    report(2, 4'000, state().m_token);
    EXPECT_EQ(worker().m_stale_until_ms, 0);
}

TEST_F(stale_lease, of_an_earlier_decider_is_not_assumed_long_after_its_term)
{
    m_simulation.take_over();
    state().m_elected = now() - milliseconds{32'000};
    report(2, 4'000, state().m_token);
    EXPECT_EQ(worker().m_stale_until_ms, 0);
}

// Guards against the first decider of a deployment that takes each new worker for one that has started again.
TEST_F(stale_lease, is_not_assumed_without_an_earlier_decider)
{
    m_simulation.take_over();
    state().m_has_predecessor = false;
    report(2, 4'000, state().m_token);
    EXPECT_EQ(worker().m_stale_until_ms, 0);
}

// Guards against a long-running task that waits for the end of a stale lease, up to 10 s, as its worker was lost soon
// after it had restarted, although another worker had room.
TEST_F(stale_lease, is_avoided_by_long_running_tasks)
{
    m_simulation.add_vms("orders", 1);
    m_simulation.run_for(milliseconds{50});
    restart();
    static_cast<void>(m_simulation.submit(make_long_running_job("orders", 4, 1)));
    m_simulation.run_for(milliseconds{100});
    EXPECT_TRUE(worker().m_runs.empty());
    EXPECT_EQ(state().m_workers[1].m_runs.size(), 4U);
}

// Guards against tasks that do not run as all workers with room may hold stale leases.
TEST_F(stale_lease, is_accepted_if_no_other_worker_has_room)
{
    restart();
    static_cast<void>(m_simulation.submit(make_long_running_job("orders", 1, 1)));
    static_cast<void>(m_simulation.submit(make_job("orders", 1, 1'000, milliseconds{500})));
    m_simulation.run_for(milliseconds{100});
    EXPECT_EQ(worker().m_runs.size(), 2U);
}

// Guards against a second run of a task whose start was carried out by an incarnation that has not reported, and that
// is cut off then: only the clock in its response tells that it has restarted.
TEST_F(stale_lease, is_detected_by_the_clock_in_the_response_to_a_start)
{
    m_simulation.run_for(milliseconds{8'000});
    const auto token = fence_of(state(), worker());
    const auto expected = worker().m_clock_ms;
    EXPECT_FALSE(detect_restart(state(), 0, worker().m_incarnation_start_unix_ms, expected + 90,
                                now() + milliseconds{50}, now() + milliseconds{100}));
    EXPECT_FALSE(worker().m_takes_stale_leases);
    EXPECT_TRUE(detect_restart(state(), 0, worker().m_incarnation_start_unix_ms, 700, now() + milliseconds{50},
                               now() + milliseconds{100}));
    EXPECT_GT(fence_of(state(), worker()), token);
    EXPECT_TRUE(worker().m_unresponsive) << "ends that the last incarnation reported would be acknowledged";
    EXPECT_EQ(find_obstacle(worker(), now()), worker_obstacle::fence_not_answered);
    EXPECT_GE(lease_end(state(), worker()), now() + state().m_settings.m_longest_lease);
    const auto listed = begin_lease_list(state(), now());
    EXPECT_EQ(restarted_workers(state(), listed, now()).size(), 1U);
}

// Guards against a lease that lasts longer than is known, on a worker that restarts soon after its start: the clock of
// the new incarnation is behind that of the last one by less than a second.
TEST_F(stale_lease, of_a_young_worker_is_detected_by_a_clock_that_is_slightly_behind)
{
    const auto incarnation = worker().m_incarnation_start_unix_ms;
    const auto expected = worker().m_clock_ms;
    const auto margin = state().m_settings.m_lease_margin;
    const auto sent = worker().m_clock_read;
    EXPECT_FALSE(detect_restart(state(), 0, incarnation, expected - margin.count(), sent, sent));
    EXPECT_TRUE(detect_restart(state(), 0, incarnation, expected - margin.count() - 1, sent, sent));
}

// Guards against a second run of a task whose start was carried out by the next incarnation: a report of the last one
// was applied after the start had been sent.
TEST_F(stale_lease, is_detected_although_a_report_came_between_a_start_and_its_response)
{
    m_simulation.run_for(milliseconds{8'000});
    const auto incarnation = worker().m_incarnation_start_unix_ms;
    const auto sent = worker().m_clock_read - milliseconds{300};
    const auto received = worker().m_clock_read + milliseconds{200};
    EXPECT_FALSE(detect_restart(state(), 0, incarnation, worker().m_clock_ms - 300, sent, received));
    EXPECT_TRUE(detect_restart(state(), 0, incarnation, 700, sent, received));
}

// Guards against a lease that lasts longer than is known: the response to a start was under way for so long that its
// clock may be that of the last incarnation.
TEST_F(stale_lease, is_measured_by_the_clock_of_a_slow_response_to_a_start)
{
    const auto incarnation = worker().m_incarnation_start_unix_ms;
    const auto sent = worker().m_clock_read;
    const auto received = sent + milliseconds{700};
    const auto reading_ms = worker().m_clock_ms;
    EXPECT_FALSE(detect_restart(state(), 0, incarnation, reading_ms, sent, received));
    const auto left = milliseconds{worker().m_lease_until_ms - reading_ms};
    EXPECT_GE(lease_end(state(), worker()), received + left);
}

// Guards against a second run of a task that a late call keeps alive: the new incarnation reports once, in response to
// a call with the old token, and is cut off before it has answered one with the raised token. A call to the last
// incarnation may still reach it, with the longest lease.
TEST_F(stale_lease, is_not_bounded_by_the_last_response_before_the_raised_token_is_answered)
{
    report(2, 5, fence_of(state(), worker()));
    ASSERT_TRUE(worker().m_takes_stale_leases);
    const auto& settings = state().m_settings;
    EXPECT_GE(lease_end(state(), worker()), now() + settings.m_late_call_time + settings.m_longest_lease);
}

// Guards against a lease that ends too early: after a restart was detected by the response to a start, a report of the
// last incarnation arrives, whose clock is ahead of that of the new one.
TEST_F(stale_lease, outlasts_a_delayed_report_of_the_last_incarnation)
{
    m_simulation.run_for(milliseconds{8'000});
    const auto token = fence_of(state(), worker());
    const auto last_clock_ms = worker().m_clock_ms;
    const auto incarnation = worker().m_incarnation_start_unix_ms;
    ASSERT_TRUE(detect_restart(state(), 0, worker().m_incarnation_start_unix_ms, 700, now(), now()));
    report(incarnation, last_clock_ms + 10, token);
    EXPECT_GE(lease_end(state(), worker()), now() + state().m_settings.m_longest_lease);
}

// Guards against leases by the clock of the last incarnation: its response to a start arrives after the new incarnation
// has reported.
TEST_F(stale_lease, is_not_measured_by_a_delayed_response_of_the_last_incarnation_to_a_start)
{
    m_simulation.run_for(milliseconds{8'000});
    const auto last_clock_ms = worker().m_clock_ms;
    const auto called = worker().m_incarnation_start_unix_ms;
    report(2, 700, fence_of(state(), worker()));
    report(2, 710, fence_of(state(), worker()));
    static_cast<void>(detect_restart(state(), 0, called, last_clock_ms + 100, now() - milliseconds{700}, now()));
    report(2, 720, fence_of(state(), worker()));
    EXPECT_EQ(worker().m_clock_ms, 720);
    state().m_grant_limit = now() + milliseconds{5'000};
    EXPECT_LE(grant_lease(state(), 0, now()), 720 + state().m_settings.m_worker_lease.count());
    EXPECT_GE(lease_end(state(), worker()), now() + state().m_settings.m_longest_lease);
}

// Guards against a bound by own grants alone: a call of an earlier decider, whose leases have ended by the clock of the
// incarnation that reported first, reaches the next incarnation, whose clock is behind them.
TEST_F(stale_lease, from_a_late_call_of_an_earlier_decider_is_assumed_before_the_first_grant)
{
    take_over();
    state().m_elected = now() - milliseconds{6'000};
    m_age = milliseconds{100'000};
    report(1, 7'000'000, state().m_token);
    ASSERT_EQ(worker().m_lease_until_ms, 0);
    m_age = milliseconds{700};
    report(2, 100, state().m_token);
    report(2, 110, fence_of(state(), worker()));
    EXPECT_EQ(worker().m_stale_until_ms, 110 + state().m_settings.m_longest_lease.count());
}

// Guards against a worker that counts as leased, and is listed as such, long after its stale lease has ended.
TEST_F(stale_lease, is_forgotten_when_it_has_ended)
{
    report(2, 5, fence_of(state(), worker()));
    report(2, 5, fence_of(state(), worker()));
    const auto end = lease_end(state(), worker());
    forget_ended_stale_leases(state(), end - milliseconds{1});
    EXPECT_GT(worker().m_stale_until_ms, 0);
    forget_ended_stale_leases(state(), end);
    EXPECT_EQ(worker().m_stale_until_ms, 0);
}

} // namespace cicadalug::test
