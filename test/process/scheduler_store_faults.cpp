#include "scheduler_deployment.hpp"

#include <gtest/gtest.h>

#include <string>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

class scheduler_store_faults : public scheduler_deployment {
protected:
    [[nodiscard]] auto reads_of(const std::string& job) const -> int
    {
        return control()["lists"].value("job/" + job, 0);
    }
};

} // namespace

// Guards against callers that keep a busy store busy: a request that is repeated every 50 ms until its deadline costs
// as many calls as dozens of requests.
TEST_F(scheduler_store_faults, a_request_repeats_refused_calls_at_growing_intervals)
{
    constexpr int most_calls{12};
    control({{"refused_paths", json::array({"/cicadalug/kv-range"})}});
    const auto response = call(http::verb::get, client_address(0), path_of(second_job));
    EXPECT_EQ(response.m_status, 503U);
    EXPECT_GE(reads_of(second_job), 2);
    EXPECT_LE(reads_of(second_job), most_calls);
}
