#include "deployment.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;
using nlohmann::json;

/** @brief One zone with one upstream; the test writes its VM record, which fleet control writes in production. */
class entry_vm_requests : public ::testing::Test {
protected:
    auto start() -> void
    {
        m_deployment.start_platform();
        static_cast<void>(wait_for_port(m_upstream_address));
        put("res/pool/quotes", {{"kind", "pool"}, {"name", "quotes"}, {"spec", json::object()}}, 0);
        put("res/service/quotes",
            {{"kind", "service"}, {"name", "quotes"}, {"spec", {{"pool", "quotes"}, {"promised_vms", 1}}}}, 0);
        m_shard_version = put_shard("serving", 0);
        m_deployment.start_all();
        ASSERT_TRUE(m_deployment.wait_ready());
    }

    auto put(const std::string& key, const json& value, const std::uint64_t expected) -> std::uint64_t
    {
        const json body{{"value", value.dump()}, {"expected_version", expected}, {"write_id", "test"}};
        const auto response = call(http::verb::put, m_deployment.platform_address(), "/kv/" + key, body);
        EXPECT_EQ(response.m_status, 200U) << response.m_body;
        return response.m_body.value("version", std::uint64_t{0});
    }

    auto put_shard(const std::string& phase, const std::uint64_t expected) -> std::uint64_t
    {
        const json vm{{"vm", "v1"},
                      {"availability_zone", "a"},
                      {"rack", "r1"},
                      {"room", "hall"},
                      {"slots", 4},
                      {"connections", 16},
                      {"pool", "quotes"},
                      {"phase", phase},
                      {"generation", 0},
                      {"address", m_upstream_address},
                      {"operation", phase == "serving" ? "" : "d"}};
        json shard{{"epoch", m_epoch}, {"write_id", "test"}};
        shard["vms"] = json::array({vm});
        return put("fleet/a/0", shard, expected);
    }

    [[nodiscard]] auto send_request(const std::size_t index) const -> result<http_response, http_failure>
    {
        findings errors;
        http_request request{http::verb::post, "/v1/services/quotes/requests", 11};
        request.set("X-Deadline-Ms", "2000");
        request.body() = "40 brackets";
        return http_fetch_blocking(parse_endpoint(m_deployment.callers_address(index), "endpoint", errors),
                                   std::move(request), milliseconds{3'000});
    }

    deployment m_deployment{{2}};
    const std::string m_upstream_address{loopback_address() + ":9001"};
    const child_process m_upstream{CICADALUG_STANDIN_DIRECTORY "/upstream_standin", {"--listen", m_upstream_address}};
    std::uint64_t m_shard_version{0};
    std::uint64_t m_epoch{0};
};

// Guards against an entry VM whose request path does not use the resources and VM records that replication received.
TEST_F(entry_vm_requests, callers_are_served_from_the_replicated_configuration)
{
    start();
    for (std::size_t index = 0; index < m_deployment.count(); ++index) {
        const auto response = send_request(index);
        ASSERT_TRUE(response);
        EXPECT_EQ(response.assume_value()["X-Outcome"], "answered") << response.assume_value().body();
    }
    const auto vms = call(http::verb::get, m_deployment.address(1), "/v1/vms").m_body;
    ASSERT_EQ(vms["vms"].size(), 1U) << vms;
    EXPECT_EQ(vms["vms"][0]["vm"], "v1");
}

// Guards against an entry VM that does not watch the platform and still sends new work to a VM whose record has the
// phase "announced".
TEST_F(entry_vm_requests, announced_vm_gets_no_new_work_anywhere)
{
    start();
    const auto current = call(http::verb::get, m_deployment.platform_address(), "/kv/fleet/a/0").m_body;
    m_epoch = json::parse(current.value("value", "{}")).value("epoch", std::uint64_t{0});
    put_shard("announced", current.value("version", std::uint64_t{0}));
    for (std::size_t index = 0; index < m_deployment.count(); ++index) {
        const auto refused = wait_until(
            [&] {
                const auto response = send_request(index);
                return response && response.assume_value()["X-Outcome"] == "not-run";
            },
            milliseconds{5'000});
        EXPECT_TRUE(refused) << index;
    }
}

// Guards against a caller port that lets callers change resources or read the data that entry VMs exchange.
TEST_F(entry_vm_requests, callers_cannot_reach_the_operator_api)
{
    start();
    EXPECT_NE(call(http::verb::get, m_deployment.callers_address(0), "/v1/resources/pool").m_status, 200U);
    EXPECT_NE(call(http::verb::get, m_deployment.callers_address(0), "/internal/snapshot").m_status, 200U);
    EXPECT_EQ(call(http::verb::get, m_deployment.address(0), "/v1/resources/pool").m_status, 200U);
}

} // namespace
