#include "child_process.hpp"

#include <cicadalug/http/http_connection.hpp>

#include <gtest/gtest.h>

#include <csignal>
#include <string>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

[[nodiscard]] auto post(const std::string& endpoint, const std::string& body) -> result<http_response, http_failure>
{
    findings found;
    http_request request{http::verb::post, "/v1/services/quotes/requests", 11};
    request.set("X-Request-Id", "r1");
    request.body() = body;
    return http_fetch_blocking(parse_endpoint(endpoint, "endpoint", found), std::move(request), milliseconds{3'000});
}

// Guards against a caller that gets an answer other than the upstream's whole answer to its own request.
TEST(request_path, answer_of_the_upstream_reaches_the_caller)
{
    const auto address = loopback_address();
    const child_process upstream{CICADALUG_STANDIN_DIRECTORY "/upstream_standin", {"--listen", address + ":9001"}};
    const child_process entry_vm{CICADALUG_CICADALUGD,
                                 {"--listen", address + ":8001", "--upstream", address + ":9001"}};
    ASSERT_TRUE(wait_for_port(address + ":9001"));
    ASSERT_TRUE(wait_for_port(address + ":8001"));

    const auto answer = post(address + ":8001", "40 brackets");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer.assume_value().body(), "done r1 40 brackets");
    EXPECT_EQ(answer.assume_value()["X-Outcome"], "answered");
}

} // namespace
