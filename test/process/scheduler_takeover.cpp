#include "scheduler_deployment.hpp"

#include <gtest/gtest.h>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

class scheduler_takeover : public scheduler_deployment {};

// Guards against workers with leases that the next decider does not know of, because no job's progress was written
// since their first lease.
TEST_F(scheduler_takeover, workers_with_leases_are_listed_in_the_store_without_a_job)
{
    const auto listed_bytes = [] {
        const auto list = call(http::verb::get, at_port(store_port, 0), "/cicadalug/kv-key?key=leased-workers").m_body;
        return list.is_object() ? list.value("value", "").size() : std::size_t{0};
    };
    // Three ids of eight characters, each followed by a blank, in base64.
    constexpr std::size_t expected_bytes{worker_count * 9 / 3 * 4};
    EXPECT_TRUE(wait_until([&] { return listed_bytes() == expected_bytes; }, patience)) << listed_bytes();
}

} // namespace
