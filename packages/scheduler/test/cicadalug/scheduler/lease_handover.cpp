#include "scheduler_simulation.hpp"

#include <cicadalug/scheduler/lease_bounds.hpp>
#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/worker_fence.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>
#include <cicadalug/scheduler/worker_obstacle.hpp>

#include <gtest/gtest.h>

#include <cstddef>

namespace cicadalug::test {

namespace {

constexpr time_point start{milliseconds{1'000'000}};
const worker_id worker{"w1"};
constexpr std::int64_t first_incarnation{1'700'000'000'000};
constexpr std::int64_t next_incarnation{1'700'000'010'000};
constexpr milliseconds lease_left{3'500};

[[nodiscard]] auto entry_of(const std::int64_t incarnation) -> worker_entry
{
    worker_entry entry;
    entry.m_id = worker;
    entry.m_vm = vm_id{"vm1"};
    entry.m_service = service_id{"quotes"};
    entry.m_address = "127.0.0.1:1";
    entry.m_capacity = {millicores{32'000}, mebibytes{65'536}, 0};
    entry.m_incarnation_start_unix_ms = incarnation;
    return entry;
}

[[nodiscard]] auto report_of(const std::int64_t incarnation, const milliseconds age, const std::int64_t clock_ms,
                             const fencing_token token) -> worker_report
{
    worker_report report;
    report.m_incarnation_start_unix_ms = incarnation;
    report.m_incarnation_age = age;
    report.m_clock_ms = clock_ms;
    report.m_token = token;
    return report;
}

/** @brief A worker of which a lease of 3.5 s is left when its decider writes the list, and the end as the successor
 * computes it: after the write, by its own clock. */
[[nodiscard]] auto stored_end(const milliseconds term) -> milliseconds
{
    lease_bounds written;
    written.m_token = fencing_token{100};
    written.m_written = term;
    written.m_leases[worker].m_end = term + lease_left;
    const auto bounds = decode_lease_bounds(encode(written));
    store_revisions revisions;
    record_arrival(revisions, store_revision{99}, start - milliseconds{500});
    record_arrival(revisions, store_revision{100}, start);
    const auto write = start + term;
    record_arrival(revisions, store_revision{200}, write);
    const auto election =
        latest_election(*bounds, {{store_revision{200}, bounds->m_written}}, revisions, write + milliseconds{1'200});
    return std::chrono::duration_cast<milliseconds>(election + *bounds->m_leases.at(worker).m_end - write);
}

} // namespace

// Guards against a successor for which the leases of silent workers have ended as its predecessor was long in office.
TEST(lease_handover, a_long_term_does_not_shorten_leases)
{
    EXPECT_GE(stored_end(milliseconds{3'590'000}), lease_left);
    EXPECT_GE(stored_end(milliseconds{3'600'000}), lease_left);
    EXPECT_GE(stored_end(milliseconds{7'200'000}), lease_left);
}

// Guards against a young worker that counts as settled although calls to its earlier incarnation may still arrive: the
// last decider has seen its entry, but had no response of it.
TEST(lease_handover, an_incarnation_that_only_its_entry_has_shown_is_not_settled)
{
    for (const bool responds_to_nobody : {false, true}) {
        scheduler_state first;
        first.m_token = fencing_token{10};
        first.m_began = start;
        first.m_has_predecessor = false;
        first.m_grant_limit = start + milliseconds{60'000};
        first.m_fence_limit = fencing_token{1'000};
        register_worker(first, entry_of(first_incarnation));
        const auto report = report_of(first_incarnation, milliseconds{600'000}, 5'000'000, fencing_token{10});
        apply_report(first, 0, report, start, start);
        static_cast<void>(grant_lease(first, 0, start));
        // The worker restarts; a renewal to its first incarnation is under way, with a lease by that one's clock.
        register_worker(first, entry_of(next_incarnation));
        first.m_workers[0].m_unresponsive = responds_to_nobody;
        const auto now = start + milliseconds{700};
        const auto leased = begin_lease_list(first, now);
        ASSERT_EQ(leased.size(), 1U);
        const auto bounds = lease_bounds_of(first, leased, now);
        const auto incarnations = incarnations_of_listed_workers(first, leased, now);

        scheduler_state next;
        next.m_token = fencing_token{20};
        next.m_began = start + milliseconds{2'000};
        next.m_grant_limit = start + milliseconds{60'000};
        next.m_expected_workers = {worker};
        next.m_expected_incarnations = incarnations;
        inherit_lease_bounds(next, bounds, start);
        register_worker(next, entry_of(next_incarnation));
        // The late renewal has reached the next incarnation, which holds it for 10 s.
        const auto heard = start + milliseconds{2'100};
        apply_report(next, 0, report_of(next_incarnation, milliseconds{1'400}, 3'000'000, fencing_token{20}), heard,
                     heard);
        EXPECT_GE(lease_end(next, next.m_workers[0]), heard + next.m_settings.m_longest_lease)
            << "unresponsive " << responds_to_nobody << ", listed incarnations " << incarnations.size();
    }
}

// Guards against a successor that waits for a worker whose leases had ended before the last decider did: the worker has
// come up again since, and is cut off, so that its late calls hold all tasks of its service.
TEST(lease_handover, a_silent_worker_whose_leases_have_ended_is_not_listed_any_more)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 2);
    auto& state = simulation.m_state;
    simulation.worker("w1").m_reachable = false;
    simulation.run_for(milliseconds{8'000});
    const auto& lost = state.m_workers[static_cast<std::size_t>(find_worker(state, worker))];
    ASSERT_LT(lease_end(state, lost), simulation.now());
    const auto leased = begin_lease_list(state, simulation.now());
    EXPECT_EQ(leased.size(), 1U);
    const auto bounds = lease_bounds_of(state, leased, simulation.now());

    scheduler_state next;
    next.m_token = fencing_token{20};
    next.m_began = simulation.now() + milliseconds{1'300};
    next.m_term_guaranteed_until = next.m_began + milliseconds{60'000};
    for (const auto index : leased) {
        next.m_expected_workers.insert(state.m_workers[static_cast<std::size_t>(index)].m_entry.m_id);
    }
    next.m_expected_incarnations[worker] = first_incarnation;
    inherit_lease_bounds(next, bounds, state.m_began);
    register_worker(next, entry_of(next_incarnation));
    next.m_expected_workers.erase(worker_id{"w2"});
    EXPECT_TRUE(is_recovered(next, service_id{"quotes"}, next.m_began + milliseconds{100}));
}

// Guards against an end that is never stored as the write that gave it has failed.
TEST(lease_handover, an_end_is_not_listed_before_its_write_has_succeeded)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    auto& state = simulation.m_state;
    state.m_workers[0].m_unresponsive = true;
    state.m_workers[0].m_silent_since = simulation.now() - milliseconds{1'000};
    ASSERT_TRUE(has_unlisted_end(state, simulation.now()));
    static_cast<void>(begin_lease_list(state, simulation.now()));
    EXPECT_TRUE(has_unlisted_end(state, simulation.now())) << "the write has not succeeded";
}

// Guards against runs that lapse in an outage of the store as their worker did not respond once before it.
TEST(lease_handover, a_worker_that_responds_again_keeps_its_lease_in_an_outage_of_the_store)
{
    scheduler_simulation simulation;
    simulation.begin_with("quotes", 1);
    const auto& state = simulation.m_state;
    simulation.run_for(milliseconds{100});
    simulation.worker("w1").m_reachable = false;
    simulation.run_for(milliseconds{20});
    simulation.worker("w1").m_reachable = true;
    simulation.m_store_up = false;
    simulation.m_term_renewed = false;
    simulation.run_for(milliseconds{4'000});
    ASSERT_LT(simulation.now(), state.m_grant_limit);
    EXPECT_GT(lease_end(state, state.m_workers[0]), simulation.now() + milliseconds{1'000});
}

} // namespace cicadalug::test
