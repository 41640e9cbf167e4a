#include "router_fixture.hpp"

#include <cicadalug/routing/router.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace {

using namespace cicadalug;
using namespace cicadalug::test;

/** @brief History of one request. */
struct request_history {
    bool m_idempotent{false};
    bool m_cancelled{false};
    std::vector<std::pair<attempt_id, std::optional<attempt_outcome>>> m_attempts;
    std::vector<final_outcome> m_outcomes;
    time_point m_deadline;
};

/** @brief Checks each effect against the full history. */
struct outcome_history {
    std::map<request_id, request_history> m_requests;
    std::vector<start_attempt> m_running;
    std::map<vm_id, int> m_running_on;
    std::vector<start_probe> m_probes;

    auto check(const routing_effects& effects, const time_point now) -> void
    {
        for (const auto& reported : effects.m_outcomes) {
            auto& request = m_requests.at(reported.m_request);
            RC_ASSERT(request.m_outcomes.empty());
            RC_ASSERT(!request.m_cancelled);
            request.m_outcomes.push_back(reported);
            for (const auto& [attempt, outcome] : request.m_attempts) {
                RC_ASSERT(reported.m_kind != outcome_kind::not_run || (outcome && is_not_run(*outcome)));
            }
            if (reported.m_kind == outcome_kind::answered) {
                const auto last = request.m_attempts.back().second;
                RC_ASSERT(last == attempt_outcome::answered || last == attempt_outcome::failed);
            }
        }
        for (const auto& started : effects.m_starts) {
            auto& request = m_requests.at(started.m_request);
            RC_ASSERT(request.m_outcomes.empty());
            RC_ASSERT(!request.m_cancelled);
            RC_ASSERT(now < request.m_deadline);
            for (const auto& [attempt, outcome] : request.m_attempts) {
                RC_ASSERT(outcome.has_value());
                RC_ASSERT(request.m_idempotent || is_not_run(*outcome));
            }
            request.m_attempts.emplace_back(started.m_attempt, std::nullopt);
            m_running.push_back(started);
            RC_ASSERT(++m_running_on[started.m_vm] <= 2);
        }
        m_probes.insert(m_probes.end(), effects.m_probes.begin(), effects.m_probes.end());
    }
};

// Guards against a second start of a non-idempotent job that may have run, `not_run` for a job that may have run, two
// attempts on one slot, and a request with no outcome or two.
RC_GTEST_PROP(router_outcomes, each_request_has_one_outcome_and_non_idempotent_jobs_run_once, ())
{
    auto state = make_state();
    time_point now{seconds{100}};
    outcome_history history;
    history.check(apply_view(state, make_view(4, 2, 3, 2), now), now);
    const auto length = *rc::gen::inRange<std::size_t>(50, 400);
    const auto steps = *rc::gen::container<std::vector<std::size_t>>(length, rc::gen::inRange<std::size_t>(0, 1 << 20));
    for (const auto step : steps) {
        const auto value = step / 8;
        const auto kind = step % 8;
        if (kind <= 2) {
            auto request =
                make_request(std::to_string(history.m_requests.size()),
                             now + milliseconds{50 * (1 + static_cast<int>(value % 40))}, value % 5 == 0 ? "c" : "s");
            request.m_idempotent = value % 2 == 0;
            request.m_urgent = value % 3 == 0;
            auto& entry = history.m_requests[request.m_id];
            entry.m_idempotent = request.m_idempotent;
            entry.m_deadline = request.m_deadline;
            history.check(submit(state, request, now), now);
        }
        else if (kind <= 5 && !history.m_running.empty()) {
            const auto place = static_cast<std::ptrdiff_t>(value % history.m_running.size());
            const auto attempt = history.m_running[static_cast<std::size_t>(place)];
            const auto outcome = static_cast<attempt_outcome>((value / 64) % 9);
            history.m_running.erase(history.m_running.begin() + place);
            --history.m_running_on[attempt.m_vm];
            for (auto& [id, result] : history.m_requests.at(attempt.m_request).m_attempts) {
                result = id == attempt.m_attempt ? std::optional{outcome} : result;
            }
            history.check(complete(state, attempt.m_attempt, outcome, now), now);
            history.check(complete(state, attempt.m_attempt, attempt_outcome::answered, now), now);
        }
        else if (kind == 6 && !history.m_requests.empty()) {
            const request_id id{std::to_string(value % history.m_requests.size())};
            history.m_requests.at(id).m_cancelled = history.m_requests.at(id).m_outcomes.empty();
            history.check(cancel(state, id, now), now);
        }
        else {
            now += milliseconds{value % 100};
            history.check(tick(state, now), now);
        }
        if (!history.m_probes.empty()) {
            const auto probe = history.m_probes.back();
            history.m_probes.pop_back();
            const auto outcome = value % 2 == 0 ? attempt_outcome::answered : attempt_outcome::timed_out;
            history.check(complete(state, probe.m_attempt, outcome, now), now);
        }
        if (step % 61 == 0) {
            history.check(apply_view(state, make_view(4 - static_cast<int>(value % 3), 2, 3, 2), now), now);
        }
    }
    now += seconds{100};
    history.check(tick(state, now), now);
    for (const auto& attempt : history.m_running) {
        history.check(complete(state, attempt.m_attempt, attempt_outcome::timed_out, now), now);
    }
    history.check(tick(state, now), now);
    for (const auto& probe : history.m_probes) {
        std::ignore = complete(state, probe.m_attempt, attempt_outcome::answered, now);
    }
    for (const auto& [id, request] : history.m_requests) {
        RC_ASSERT(request.m_cancelled != (request.m_outcomes.size() == 1U));
    }
    RC_ASSERT(state.m_requests.empty());
    RC_ASSERT(state.m_attempts.empty());
    for (const auto& usage : pool_usages(state)) {
        RC_ASSERT(usage.m_in_use == 0);
    }
}

} // namespace
