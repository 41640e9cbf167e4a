#include <cicadalug/settings/settings.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cicadalug;

const std::string valid{R"(entry_vm: e1
availability_zone: north
region: valley
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8081
  datagrams: 127.0.0.1:8082
platform: 127.0.0.1:7000
peers:
  - entry_vm: e2
    availability_zone: north
    operators: 127.0.0.1:8181
    datagrams: 127.0.0.1:8182
limits:
  body_bytes: 2048
balancer_delay_ms: 500
worker_threads: 3
)"};

// Guards against a key that is ignored or read into the wrong member.
TEST(settings, reads_all_keys)
{
    const auto read = parse_settings(valid, "f");
    ASSERT_TRUE(read) << read.assume_error().to_string();
    const auto& value = read.assume_value();
    EXPECT_EQ(value.m_entry_vm, entry_vm_id{"e1"});
    EXPECT_EQ(value.m_datagrams.port(), 8082);
    ASSERT_EQ(value.m_peers.size(), 1U);
    EXPECT_EQ(value.m_peers[0].m_operators.port(), 8181);
    EXPECT_EQ(value.m_limits.m_body_bytes, 2048U);
    EXPECT_EQ(value.m_balancer_delay, milliseconds{500});
    EXPECT_FALSE(value.m_trace_collector);
}

// Guards against reporting only the first error, so that a file has to be corrected one error at a time.
TEST(settings, reports_all_errors_with_line_and_column)
{
    const auto read = parse_settings(R"(entry_vm: e1
availabilty_zone: north
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8080
  datagrams: 127.0.0.1:x
platform: 127.0.0.1:7000
platform: 127.0.0.1:7001
peers:
  - entry_vm: e1
    availability_zone: north
    operators: 127.0.0.1:8181
    datagrams: 127.0.0.1:0
worker_threads: many
)",
                                     "f");
    ASSERT_FALSE(read);
    EXPECT_EQ(read.assume_error().to_string(),
              "f:1:1: 'availability_zone' is missing\n"
              "f:6:14: is not an IP address and a port: 127.0.0.1:x\n"
              "f:5:14: callers and operators need separate addresses\n"
              "f:13:16: 'datagrams' needs a port above 0, because other processes are given this address\n"
              "f:10:15: two entry VMs are named 'e1'\n"
              "f:14:17: 'worker_threads' must be an integer from 1 to 64\n"
              "f:2:1: unknown key 'availabilty_zone'; did you mean 'availability_zone'?\n"
              "f:8:1: 'platform' is given more than once");
    EXPECT_EQ(parse_settings("a: [", "f").assume_error().items().size(), 1U);
    EXPECT_EQ(parse_settings(std::string(200'000, '['), "f").assume_error().items().size(), 1U);
    EXPECT_EQ(parse_settings("", "f").assume_error().items().size(), 1U);
}

// Guards against a damaged file that terminates the process instead of producing findings.
RC_GTEST_PROP(settings, damaged_text_gives_findings, ())
{
    auto text = valid;
    for (auto changes = *rc::gen::inRange(1, 5); changes > 0 && !text.empty(); --changes) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        text.replace(position, *rc::gen::inRange<std::size_t>(0, 6), *rc::gen::arbitrary<std::string>());
    }
    if (const auto read = parse_settings(text, "f"); !read) {
        RC_ASSERT(!read.assume_error().empty());
    }
}

} // namespace
