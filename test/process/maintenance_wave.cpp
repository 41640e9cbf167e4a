#include "deployment.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;
using nlohmann::json;

constexpr int vm_count = 6;
constexpr int promised_vms = 4;
constexpr int first_upstream_port = 9'500;

class maintenance_wave : public ::testing::Test {
protected:
    auto start_all() -> void
    {
        m_deployment.start_platform();
        const auto address = loopback_address();
        for (int number = 0; number < vm_count; ++number) {
            const auto endpoint = address + ':' + std::to_string(first_upstream_port + number);
            m_upstreams.push_back(std::make_unique<child_process>(CICADALUG_STANDIN_DIRECTORY "/upstream_standin",
                                                                  std::vector<std::string>{"--listen", endpoint}));
            const auto added = call(http::verb::post, m_deployment.platform_address(), "/control/vms",
                                    {{"vm", "vm-" + std::to_string(number)},
                                     {"availability_zone", "a"},
                                     {"rack", "rack-" + std::to_string(number / 2)},
                                     {"room", "hall"},
                                     {"address", endpoint},
                                     {"slots", 8},
                                     {"connections", 64},
                                     {"pool", "quotes"},
                                     {"leaving", false},
                                     {"boot", 1}});
            ASSERT_EQ(added.m_status, 200U);
        }
        m_deployment.start_all();
        ASSERT_TRUE(m_deployment.wait_ready());
        put("pool", "quotes", json::object());
        put("service", "quotes", {{"pool", "quotes"}, {"promised_vms", promised_vms}});
        ASSERT_TRUE(
            wait_until([this] { return ledger().value("zones", json::array()).size() == 1; }, milliseconds{15'000}));
    }

    auto put(const std::string& kind, const std::string& name, const json& spec) -> void
    {
        call_response written;
        const auto accepted = wait_until(
            [&] {
                written = call(http::verb::put, m_deployment.address(0), "/v1/resources/" + kind + '/' + name,
                               {{"kind", kind}, {"name", name}, {"spec", spec}}, "*");
                return written.m_status == 201;
            },
            milliseconds{5'000});
        ASSERT_TRUE(accepted) << kind << ": " << written.m_body;
    }

    [[nodiscard]] auto value_of(const std::string& key) const -> json
    {
        const auto entry = call(http::verb::get, m_deployment.platform_address(), "/kv/" + key).m_body;
        const auto value = json::parse(entry.value("value", "{}"), nullptr, false);
        return value.is_object() ? value : json::object();
    }

    [[nodiscard]] auto ledger() const -> json { return value_of("budget/quotes"); }

    [[nodiscard]] auto finished_vm_count() const -> long
    {
        const auto vms = value_of("wave/a/night").value("vms", json::array());
        return std::count_if(vms.begin(), vms.end(), [](const auto& vm) { return vm.at("outcome") != "none"; });
    }

    /** @brief Sends one request that is not idempotent, so it must not run twice. */
    [[nodiscard]] auto send_request(const std::size_t index) const -> result<http_response, http_failure>
    {
        findings errors;
        http_request request{http::verb::post, "/v1/services/quotes/requests", 11};
        request.set("X-Deadline-Ms", "5000");
        request.body() = "40 brackets";
        return http_fetch_blocking(parse_endpoint(m_deployment.callers_address(index), "endpoint", errors),
                                   std::move(request), milliseconds{6'000});
    }

    /** @brief Waits until the wave is finished and checks the charges in the budget ledger meanwhile. */
    auto expect_wave_completed() -> void
    {
        const auto taken = wait_until(
            [this] {
                EXPECT_LE(ledger().value("charges", json::array()).size(), std::size_t{vm_count - promised_vms});
                return value_of("wave/a/night").value("finished", false);
            },
            milliseconds{60'000});
        ASSERT_TRUE(taken) << value_of("wave/a/night") << ledger();
        std::cout << "wave finished after " << taken->count() << " ms\n";
        const auto account = value_of("wave/a/night").at("vms");
        EXPECT_EQ(account.size(), std::size_t{vm_count});
        for (const auto& vm : account) {
            EXPECT_EQ(vm.at("outcome"), "done") << vm;
        }
        const auto listed = call(http::verb::get, m_deployment.platform_address(), "/vms").m_body.at("vms");
        for (const auto& vm : listed) {
            EXPECT_EQ(vm.at("boot"), 2) << vm;
        }
        EXPECT_TRUE(
            wait_until([this] { return ledger().value("charges", json::array()).empty(); }, milliseconds{5'000}));
    }

    deployment m_deployment{{2}};
    std::vector<std::unique_ptr<child_process>> m_upstreams;
};

// Guards against a wave that skips a VM, reboots one twice, takes more VMs out of service than the availability budget
// allows, or interrupts a caller's request.
TEST_F(maintenance_wave, ends_with_an_outcome_for_every_vm)
{
    start_all();
    std::atomic<bool> stopped{false};
    int sent = 0;
    int answered = 0;
    std::thread callers{[&] {
        for (std::size_t number = 0; !stopped; ++number) {
            ++sent;
            const auto response = send_request(number % m_deployment.count());
            answered += response && response.assume_value()["X-Outcome"] == "answered" ? 1 : 0;
        }
    }};
    put("wave", "night", {{"pools", {"quotes"}}});
    expect_wave_completed();
    stopped = true;
    callers.join();
    std::cout << answered << " of " << sent << " requests answered during the wave\n";
    EXPECT_GT(sent, 0);
    const auto response = call(http::verb::get, m_deployment.address(0), "/v1/waves/night");
    ASSERT_EQ(response.m_status, 200U) << response.m_body;
    for (const auto& zone : response.m_body.at("availability_zones")) {
        EXPECT_EQ(zone.at("state"), "finished") << response.m_body;
        EXPECT_EQ(zone.at("open"), 0) << response.m_body;
    }
    EXPECT_EQ(answered, sent);
}

// Guards against a wave that stops or restarts from the beginning when the control holder is killed.
TEST_F(maintenance_wave, continues_after_the_control_holder_was_killed)
{
    start_all();
    put("wave", "night", {{"pools", {"quotes"}}});
    ASSERT_TRUE(wait_until([this] { return finished_vm_count() >= 1; }, milliseconds{30'000}));
    const auto control_holder = m_deployment.index_of(m_deployment.control_holder(0, "a"));
    m_deployment.kill(control_holder);
    m_deployment.start(control_holder);
    expect_wave_completed();
}

// Guards against a VM that is rebooted twice, or a charge that is never released, when responses to writes are lost and
// the platform is down for 3 s.
TEST_F(maintenance_wave, continues_after_lost_responses_and_an_outage)
{
    constexpr int lost_responses = 15;
    constexpr milliseconds outage{3'000};
    start_all();
    put("wave", "night", {{"pools", {"quotes"}}});
    m_deployment.control_platform({{"lost_answers", lost_responses}});
    ASSERT_TRUE(wait_until([this] { return m_deployment.control_platform().value("lost_answers", 1) == 0; },
                           milliseconds{20'000}));
    m_deployment.control_platform({{"outage", true}});
    std::this_thread::sleep_for(outage);
    m_deployment.control_platform({{"outage", false}});
    expect_wave_completed();
}

} // namespace
