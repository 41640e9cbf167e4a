#include "deployment.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <iostream>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

/** @brief Time within which a change must be in force at all entry VMs. */
constexpr milliseconds propagation_limit{3'000};

[[nodiscard]] auto version_of(const call_response& response) -> std::uint64_t
{
    return response.m_body.is_object() ? response.m_body.value("version", std::uint64_t{0}) : 0;
}

class replication : public ::testing::Test {
protected:
    auto start_all() -> void
    {
        m_deployment.start_platform();
        m_deployment.start_all();
        ASSERT_TRUE(m_deployment.wait_ready());
    }

    deployment m_deployment{{2, 2}};
};

// Guards against a change that reaches an entry VM too late or never, whichever entry VM accepted it.
TEST_F(replication, change_reaches_all_entry_vms_of_two_zones)
{
    start_all();
    for (std::size_t index = 0; index < m_deployment.count(); ++index) {
        const auto name = "r" + std::to_string(index);
        call_response written;
        const auto taken = wait_until(
            [&] {
                written = m_deployment.put_room(index, name, 1'000, "*");
                return m_deployment.wait_for_room(name, version_of(written), propagation_limit).has_value();
            },
            propagation_limit);
        ASSERT_EQ(written.m_status, 201U) << written.m_body;
        ASSERT_TRUE(taken);
        std::cout << "change through " << m_deployment.id(index) << " in force everywhere after " << taken->count()
                  << " ms\n";
        EXPECT_LE(*taken, propagation_limit);
    }
}

// Guards against a write that succeeds or takes effect while the platform is down, and against watches that do not
// resume after the outage.
TEST_F(replication, platform_down_changes_nothing_and_watches_resume_after_a_restart)
{
    start_all();
    const auto before = m_deployment.put_room(0, "hall", 1'000, "*");
    ASSERT_EQ(before.m_status, 201U);
    ASSERT_TRUE(m_deployment.wait_for_room("hall", version_of(before), propagation_limit));
    m_deployment.stop_platform();
    const auto refused = m_deployment.put_room(1, "hall", 2'000, std::to_string(version_of(before)));
    EXPECT_TRUE(refused.m_status == 503 || refused.m_status == 504) << refused.m_status;
    EXPECT_EQ(m_deployment.room_version(1, "hall"), version_of(before));
    std::this_thread::sleep_for(milliseconds{4'000});
    m_deployment.start_platform();
    auto after = call_response{};
    const auto accepted = wait_until(
        [&] {
            after = m_deployment.put_room(2, "hall", 3'000, std::to_string(version_of(before)));
            return after.m_status == 200;
        },
        milliseconds{10'000});
    ASSERT_TRUE(accepted);
    EXPECT_TRUE(m_deployment.wait_for_room("hall", version_of(after), propagation_limit));
    ASSERT_TRUE(m_deployment.wait_ready());
    // Entry VMs do not forward a write that another client made: it arrives through the watches only.
    const auto stored =
        call(http::verb::put, m_deployment.platform_address(), "/kv/res/room/annex",
             {{"value", R"({"kind":"room","name":"annex","spec":{"limit_watts":500}})"}, {"expected_version", 0}});
    ASSERT_EQ(stored.m_status, 200U);
    const auto taken = m_deployment.wait_for_room("annex", version_of(stored), propagation_limit);
    ASSERT_TRUE(taken);
    std::cout << "write of another client in force everywhere after " << taken->count() << " ms\n";
}

// Guards against writes that fail or reach only some of the entry VMs because the platform is slow.
TEST_F(replication, slow_platform_delays_a_change_by_little)
{
    start_all();
    m_deployment.control_platform({{"delay_ms", 300}});
    const auto written = m_deployment.put_room(0, "hall", 1'000, "*");
    ASSERT_EQ(written.m_status, 201U) << written.m_body;
    const auto taken = m_deployment.wait_for_room("hall", version_of(written), propagation_limit);
    ASSERT_TRUE(taken);
    std::cout << "with 300 ms for each platform call: in force everywhere " << taken->count()
              << " ms after the response\n";
}

// Guards against a lost response that makes an entry VM report a conflict with its own write or write the value twice.
TEST_F(replication, lost_response_of_a_write_is_recognized)
{
    start_all();
    const auto revision = m_deployment.control_platform({{"lost_answers", 1}})["revision"].get<std::uint64_t>();
    const auto written = m_deployment.put_room(0, "hall", 1'000, "*");
    ASSERT_EQ(written.m_status, 201U) << written.m_body;
    EXPECT_EQ(m_deployment.control_platform()["lost_answers"], 0);
    EXPECT_EQ(version_of(written), revision + 1);
    EXPECT_TRUE(m_deployment.wait_for_room("hall", version_of(written), propagation_limit));
}

// Guards against an entry VM that cannot start or serves nothing while the platform is down.
TEST_F(replication, entry_vm_that_starts_during_an_outage_loads_resources_from_peers)
{
    start_all();
    const auto written = m_deployment.put_room(0, "hall", 1'000, "*");
    ASSERT_EQ(written.m_status, 201U);
    ASSERT_TRUE(m_deployment.wait_for_room("hall", version_of(written), propagation_limit));
    m_deployment.control_platform({{"outage", true}});
    m_deployment.kill(1);
    m_deployment.start(1);
    const auto taken = m_deployment.wait_for_room("hall", version_of(written), milliseconds{10'000}, {1});
    ASSERT_TRUE(taken);
    EXPECT_TRUE(m_deployment.is_ready(1));
    std::cout << "entry VM without the platform ready after " << taken->count() << " ms\n";
}

// Guards against a restarted or frozen entry VM that returns a version older than the one in force.
TEST_F(replication, restarted_and_frozen_entry_vms_never_revert)
{
    start_all();
    auto written = m_deployment.put_room(0, "hall", 1'000, "*");
    ASSERT_EQ(written.m_status, 201U);
    ASSERT_TRUE(m_deployment.wait_for_room("hall", version_of(written), propagation_limit));
    m_deployment.process(1).signal(SIGSTOP);
    for (int change = 1; change <= 5; ++change) {
        written = m_deployment.put_room(0, "hall", 1'000 + change, std::to_string(version_of(written)));
        ASSERT_EQ(written.m_status, 200U) << written.m_body;
    }
    ASSERT_TRUE(m_deployment.wait_for_room("hall", version_of(written), propagation_limit, {0, 2, 3}));
    std::this_thread::sleep_for(milliseconds{3'500});
    m_deployment.process(1).signal(SIGCONT);
    m_deployment.kill(3);
    m_deployment.start(3);
    const auto taken = m_deployment.wait_for_room("hall", version_of(written), propagation_limit, {1, 3});
    ASSERT_TRUE(taken);
    std::cout << "resumed and restarted entry VMs up to date after " << taken->count() << " ms\n";
    for (int poll = 0; poll < 100; ++poll) {
        for (std::size_t index = 0; index < m_deployment.count(); ++index) {
            ASSERT_EQ(m_deployment.room_version(index, "hall"), version_of(written));
        }
    }
}

// Guards against success being reported to both of two operators whose changes to one resource conflict.
TEST_F(replication, one_of_two_racing_writers_gets_a_conflict)
{
    start_all();
    const auto created = m_deployment.put_room(0, "hall", 1'000, "*");
    ASSERT_EQ(created.m_status, 201U);
    const auto base = std::to_string(version_of(created));
    auto other = std::async(std::launch::async, [&] { return m_deployment.put_room(3, "hall", 3'000, base); });
    const auto one = m_deployment.put_room(0, "hall", 2'000, base);
    const auto two = other.get();
    EXPECT_EQ(std::min(one.m_status, two.m_status), 200U);
    EXPECT_EQ(std::max(one.m_status, two.m_status), 409U);
    const auto winner = std::max(version_of(one), version_of(two));
    EXPECT_EQ(version_of(one), winner);
    EXPECT_EQ(version_of(two), winner);
    EXPECT_TRUE(m_deployment.wait_for_room("hall", winner, propagation_limit));
}

/** @brief Reads the epoch stored in the VM records of zone a at the platform. */
[[nodiscard]] auto record_epoch(const std::string& platform) -> std::uint64_t
{
    const auto entry = call(http::verb::get, platform, "/kv/fleet/a/0").m_body;
    return nlohmann::json::parse(entry.value("value", "{}")).value("epoch", std::uint64_t{0});
}

// Guards against a control holder that resumes after its lease expired and continues to act as the holder. Its
// successor has raised the epoch stored in the records, and the epoch must never decrease.
TEST_F(replication, control_holder_frozen_past_its_lease_is_fenced)
{
    m_deployment.start_platform();
    const auto& platform = m_deployment.platform_address();
    const auto stored = call(http::verb::put, platform, "/kv/fleet/a/0",
                             {{"value", R"({"epoch":0,"write_id":"test","vms":[]})"}, {"expected_version", 0}});
    ASSERT_EQ(stored.m_status, 200U);
    m_deployment.start_all();
    ASSERT_TRUE(m_deployment.wait_ready());
    const auto frozen = m_deployment.index_of(m_deployment.control_holder(0, "a"));
    const auto other = frozen == 0 ? std::size_t{1} : std::size_t{0};
    ASSERT_TRUE(wait_until([&] { return record_epoch(platform) > 0; }, milliseconds{2'000}));
    const auto first_epoch = record_epoch(platform);
    m_deployment.process(frozen).signal(SIGSTOP);
    const auto taken = wait_until([&] { return m_deployment.control_holder(other, "a") == m_deployment.id(other); },
                                  milliseconds{20'000});
    ASSERT_TRUE(taken);
    std::cout << "control taken over after " << taken->count() << " ms\n";
    ASSERT_TRUE(wait_until([&] { return record_epoch(platform) > first_epoch; }, milliseconds{2'000}));
    const auto second_epoch = record_epoch(platform);
    m_deployment.process(frozen).signal(SIGCONT);
    ASSERT_TRUE(wait_until([&] { return m_deployment.control_holder(frozen, "a") == m_deployment.id(other); },
                           milliseconds{5'000}));
    std::this_thread::sleep_for(milliseconds{3'000});
    EXPECT_EQ(m_deployment.control_holder(other, "a"), m_deployment.id(other));
    EXPECT_EQ(m_deployment.control_holder(frozen, "a"), m_deployment.id(other));
    EXPECT_EQ(record_epoch(platform), second_epoch);
}

// Guards against losing the configuration when all entry VMs that hold it in memory are replaced.
TEST_F(replication, all_entry_vms_of_a_zone_are_replaced)
{
    start_all();
    const auto written = m_deployment.put_room(0, "hall", 1'000, "*");
    ASSERT_EQ(written.m_status, 201U);
    ASSERT_TRUE(m_deployment.wait_for_room("hall", version_of(written), propagation_limit));
    m_deployment.kill(0);
    m_deployment.kill(1);
    m_deployment.start(0);
    m_deployment.start(1);
    const auto taken = m_deployment.wait_for_room("hall", version_of(written), milliseconds{10'000});
    ASSERT_TRUE(taken);
    std::cout << "replaced zone up to date after " << taken->count() << " ms\n";
    const auto controlled =
        wait_until([&] { return !m_deployment.control_holder(0, "a").empty(); }, milliseconds{20'000});
    ASSERT_TRUE(controlled);
    std::cout << "replaced zone has a control holder after " << controlled->count() << " ms more\n";
    const auto next = m_deployment.put_room(1, "hall", 2'000, std::to_string(version_of(written)));
    EXPECT_EQ(next.m_status, 200U);
    EXPECT_TRUE(m_deployment.wait_for_room("hall", version_of(next), propagation_limit));
}

// Guards against findings that are reported one at a time, and against accepting a write without a precondition.
TEST_F(replication, all_findings_of_a_write_are_reported_together)
{
    start_all();
    const auto refused = call(http::verb::put, m_deployment.address(0), "/v1/resources/service/quotes",
                              {{"kind", "service"},
                               {"name", "other"},
                               {"spec", {{"pool", "nowhere"}, {"promised_vms", 1}, {"unknown_member", 1}}}});
    EXPECT_EQ(refused.m_status, 400U);
    EXPECT_GE(refused.m_body["findings"].size(), 3U) << refused.m_body;
    std::cout << refused.m_body << '\n';
}

} // namespace
