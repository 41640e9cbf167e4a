#include <cicadalug/scheduler/worker_call.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace cicadalug::test {

namespace {

[[nodiscard]] auto any_task() -> task_ref
{
    return {job_id{*rc::gen::arbitrary<std::string>()}, *rc::gen::arbitrary<std::int64_t>(),
            *rc::gen::arbitrary<std::int64_t>(), *rc::gen::arbitrary<std::int64_t>()};
}

[[nodiscard]] auto any_start() -> worker_call
{
    worker_call call;
    call.m_number = call_number{*rc::gen::arbitrary<std::uint64_t>()};
    call.m_kind = worker_call_kind::start;
    call.m_worker = worker_id{*rc::gen::arbitrary<std::string>()};
    call.m_address = *rc::gen::arbitrary<std::string>();
    call.m_token = fencing_token{*rc::gen::arbitrary<std::uint64_t>()};
    call.m_timeout = milliseconds{*rc::gen::arbitrary<std::int64_t>()};
    call.m_task = any_task();
    call.m_run = run_number{*rc::gen::arbitrary<std::int64_t>()};
    call.m_lease_until_ms = *rc::gen::arbitrary<std::int64_t>();
    call.m_text = *rc::gen::arbitrary<std::string>();
    call.m_checkpoint = *rc::gen::arbitrary<std::string>();
    call.m_permit = *rc::gen::arbitrary<std::string>();
    return call;
}

[[nodiscard]] auto any_result() -> worker_call_result
{
    worker_call_result result;
    result.m_number = call_number{*rc::gen::arbitrary<std::uint64_t>()};
    result.m_result = *rc::gen::element(command_result::accepted, command_result::fenced, command_result::withdrawn);
    result.m_report.m_clock_ms = *rc::gen::arbitrary<std::int64_t>();
    result.m_report.m_incarnation_start_unix_ms = *rc::gen::arbitrary<std::int64_t>();
    result.m_report.m_incomplete = *rc::gen::arbitrary<bool>();
    for (auto count = *rc::gen::inRange(0, 4); count > 0; --count) {
        result.m_report.m_running.push_back(
            {any_task(), run_number{*rc::gen::arbitrary<std::int64_t>()}, *rc::gen::arbitrary<std::string>(), 41, -1});
        result.m_report.m_ended.push_back({*rc::gen::arbitrary<std::int64_t>(), any_task(), run_number{7},
                                           *rc::gen::element(run_end::done, run_end::expired, run_end::gang_timeout),
                                           *rc::gen::arbitrary<std::string>()});
    }
    return result;
}

} // namespace

// Guards against starts that reach a worker with another task, run, lease or text than the decider has decided.
RC_GTEST_PROP(worker_call, calls_are_decoded_as_they_were_encoded, ())
{
    const std::vector<worker_call> calls{any_start(), any_start()};
    const auto decoded = decode_worker_calls(encode(calls));
    RC_ASSERT(static_cast<bool>(decoded));
    RC_ASSERT(decoded.assume_value().size() == calls.size());
    for (std::size_t index = 0; index < calls.size(); ++index) {
        const auto& expected = calls[index];
        const auto& actual = decoded.assume_value()[index];
        RC_ASSERT(actual.m_number == expected.m_number);
        RC_ASSERT(actual.m_kind == expected.m_kind);
        RC_ASSERT(actual.m_worker == expected.m_worker);
        RC_ASSERT(actual.m_address == expected.m_address);
        RC_ASSERT(actual.m_token == expected.m_token);
        RC_ASSERT(actual.m_timeout == expected.m_timeout);
        RC_ASSERT(actual.m_task == expected.m_task);
        RC_ASSERT(actual.m_run == expected.m_run);
        RC_ASSERT(actual.m_lease_until_ms == expected.m_lease_until_ms);
        RC_ASSERT(actual.m_text == expected.m_text);
        RC_ASSERT(actual.m_checkpoint == expected.m_checkpoint);
        RC_ASSERT(actual.m_permit == expected.m_permit);
    }
}

// Guards against ends of runs that are lost or changed on their way to the decider.
RC_GTEST_PROP(worker_call, results_are_decoded_as_they_were_encoded, ())
{
    const std::vector<worker_call_result> results{any_result(), any_result()};
    const auto decoded = decode_worker_call_results(encode(results));
    RC_ASSERT(static_cast<bool>(decoded));
    RC_ASSERT(decoded.assume_value().size() == results.size());
    for (std::size_t index = 0; index < results.size(); ++index) {
        const auto& expected = results[index];
        const auto& actual = decoded.assume_value()[index];
        RC_ASSERT(actual.m_number == expected.m_number);
        RC_ASSERT(actual.m_result == expected.m_result);
        RC_ASSERT(actual.m_report.m_clock_ms == expected.m_report.m_clock_ms);
        RC_ASSERT(actual.m_report.m_incarnation_start_unix_ms == expected.m_report.m_incarnation_start_unix_ms);
        RC_ASSERT(actual.m_report.m_incomplete == expected.m_report.m_incomplete);
        RC_ASSERT(actual.m_report.m_running.size() == expected.m_report.m_running.size());
        for (std::size_t run = 0; run < expected.m_report.m_running.size(); ++run) {
            RC_ASSERT(actual.m_report.m_running[run].m_task == expected.m_report.m_running[run].m_task);
            RC_ASSERT(actual.m_report.m_running[run].m_run == expected.m_report.m_running[run].m_run);
            RC_ASSERT(actual.m_report.m_ended[run].m_number == expected.m_report.m_ended[run].m_number);
            RC_ASSERT(actual.m_report.m_ended[run].m_task == expected.m_report.m_ended[run].m_task);
            RC_ASSERT(actual.m_report.m_ended[run].m_outcome == expected.m_report.m_ended[run].m_outcome);
            RC_ASSERT(actual.m_report.m_ended[run].m_checkpoint == expected.m_report.m_ended[run].m_checkpoint);
        }
    }
}

// Guards against an end that is added to the list of a worker, as the mark of an incomplete report is sent as one.
TEST(worker_call, an_incomplete_report_is_decoded_with_its_ends_only)
{
    std::vector<worker_call_result> results(2);
    results.front().m_report.m_incomplete = true;
    results.back().m_report.m_ended.resize(1);
    const auto bytes = encode(results);
    EXPECT_EQ(bytes.front(), 1) << "entry VMs of the last release read this version only";
    const auto decoded = decode_worker_call_results(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_TRUE(decoded.assume_value().front().m_report.m_incomplete);
    EXPECT_TRUE(decoded.assume_value().front().m_report.m_ended.empty());
    EXPECT_FALSE(decoded.assume_value().back().m_report.m_incomplete);
    EXPECT_EQ(decoded.assume_value().back().m_report.m_ended.size(), 1U);
}

// Guards against a truncated or foreign message that is taken for calls.
RC_GTEST_PROP(worker_call, damaged_messages_are_rejected, ())
{
    const auto whole = encode(std::vector<worker_call>{any_start()});
    const auto kept = *rc::gen::inRange<std::size_t>(0, whole.size());
    RC_ASSERT(!decode_worker_calls(whole.substr(0, kept)));
    RC_ASSERT(!decode_worker_calls(whole + 'x'));
    static_cast<void>(decode_worker_calls(*rc::gen::arbitrary<std::string>()));
    static_cast<void>(decode_worker_call_results(*rc::gen::arbitrary<std::string>()));
}

} // namespace cicadalug::test
