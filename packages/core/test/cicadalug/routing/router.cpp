#include "router_fixture.hpp"

#include <cicadalug/routing/router.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace {

using namespace cicadalug;
using namespace cicadalug::test;

constexpr time_point start{seconds{1'000}};
constexpr time_point late_deadline = start + seconds{10};

class router : public testing::Test {
protected:
    auto use(const fleet_view& view) -> void { std::ignore = apply_view(m_state, view, m_now); }

    [[nodiscard]] auto send(const std::string& id, const std::string& service = "s") -> routing_effects
    {
        return submit(m_state, make_request(id, late_deadline, service), m_now);
    }

    /**
     * @brief Sends idempotent requests one after the other. Attempts on the failing VMs fail after 1 ms, others are
     * answered after 100 ms.
     * @return Number of attempts per VM.
     */
    auto run_jobs(const int count, const std::set<std::string>& failing) -> std::map<std::string, int>
    {
        std::map<std::string, int> starts;
        for (auto number = 0; number < count; ++number) {
            auto request = make_request("job-" + std::to_string(m_jobs++), m_now + seconds{10});
            request.m_idempotent = true;
            auto effects = submit(m_state, request, m_now);
            while (!effects.m_starts.empty()) {
                const auto attempt = effects.m_starts.front();
                ++starts[attempt.m_vm.str()];
                const auto fails = failing.contains(attempt.m_vm.str());
                m_now += fails ? milliseconds{1} : milliseconds{100};
                effects = complete(m_state, attempt.m_attempt,
                                   fails ? attempt_outcome::failed : attempt_outcome::answered, m_now);
            }
            std::ignore = tick(m_state, m_now);
        }
        return starts;
    }

    routing_state m_state{make_state()};
    time_point m_now{start};
    int m_jobs{0};
};

// Guards against work for a VM that is leaving, draining or removed from the list, and against a drain that is
// confirmed too early.
TEST_F(router, leaving_and_draining_vms_get_no_new_work)
{
    auto view = make_view(3, 0, 0, 0);
    use(view);
    const auto first = send("1").m_starts.at(0);
    view.m_leaving.insert(vm_id{"p-0"});
    view.m_vms[vm_id{"p-1"}].m_phase = vm_phase::announced;
    view.m_vms.erase(vm_id{"p-2"});
    use(view);
    EXPECT_TRUE(send("2").m_starts.empty());
    EXPECT_EQ(in_flight(m_state, first.m_vm), 1);
    std::ignore = complete(m_state, first.m_attempt, attempt_outcome::answered, m_now);
    EXPECT_EQ(in_flight(m_state, first.m_vm), 0);
}

// Guards against a drain that is confirmed while a timed-out job may still be running.
TEST_F(router, a_timed_out_attempt_keeps_its_slot_until_the_hold_ends)
{
    use(make_view(1, 1, 0, 0, 1));
    const auto attempt = send("1").m_starts.at(0);
    const auto effects = complete(m_state, attempt.m_attempt, attempt_outcome::timed_out, m_now + seconds{5});
    EXPECT_EQ(effects.m_outcomes.at(0).m_kind, outcome_kind::unknown);
    EXPECT_EQ(in_flight(m_state, attempt.m_vm), 1);
    std::ignore = tick(m_state, late_deadline - milliseconds{1});
    EXPECT_EQ(in_flight(m_state, attempt.m_vm), 1);
    std::ignore = tick(m_state, late_deadline);
    EXPECT_EQ(in_flight(m_state, attempt.m_vm), 0);
}

// Guards against an upstream that fails all jobs immediately and thereby attracts most of the work.
TEST_F(router, fast_failures_do_not_attract_work)
{
    use(make_view(4, 4, 0, 0));
    auto starts = run_jobs(200, {"p-0"});
    EXPECT_LT(starts["p-0"], 20);
}

// Guards against an upstream that fails fast, so that its slots become free at once and take the whole queue.
TEST_F(router, a_slot_that_failed_fast_gets_no_more_work_than_a_healthy_one)
{
    use(make_view(2, 2, 0, 0));
    std::vector<start_attempt> started;
    for (auto number = 0; number < 8; ++number) {
        const auto effects = send(std::to_string(number));
        started.insert(started.end(), effects.m_starts.begin(), effects.m_starts.end());
    }
    ASSERT_EQ(started.size(), 4U);
    for (const auto& attempt : started) {
        if (attempt.m_vm == vm_id{"p-0"}) {
            EXPECT_TRUE(complete(m_state, attempt.m_attempt, attempt_outcome::failed, m_now).m_starts.empty());
        }
    }
    EXPECT_EQ(tick(m_state, m_now + milliseconds{99}).m_starts.size(), 0U);
    EXPECT_EQ(tick(m_state, m_now + milliseconds{100}).m_starts.size(), 2U);
}

// Guards against a rack that lost power and gets work until each of its upstreams has failed several times.
TEST_F(router, a_rack_that_fails_together_is_ejected_at_once)
{
    use(make_view(8, 4, 0, 0));
    std::map<vm_id, attempt_id> first;
    for (auto number = 0; number < 16; ++number) {
        const auto attempt = send(std::to_string(number)).m_starts.at(0);
        first.try_emplace(attempt.m_vm, attempt.m_attempt);
    }
    for (const auto* vm : {"p-0", "p-1", "p-2"}) {
        EXPECT_EQ(pool_usages(m_state).at(0).m_slots, 16);
        std::ignore = complete(m_state, first.at(vm_id{vm}), attempt_outcome::connect_failed, m_now);
    }
    EXPECT_EQ(pool_usages(m_state).at(0).m_slots, 8);
}

// Guards against an upstream that accepts connections but never responds.
TEST_F(router, an_unresponsive_upstream_is_ejected_before_its_requests_time_out)
{
    use(make_view(2, 1, 0, 0, 4));
    std::vector<start_attempt> started;
    started.reserve(8);
    for (auto number = 0; number < 8; ++number) {
        started.push_back(send(std::to_string(number)).m_starts.at(0));
    }
    for (const auto& attempt : started) {
        if (attempt.m_vm == vm_id{"p-1"}) {
            std::ignore = complete(m_state, attempt.m_attempt, attempt_outcome::answered, m_now + milliseconds{50});
        }
    }
    EXPECT_EQ(pool_usages(m_state).at(0).m_slots, 8);
    std::ignore = tick(m_state, m_now + seconds{2});
    EXPECT_EQ(pool_usages(m_state).at(0).m_slots, 4);
}

// Guards against more work for an upstream that reported that it is leaving, while the list of VMs is outdated.
TEST_F(router, a_leaving_upstream_gets_no_work_until_its_probes_succeed)
{
    use(make_view(2, 2, 0, 0));
    const auto first = send("1").m_starts.at(0);
    const auto again = complete(m_state, first.m_attempt, attempt_outcome::leaving, m_now).m_starts.at(0);
    EXPECT_NE(again.m_vm, first.m_vm);
    EXPECT_EQ(pool_usages(m_state).at(0).m_slots, 2);
    for (auto step = 0; step < 200; ++step) {
        m_now += milliseconds{10};
        for (const auto& probe : tick(m_state, m_now).m_probes) {
            std::ignore = complete(m_state, probe.m_attempt, attempt_outcome::answered, m_now);
        }
    }
    EXPECT_EQ(pool_usages(m_state).at(0).m_slots, 4);
}

// Guards against ejection below the promised capacity: two of four upstreams can be ejected, and other failing ones
// stay in use as a last resort.
TEST_F(router, ejection_stops_at_the_promised_capacity_and_probes_readmit)
{
    use(make_view(4, 2, 0, 0));
    const std::set<std::string> failing{"p-0", "p-1", "p-2", "p-3"};
    run_jobs(20, failing);
    EXPECT_EQ(pool_usages(m_state).at(0).m_slots, 4);
    std::set<std::string> probed;
    for (auto step = 0; step < 400; ++step) {
        m_now += milliseconds{10};
        for (const auto& probe : tick(m_state, m_now).m_probes) {
            probed.insert(probe.m_vm.str());
            std::ignore = complete(m_state, probe.m_attempt, attempt_outcome::answered, m_now);
        }
    }
    EXPECT_EQ(probed, failing);
    EXPECT_EQ(pool_usages(m_state).at(0).m_slots, 8);
}

// Guards against a retry budget that is ignored, and against one exhausted by jobs that can never run.
TEST_F(router, retries_stay_within_the_budget_and_never_runs_is_free)
{
    use(make_view(4, 4, 0, 0));
    auto retries = 0;
    for (auto number = 0; number < 100; ++number) {
        const auto id = std::to_string(number);
        auto attempt = send("never-" + id).m_starts.at(0);
        const auto effects = complete(m_state, attempt.m_attempt, attempt_outcome::never_runs, m_now);
        EXPECT_EQ(effects.m_outcomes.at(0).m_reason, outcome_reason::never_runs);
        EXPECT_EQ(effects.m_outcomes.at(0).m_kind, outcome_kind::not_run);
    }
    for (auto number = 0; number < 100; ++number) {
        auto effects = send(std::to_string(number));
        while (!effects.m_starts.empty()) {
            const auto attempt = effects.m_starts.at(0);
            effects = complete(m_state, attempt.m_attempt, attempt_outcome::no_slot, m_now);
            retries += effects.m_starts.empty() ? 0 : 1;
        }
        EXPECT_LE(effects.m_outcomes.size(), 1U);
        m_now += milliseconds{200};
        std::ignore = tick(m_state, m_now);
    }
    EXPECT_LE(retries, 30);
    EXPECT_GE(retries, 20);
}

// Guards against retries of jobs that can never run exhausting the budget of the others.
TEST_F(router, the_retry_of_a_job_that_never_runs_is_refunded)
{
    use(make_view(4, 4, 0, 0));
    for (auto number = 0; number < 100; ++number) {
        auto request = make_request(std::to_string(number), m_now + seconds{10});
        request.m_idempotent = true;
        const auto first = submit(m_state, request, m_now).m_starts.at(0);
        const auto effects = complete(m_state, first.m_attempt, attempt_outcome::failed, m_now);
        ASSERT_EQ(effects.m_starts.size(), 1U) << number;
        const auto last = complete(m_state, effects.m_starts.at(0).m_attempt, attempt_outcome::never_runs, m_now);
        EXPECT_EQ(last.m_outcomes.at(0).m_kind, outcome_kind::unknown);
        m_now += milliseconds{200};
        std::ignore = tick(m_state, m_now);
    }
}

// Guards against a retry on an upstream that was already tried.
TEST_F(router, a_retry_prefers_another_upstream)
{
    use(make_view(4, 4, 0, 0, 8));
    auto effects = send("1");
    std::set<std::string> tried;
    for (auto count = 0; count < 4; ++count) {
        tried.insert(effects.m_starts.at(0).m_vm.str());
        effects = complete(m_state, effects.m_starts.at(0).m_attempt, attempt_outcome::connect_failed, m_now);
    }
    EXPECT_EQ(tried.size(), 4U);
    EXPECT_EQ(effects.m_outcomes.at(0).m_kind, outcome_kind::not_run);
}

// Guards against overflow that uses the promised capacity of the spare pool, and against missing overflow.
TEST_F(router, overflows_to_the_spare_pool_down_to_its_promised_capacity)
{
    use(make_view(1, 1, 4, 3));
    std::map<std::string, int> starts;
    std::vector<attempt_id> overflow;
    for (auto number = 0; number < 8; ++number) {
        for (const auto& attempt : send(std::to_string(number)).m_starts) {
            ++starts[attempt.m_vm.str().substr(0, 2)];
            if (attempt.m_vm.str().starts_with("spare")) {
                overflow.push_back(attempt.m_attempt);
            }
        }
    }
    EXPECT_EQ(starts["p-"], 2);
    EXPECT_EQ(starts["sp"], 2);
    EXPECT_EQ(send("own", "c").m_starts.size(), 1U);
    // The end of an overflow request allows the next one to start.
    for (auto round = 0; round < 4; ++round) {
        const auto ended = std::exchange(overflow, {});
        for (const auto attempt : ended) {
            for (const auto& next : complete(m_state, attempt, attempt_outcome::answered, m_now).m_starts) {
                overflow.push_back(next.m_attempt);
            }
        }
        EXPECT_EQ(overflow.size(), round < 2 ? 2U : 0U);
    }
}

// Guards against an unbounded queue, a refusal without a retry delay, and an urgent request that is refused in favor of
// normal ones.
TEST_F(router, a_full_queue_refuses_with_a_retry_delay_and_urgent_work_displaces_normal_work)
{
    use(make_view(1, 1, 0, 0));
    for (auto number = 0; number < 10; ++number) {
        EXPECT_TRUE(send(std::to_string(number)).m_outcomes.empty());
    }
    const auto refused = send("10").m_outcomes.at(0);
    EXPECT_EQ(refused.m_reason, outcome_reason::queue_full);
    EXPECT_GT(refused.m_retry_after, milliseconds{0});
    auto urgent = make_request("urgent", late_deadline);
    urgent.m_urgent = true;
    EXPECT_EQ(submit(m_state, urgent, m_now).m_outcomes.at(0).m_request, request_id{"9"});
}

// Guards against queuing requests whose deadline cannot be met.
TEST_F(router, a_request_that_cannot_meet_its_deadline_is_refused_early)
{
    use(make_view(1, 1, 0, 0, 1));
    std::ignore = send("1");
    const auto refused = submit(m_state, make_request("2", m_now + milliseconds{120}), m_now).m_outcomes.at(0);
    EXPECT_EQ(refused.m_reason, outcome_reason::deadline);
    EXPECT_GT(refused.m_retry_after, milliseconds{0});
}

// Guards against slots wasted on requests that waited until their deadline could no longer be met, while others wait.
TEST_F(router, a_request_that_waited_too_long_is_refused_and_not_started)
{
    use(make_view(1, 1, 0, 0, 1));
    const auto first = send("1").m_starts.at(0);
    std::ignore = submit(m_state, make_request("2", m_now + milliseconds{500}), m_now);
    std::ignore = send("3");
    const auto effects = complete(m_state, first.m_attempt, attempt_outcome::answered, m_now + milliseconds{450});
    EXPECT_EQ(effects.m_outcomes.at(1).m_request, request_id{"2"});
    EXPECT_EQ(effects.m_outcomes.at(1).m_kind, outcome_kind::not_run);
    EXPECT_EQ(effects.m_starts.at(0).m_request, request_id{"3"});
}

// Guards against one team that keeps the slots from other teams, and against urgent work that waits behind normal work.
TEST_F(router, a_team_at_its_quota_waits_while_others_wait)
{
    auto view = make_view(2, 2, 0, 0);
    view.m_teams[team_id{"big"}] = {team_id{"big"}, 0.5};
    use(view);
    std::vector<start_attempt> started;
    for (auto number = 0; number < 10; ++number) {
        auto request = make_request(std::to_string(number), late_deadline);
        request.m_team = team_id{number < 6 ? "big" : "small"};
        request.m_urgent = number == 9;
        const auto effects = submit(m_state, request, m_now);
        started.insert(started.end(), effects.m_starts.begin(), effects.m_starts.end());
    }
    ASSERT_EQ(started.size(), 4U);
    const auto next = [&](const std::size_t number) {
        const auto effects = complete(m_state, started[number].m_attempt, attempt_outcome::answered, m_now);
        started.insert(started.end(), effects.m_starts.begin(), effects.m_starts.end());
        return effects.m_starts.at(0).m_request;
    };
    EXPECT_EQ(next(0), request_id{"9"});
    EXPECT_EQ(next(1), request_id{"6"});
    EXPECT_EQ(next(2), request_id{"4"});
}

// Guards against requests that stay in the queue of a pool that their service no longer uses.
TEST_F(router, waiting_requests_follow_their_service_to_another_pool)
{
    auto view = make_view(1, 1, 2, 2);
    use(view);
    for (auto number = 0; number < 4; ++number) {
        std::ignore = send(std::to_string(number));
    }
    view.m_services[service_id{"s"}].m_pool = pool_id{"spare"};
    EXPECT_EQ(apply_view(m_state, view, m_now).m_starts.size(), 2U);
    EXPECT_EQ(pool_usages(m_state).at(0).m_waiting, 0);
}

// Guards against cancelled requests that stay in the queue.
TEST_F(router, many_cancellations_free_the_queue_at_once)
{
    auto view = make_view(1, 1, 0, 0);
    view.m_services[service_id{"s"}].m_queue_limit = 10'000;
    use(view);
    for (auto number = 0; number < 5'000; ++number) {
        std::ignore = submit(m_state, make_request(std::to_string(number), m_now + seconds{3'600}), m_now);
    }
    EXPECT_EQ(pool_usages(m_state).at(0).m_waiting, 4'998);
    for (auto number = 4'999; number >= 0; --number) {
        EXPECT_TRUE(cancel(m_state, request_id{std::to_string(number)}, m_now).m_outcomes.empty());
    }
    EXPECT_EQ(pool_usages(m_state).at(0).m_waiting, 0);
}

// Guards against slots of an idle peer that cannot be borrowed, and against a loan that is kept without need.
TEST_F(router, borrows_from_an_idle_peer_and_returns)
{
    const auto view = make_view(4, 4, 0, 0);
    auto peer = make_state("b");
    use(view);
    std::ignore = apply_view(peer, view, m_now);
    std::ignore = apply_peers(m_state, {{entry_vm_id{"b"}, incarnation{1}}}, m_now);
    std::ignore = apply_peers(peer, {{entry_vm_id{"a"}, incarnation{1}}}, m_now);
    const auto own = pool_usages(m_state).at(0).m_slots;
    EXPECT_EQ(own + pool_usages(peer).at(0).m_slots, 8);
    std::vector<start_attempt> started;
    for (auto number = 0; number < 8; ++number) {
        for (const auto& attempt : send(std::to_string(number)).m_starts) {
            started.push_back(attempt);
        }
    }
    EXPECT_EQ(static_cast<int>(started.size()), own);
    auto requested = tick(m_state, m_now);
    const auto granted = receive(peer, requested.m_messages.at(0).m_message, m_now);
    for (const auto& attempt : receive(m_state, granted.m_messages.at(0).m_message, m_now).m_starts) {
        started.push_back(attempt);
    }
    EXPECT_GT(static_cast<int>(started.size()), own);
    for (auto next = std::size_t{0}; next < started.size(); ++next) {
        const auto effects = complete(m_state, started[next].m_attempt, attempt_outcome::answered, m_now);
        started.insert(started.end(), effects.m_starts.begin(), effects.m_starts.end());
    }
    for (const auto& message : tick(m_state, m_now).m_messages) {
        std::ignore = receive(peer, message.m_message, m_now);
    }
    EXPECT_EQ(pool_usages(m_state).at(0).m_slots, own);
    EXPECT_EQ(pool_usages(peer).at(0).m_slots, 8 - own);
}

// Guards against an entry VM that keeps borrowed slots, or lends more, while it shuts down.
TEST_F(router, a_graceful_shutdown_returns_borrowed_slots_and_lends_none)
{
    use(make_view(4, 4, 0, 0));
    std::ignore = apply_peers(m_state, {{entry_vm_id{"b"}, incarnation{1}}}, m_now);
    const slot_request lend_request{entry_vm_id{"b"}, incarnation{1}, 1, pool_id{"p"}, 1, 1'000, false};
    EXPECT_EQ(receive(m_state, lend_request, m_now).m_messages.size(), 1U);
    const slot_request unknown_peer_request{entry_vm_id{"x"}, incarnation{1}, 1, pool_id{"p"}, 1, 1'000, false};
    EXPECT_TRUE(receive(m_state, unknown_peer_request, m_now).m_messages.empty());
    for (auto number = 0; number < 12; ++number) {
        std::ignore = send(std::to_string(number));
    }
    const auto slots_request = std::get<slot_request>(tick(m_state, m_now).m_messages.at(0).m_message);
    auto peer = make_state("b");
    std::ignore = apply_view(peer, make_view(4, 4, 0, 0), m_now);
    std::ignore = apply_peers(peer, {{entry_vm_id{"a"}, incarnation{1}}}, m_now);
    const auto grant = receive(peer, slots_request, m_now).m_messages.at(0).m_message;
    const auto started = receive(m_state, grant, m_now).m_starts;
    ASSERT_FALSE(started.empty());
    EXPECT_TRUE(return_slots(m_state, m_now).m_messages.empty());
    for (auto number = 0; number < 12; ++number) {
        std::ignore = cancel(m_state, request_id{std::to_string(number)}, m_now);
    }
    std::ignore = complete(m_state, started.at(0).m_attempt, attempt_outcome::answered, m_now);
    EXPECT_EQ(tick(m_state, m_now).m_messages.size(), 1U);
    for (auto number = 1; number < 20; ++number) {
        std::ignore =
            complete(m_state, attempt_id{static_cast<std::uint64_t>(number)}, attempt_outcome::answered, m_now);
    }
    auto later = lend_request;
    later.m_sequence = 2;
    EXPECT_TRUE(receive(m_state, later, m_now).m_messages.empty());
}

// Guards against surplus slots of the spare pool that a peer with overflow cannot borrow, and against lending promised
// capacity.
TEST_F(router, lends_the_surplus_of_the_spare_pool_for_overflow)
{
    use(make_view(1, 1, 8, 4, 4));
    std::ignore = apply_peers(m_state, {{entry_vm_id{"b"}, incarnation{1}}}, m_now);
    const auto slots = [&] {
        return pool_usages(m_state).at(1).m_slots;
    };
    const auto own = slots();
    slot_request lend_request{entry_vm_id{"b"}, incarnation{1}, 0, pool_id{"spare"}, 16, 60'000, true};
    for (auto count = 0; count < 20; ++count) {
        ++lend_request.m_sequence;
        std::ignore = receive(m_state, lend_request, m_now);
    }
    EXPECT_LT(slots(), own);
    EXPECT_GE(slots(), own / 2);
    const auto kept = slots();
    ++lend_request.m_sequence;
    lend_request.m_overflow = false;
    std::ignore = receive(m_state, lend_request, m_now);
    EXPECT_LT(slots(), kept);
}

// Guards against message traffic that grows with the number of waiting pools.
TEST_F(router, slot_requests_are_limited_regardless_of_waiting_pools)
{
    auto view = make_view(1, 1, 0, 0);
    for (auto number = 0; number < 100; ++number) {
        const auto name = std::to_string(number);
        view.m_pools[pool_id{name}] = {pool_id{name}, false};
        view.m_services[service_id{name}] = view.m_services[service_id{"s"}];
        view.m_services[service_id{name}].m_pool = pool_id{name};
        auto record = view.m_vms[vm_id{"p-0"}];
        record.m_vm = vm_id{"vm-" + name};
        record.m_pool = pool_id{name};
        view.m_vms[record.m_vm] = record;
    }
    use(view);
    std::ignore = apply_peers(m_state, {{entry_vm_id{"b"}, incarnation{1}}}, m_now);
    for (auto number = 0; number < 400; ++number) {
        std::ignore =
            submit(m_state, make_request(std::to_string(number), late_deadline, std::to_string(number % 100)), m_now);
    }
    std::size_t messages{0};
    for (auto step = 0; step < 100; ++step) {
        m_now += milliseconds{10};
        messages += tick(m_state, m_now).m_messages.size();
    }
    EXPECT_GE(messages, 15U);
    EXPECT_LE(messages, 21U);
}

// Guards against overflow that is limited to the own surplus while the surplus of a peer is unused, and against a loan
// that is kept although its remaining term is too short for another request.
TEST_F(router, borrows_surplus_for_overflow_and_returns_unusable_slots)
{
    auto view = make_view(1, 1, 4, 2, 4);
    // The run-time bound is 2.32 s here and a loan lasts 4.32 s. The test ends before jobs are overdue.
    for (auto& [id, service] : view.m_services) {
        service.m_default_deadline = seconds{1};
        service.m_declared_run_time = milliseconds{500};
    }
    view.m_services[service_id{"s"}].m_queue_limit = 100;
    auto peer = make_state("b");
    use(view);
    std::ignore = apply_view(peer, view, m_now);
    std::ignore = apply_peers(m_state, {{entry_vm_id{"b"}, incarnation{1}}}, m_now);
    std::ignore = apply_peers(peer, {{entry_vm_id{"a"}, incarnation{1}}}, m_now);
    for (auto number = 0; number < 60; ++number) {
        std::ignore = submit(m_state, make_request(std::to_string(number), m_now + milliseconds{3'200}), m_now);
    }
    std::vector<start_attempt> borrowed;
    std::size_t returned{0};
    auto overflowed = 0;
    for (auto step = 0; step < 230; ++step) {
        m_now += milliseconds{10};
        for (const auto& sent : tick(m_state, m_now).m_messages) {
            returned += std::holds_alternative<slot_return>(sent.m_message) ? 1U : 0U;
            // Later requests are dropped, so that all terms end at about the same time.
            const auto replies =
                step < 10 ? receive(peer, sent.m_message, m_now).m_messages : std::vector<outgoing_slot_message>{};
            for (const auto& reply : replies) {
                const auto starts = receive(m_state, reply.m_message, m_now).m_starts;
                borrowed.insert(borrowed.end(), starts.begin(), starts.end());
            }
        }
        if (step == 225) {
            for (const auto& attempt : std::exchange(borrowed, {})) {
                overflowed += attempt.m_vm.str().starts_with("spare") ? 1 : 0;
                EXPECT_TRUE(complete(m_state, attempt.m_attempt, attempt_outcome::never_runs, m_now).m_starts.empty());
                ++m_jobs;
            }
        }
    }
    EXPECT_GT(pool_usages(m_state).at(0).m_waiting, 0);
    EXPECT_GT(overflowed, 0);
    EXPECT_GE(returned, static_cast<std::size_t>(m_jobs));
}

} // namespace
