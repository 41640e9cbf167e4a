#include <cicadalug/telemetry/trace_context.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cicadalug;

// Guards against losing the trace context at an entry VM.
RC_GTEST_PROP(trace_context, is_preserved_by_the_header, (std::uint64_t seed))
{
    std::mt19937_64 random{seed};
    const auto context = new_trace(random);
    RC_ASSERT(parse_traceparent(to_traceparent(context)) == context);
    RC_ASSERT(child_of(context, random).m_trace_id == context.m_trace_id);
}

// Guards against accepting a malformed header from a caller as a trace context.
TEST(trace_context, rejects_malformed_headers)
{
    const std::string good{"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"};
    EXPECT_TRUE(parse_traceparent(good));
    EXPECT_TRUE(parse_traceparent("01" + good.substr(2) + "-later"));
    for (const auto& bad : {std::string{}, good.substr(1), good + "-x", "ff" + good.substr(2),
                            "00-" + std::string(32, '0') + good.substr(35), "00-4BF9" + good.substr(7)}) {
        EXPECT_FALSE(parse_traceparent(bad)) << bad;
    }
}

} // namespace
