#include "scheduler_deployment.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

class scheduler_takeover : public scheduler_deployment {
protected:
    /** @brief An id of eight characters in the stored list of leased workers, followed by a blank, in base64. */
    static constexpr std::size_t id_bytes{12};

    [[nodiscard]] static auto listed_bytes() -> std::size_t { return value_bytes("leased-workers"); }

    /** @brief Returns the size of a stored value in base64. */
    [[nodiscard]] static auto value_bytes(const std::string& key) -> std::size_t
    {
        const auto stored = call(http::verb::get, at_port(store_port, 0), "/cicadalug/kv-key?key=" + key).m_body;
        return stored.is_object() ? stored.value("value", "").size() : std::size_t{0};
    }
};

// Guards against a second run of a task on a worker that the registry has lost, after two takeovers in quick
// succession: a decider whose term was short has to pass on which workers its predecessor had granted leases.
TEST_F(scheduler_takeover, a_lease_outlasts_two_takeovers_without_a_second_run)
{
    control({{"run_ms", 60'000}});
    submit(first_job, 1);
    ASSERT_TRUE(wait_until([this] { return control()["starts"].size() == 1; }, patience));
    const auto first = decider();
    ASSERT_LT(first, entry_vm_count);
    control({{"unregistered", control()["starts"][0]["worker"]}});
    // Either entry VM may win the election.
    kill(first);
    start(first);
    ASSERT_TRUE(wait_until([] { return decider() < entry_vm_count; }, patience));
    const auto second = decider();
    kill(second);
    ASSERT_TRUE(wait_until([second] { return decider() == 1 - second; }, patience));
    EXPECT_TRUE(wait_until([this] { return control()["starts"].size() == 2; }, patience))
        << "the task starts again after the lease of its worker";
    EXPECT_EQ(control()["doubled_runs"], 0);
}

// Guards against workers with leases that the next decider does not know of, because no job's progress was written
// since their first lease.
TEST_F(scheduler_takeover, workers_with_leases_are_listed_in_the_store_without_a_job)
{
    EXPECT_TRUE(wait_until([] { return listed_bytes() == worker_count * id_bytes; }, patience)) << listed_bytes();
}

// Guards against a successor that waits for replaced workers, as it does not know the VMs of those in the list.
TEST_F(scheduler_takeover, the_vms_of_workers_with_leases_are_stored_beside_the_list)
{
    // An id of eight characters and a VM of three, each followed by a blank, in base64.
    constexpr auto bytes = (worker_count * 13 + 2) / 3 * 4;
    EXPECT_TRUE(wait_until([] { return value_bytes("leased-worker-vms") == bytes; }, patience))
        << value_bytes("leased-worker-vms");
}

// Guards against a decider that waits for a worker which left long before its term, because no job's progress has been
// written since.
TEST_F(scheduler_takeover, a_worker_that_left_is_removed_from_the_stored_list_without_a_job)
{
    ASSERT_TRUE(wait_until([] { return listed_bytes() == worker_count * id_bytes; }, patience)) << listed_bytes();
    control({{"unregistered", "worker-2"}});
    EXPECT_TRUE(wait_until([] { return listed_bytes() == (worker_count - 1) * id_bytes; }, patience)) << listed_bytes();
}

// Guards against entry VMs that repeat large reads with a time limit that a link shared by all of them exceeds: what
// they give up and begin again keeps the link full, so that none of them ever gets its configuration or its jobs.
TEST_F(scheduler_takeover, ends_after_a_common_restart_on_a_slow_link_of_the_store)
{
    constexpr int stored_jobs{3'000};
    constexpr int link_bytes_per_s{1'000'000};
    constexpr std::size_t queues{1'600};
    constexpr std::size_t host_size{400};
    constexpr milliseconds takeover_limit{30'000};
    submit(first_job, 1);
    ASSERT_TRUE(wait_until([] { return state_of(first_job) == "completed"; }, patience));
    control({{"copied_job", {{"id", first_job}, {"copies", stored_jobs}}},
             {"config", config_of(2, queues, host_size)},
             {"link_bytes_per_s", link_bytes_per_s}});
    for (std::size_t index = 0; index < entry_vm_count; ++index) {
        kill(index);
    }
    for (std::size_t index = 0; index < entry_vm_count; ++index) {
        start(index);
    }
    ASSERT_TRUE(wait_until([] { return are_ready() && decider() < entry_vm_count; }, takeover_limit));
    submit(second_job, 1);
    EXPECT_TRUE(wait_until([this] { return control()["starts"].size() == 2; }, patience));
    EXPECT_EQ(state_of("000000000000" + std::to_string(stored_jobs - 1)), "completed");
}

} // namespace
