#include <cicadalug/request/request_outcome.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;

[[nodiscard]] auto make_response_with(const unsigned status, const char* header, const char* value) -> http_response
{
    http_response response{http::int_to_status(status), 11};
    response.set(header, value);
    return response;
}

// Guards against treating a response as not run that the upstream protocol does not define as a refusal.
TEST(request_outcome, only_protocol_responses_count_as_not_run)
{
    EXPECT_EQ(to_attempt_result(make_response_with(503, "X-Not-Run", "no-slot")).m_outcome, attempt_outcome::no_slot);
    EXPECT_EQ(to_attempt_result(make_response_with(503, "X-Not-Run", "leaving")).m_outcome, attempt_outcome::leaving);
    EXPECT_EQ(to_attempt_result(make_response_with(503, "X-Not-Run", "busy")).m_outcome, attempt_outcome::failed);
    EXPECT_EQ(to_attempt_result(make_response_with(503, "Server", "x")).m_outcome, attempt_outcome::failed);
    EXPECT_EQ(to_attempt_result(make_response_with(200, "X-Not-Run", "no-slot")).m_outcome, attempt_outcome::answered);
    EXPECT_EQ(to_attempt_result(make_response_with(422, "X-Never-Runs", "true")).m_outcome,
              attempt_outcome::never_runs);
    EXPECT_EQ(to_attempt_result(make_response_with(422, "Server", "x")).m_outcome, attempt_outcome::answered);
}

// Guards against reporting "not-run" after bytes of the request were sent.
TEST(request_outcome, failure_after_the_first_byte_may_have_run)
{
    using failed = result<http_response, http_failure>;
    const auto outcome_of = [](const http_progress progress, const bool timed_out) {
        return to_attempt_result(failed{http_failure{progress, timed_out, {}}}).m_outcome;
    };
    EXPECT_TRUE(is_not_run(outcome_of(http_progress::not_sent, true)));
    EXPECT_TRUE(is_not_run(outcome_of(http_progress::not_sent, false)));
    EXPECT_EQ(outcome_of(http_progress::maybe_sent, true), attempt_outcome::timed_out);
    EXPECT_EQ(outcome_of(http_progress::maybe_sent, false), attempt_outcome::connection_lost);
}

TEST(request_outcome, responses_have_the_status_of_their_outcome)
{
    request_outcome outcome;
    EXPECT_EQ(to_response(outcome).result_int(), 504U);
    EXPECT_EQ(to_response(outcome)["X-Outcome"], "unknown");
    outcome.m_kind = outcome_kind::not_run;
    outcome.m_retry_after = milliseconds{1'200};
    EXPECT_EQ(to_response(outcome).result_int(), 503U);
    EXPECT_EQ(to_response(outcome)["Retry-After"], "2");
    EXPECT_EQ(to_response(outcome)["X-Outcome"], "not-run");
    outcome.m_reason = outcome_reason::never_runs;
    EXPECT_EQ(to_response(outcome).result_int(), 400U);
    outcome.m_reason = outcome_reason::unknown_service;
    EXPECT_EQ(to_response(outcome).result_int(), 404U);
}

// Guards against an upstream that sets the outcome or id headers itself, and against hop-by-hop headers that reach the
// caller.
TEST(request_outcome, headers_of_the_entry_vm_do_not_come_from_the_upstream)
{
    request_outcome outcome;
    outcome.m_kind = outcome_kind::answered;
    outcome.m_response = make_response_with(200, "X-Outcome", "not-run");
    outcome.m_response->set("Connection", "close");
    outcome.m_response->set("X-Kept", "yes");
    const auto response = to_response(outcome);
    EXPECT_EQ(response["X-Outcome"], "answered");
    EXPECT_TRUE(response["Connection"].empty());
    EXPECT_EQ(response["X-Kept"], "yes");
}

} // namespace
