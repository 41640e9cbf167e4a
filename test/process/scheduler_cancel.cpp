#include "deployment.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;
using nlohmann::json;

constexpr std::size_t entry_vm_count{2};
constexpr std::size_t worker_count{3};
constexpr int worker_cpu{2'000};
constexpr int task_cpu{1'000};
constexpr std::size_t concurrent_tasks{worker_count * worker_cpu / task_cpu};

constexpr int store_port{7'900};
constexpr int first_worker_port{7'910};
constexpr int first_client_port{8'000};
constexpr int first_readiness_port{8'010};
constexpr int first_peer_port{8'020};

constexpr const char* first_job{"1a365c03c12a8600"};
constexpr const char* second_job{"5c1e584a4c79cf6b"};

/** @brief Bounds of the platform's settings: no task of a cancelled job is started later than the first one after the
 * response to the cancellation, and none runs longer than the second one after that. */
constexpr milliseconds cancel_bound{3'000};
constexpr milliseconds stop_grace{400};

/** @brief How long the workers are observed after a cancellation. */
constexpr milliseconds observed_time{6'000};

/** @brief Limit for steps of a test that take a fraction of it on an idle machine. */
constexpr milliseconds patience{15'000};

class scheduler_cancel : public ::testing::Test {
protected:
    scheduler_cancel()
    {
        json config{{"version", 1}, {"limits", json::object()}};
        config["services"] = json::array({{{"name", "batch"}, {"enforces_capacity", false}}});
        // The requests of these tests have no Host header.
        config["routes"] = json::array({{{"name", "night"},
                                         {"host", ""},
                                         {"prefix", "/night/"},
                                         {"service", "batch"},
                                         {"timeout_ms", 3'000},
                                         {"priority", 0},
                                         {"max_attempts", 3},
                                         {"stretch", 3.0},
                                         {"target_duration_ms", 10'000}}});
        std::vector<std::string> arguments{"--listen",    m_store, "--config",
                                           config.dump(), "--cpu", std::to_string(worker_cpu)};
        for (std::size_t index = 0; index < worker_count; ++index) {
            arguments.insert(arguments.end(), {"--worker", at_port(first_worker_port, index)});
        }
        m_platform =
            std::make_unique<child_process>(CICADALUG_STANDIN_DIRECTORY "/scheduler_platform_standin", arguments);
        EXPECT_TRUE(wait_for_port(m_store));
        for (std::size_t index = 0; index < entry_vm_count; ++index) {
            const auto path = settings_path(index);
            write_settings(path, index);
            ::setenv("CICADALUG_NODE_FILE", path.c_str(), 1);
            m_entry_vms.push_back(
                std::make_unique<child_process>(CICADALUG_CICADALUGD, std::vector<std::string>{"--scheduler"}));
        }
        EXPECT_TRUE(wait_until([this] { return are_ready() && decider() < entry_vm_count; }, patience));
    }

    ~scheduler_cancel() override
    {
        m_entry_vms.clear();
        for (std::size_t index = 0; index < entry_vm_count; ++index) {
            std::error_code ignored;
            std::filesystem::remove(settings_path(index), ignored);
        }
    }

    [[nodiscard]] static auto at_port(const int first_port, const std::size_t index) -> std::string
    {
        return loopback_address() + ':' + std::to_string(first_port + static_cast<int>(index));
    }

    [[nodiscard]] static auto client_address(const std::size_t index) -> std::string
    {
        return at_port(first_client_port, index);
    }

    [[nodiscard]] static auto settings_path(const std::size_t index) -> std::string
    {
        return ::testing::TempDir() + "cicadalug-scheduler-" + std::to_string(::getpid()) + '-' +
               std::to_string(index) + ".toml";
    }

    auto write_settings(const std::string& path, const std::size_t index) const -> void
    {
        std::ofstream file{path};
        file << "node_name = \"front-" << index << "\"\nzone = \"a\"\ninternal_ports = ["
             << first_peer_port + static_cast<int>(index) << "]\n[listen]\nfront = \"" << client_address(index)
             << "\"\nreadiness = \"" << at_port(first_readiness_port, index)
             << "\"\n[limits]\ncpu_share = 1.0\ncores = 1\n"
             << "[bounds]\nhold_max_ms = 10000\nstop_grace_ms = " << stop_grace.count()
             << "\ncancel_ms = " << cancel_bound.count() << "\ncontact_ms = 3000\ngrace_s = 6\nstatus_s = 120\n"
             << "lease_ms = 3000\n[platform]\naddress = \"" << m_store << "\"\nttl_min_ms = 1000\n";
    }

    [[nodiscard]] static auto are_ready() -> bool
    {
        for (std::size_t index = 0; index < entry_vm_count; ++index) {
            if (call(http::verb::get, at_port(first_readiness_port, index), "/cicadalug/ready").m_status != 200) {
                return false;
            }
        }
        return true;
    }

    /**
     * @brief Returns the index of the decider that has loaded the jobs, or the number of entry VMs if there is none.
     * Only a loaded decider tells its peers whether it knows a job; it counts jobs only while its copy is recent.
     */
    [[nodiscard]] static auto decider() -> std::size_t
    {
        for (std::size_t index = 0; index < entry_vm_count; ++index) {
            const auto status =
                call(http::verb::get, at_port(first_peer_port, index), std::string{"/jobs/"} + first_job).m_status;
            if (status == 200 || status == 404) {
                return index;
            }
        }
        return entry_vm_count;
    }

    /** @brief Sets faults at the platform, or only reads its observations if `faults` is null. */
    auto control(const json& faults = nullptr) const -> json
    {
        return call(faults.is_null() ? http::verb::get : http::verb::post, m_store, "/control", faults).m_body;
    }

    [[nodiscard]] static auto path_of(const std::string& job) -> std::string { return "/night/" + job; }

    auto submit(const std::string& job, const std::size_t tasks) const -> void
    {
        const json step{{"count", tasks}, {"cpu", task_cpu}, {"mem_mb", 64}, {"est_runtime_ms", 1'000}};
        const json body{{"spec", "sort waggons"}, {"steps", json::array({step})}};
        const auto accepted = wait_until(
            [&] { return call(http::verb::post, client_address(0), path_of(job), body).m_status == 200; }, patience);
        ASSERT_TRUE(accepted);
    }

    /** @brief Waits until tasks of a job run on all workers, so that its other tasks wait. */
    auto wait_until_workers_are_full() const -> void
    {
        ASSERT_TRUE(wait_until([this] { return control()["starts"].size() >= concurrent_tasks; }, patience));
    }

    /** @brief Cancels a job. @return Time of the response on the platform's clock, in milliseconds. */
    [[nodiscard]] auto cancel(const std::string& job, const std::size_t entry_vm) const -> std::int64_t
    {
        const auto status = call(http::verb::delete_, client_address(entry_vm), path_of(job)).m_status;
        const auto acknowledged = control()["clock_ms"].get<std::int64_t>();
        EXPECT_EQ(status, 200U);
        return acknowledged;
    }

    [[nodiscard]] static auto state_of(const std::string& job) -> std::string
    {
        const auto response = call(http::verb::get, client_address(1), path_of(job));
        return response.m_body.is_object() ? response.m_body.value("state", "") : std::string{};
    }

    /** @brief Returns the number of distinct tasks that were started. */
    [[nodiscard]] static auto started_tasks(const json& seen) -> std::size_t
    {
        std::set<std::string> tasks;
        for (const auto& start : seen["starts"]) {
            tasks.insert(start["task"].get<std::string>());
        }
        return tasks.size();
    }

    static auto expect_no_late_start(const json& seen, const std::int64_t acknowledged) -> void
    {
        std::size_t late{0};
        std::int64_t latest{0};
        for (const auto& start : seen["starts"]) {
            const auto delay = start["clock_ms"].get<std::int64_t>() - acknowledged;
            late += delay > cancel_bound.count() ? 1U : 0U;
            latest = std::max(latest, delay);
        }
        EXPECT_EQ(late, 0U) << "tasks were started later than " << cancel_bound.count()
                            << " ms after the response to the cancellation, the last one " << latest << " ms after it";
    }

    auto kill(const std::size_t index) -> void { m_entry_vms.at(index).reset(); }

private:
    const std::string m_store{at_port(store_port, 0)};
    std::unique_ptr<child_process> m_platform;
    std::vector<std::unique_ptr<child_process>> m_entry_vms;
};

// Guards against a stop that is not sent and against waiting tasks that start on the workers that become free.
TEST_F(scheduler_cancel, a_cancelled_job_is_stopped_and_starts_nothing)
{
    control({{"run_ms", 60'000}});
    submit(first_job, 4 * concurrent_tasks);
    wait_until_workers_are_full();
    const auto acknowledged = cancel(first_job, 1);
    EXPECT_TRUE(wait_until([this] { return control()["running"] == 0; }, cancel_bound + stop_grace));
    std::this_thread::sleep_for(cancel_bound + stop_grace);
    const auto seen = control();
    EXPECT_GE(seen["stops"].size(), concurrent_tasks);
    EXPECT_EQ(seen["running"], 0);
    expect_no_late_start(seen, acknowledged);
    EXPECT_EQ(state_of(first_job), "cancelled");
}

// Guards against a scheduler that does not resume after its copy of the jobs was out of date.
TEST_F(scheduler_cancel, tasks_start_again_when_the_watch_of_jobs_is_back)
{
    constexpr milliseconds silence{5'000};
    submit(first_job, 5 * concurrent_tasks);
    wait_until_workers_are_full();
    control({{"silent_watch", "job/"}});
    submit(second_job, concurrent_tasks);
    std::this_thread::sleep_for(silence);
    control({{"silent_watch", ""}});
    EXPECT_TRUE(
        wait_until([] { return state_of(first_job) == "completed" && state_of(second_job) == "completed"; }, patience));
    EXPECT_EQ(started_tasks(control()), 6 * concurrent_tasks);
}

// Guards against tasks that a decider starts by an outdated copy of the jobs, because its watch gets no responses.
TEST_F(scheduler_cancel, no_task_starts_long_after_the_cancel_when_the_watch_of_jobs_is_silent)
{
    constexpr std::size_t tasks{10 * concurrent_tasks};
    submit(first_job, tasks);
    wait_until_workers_are_full();
    const auto current = decider();
    ASSERT_LT(current, entry_vm_count);
    control({{"silent_watch", "job/"}});
    const auto acknowledged = cancel(first_job, 1 - current);
    std::this_thread::sleep_for(observed_time);
    const auto seen = control();
    expect_no_late_start(seen, acknowledged);
    EXPECT_LT(started_tasks(seen), tasks) << "no task was left to start at the end";
}

// Guards against tasks that a new decider starts by a list of the jobs that is older than the cancellation.
TEST_F(scheduler_cancel, no_task_starts_long_after_a_cancel_during_a_takeover_with_slow_lists)
{
    constexpr std::size_t tasks{10 * concurrent_tasks};
    constexpr int list_delay_ms{450};
    submit(first_job, tasks);
    wait_until_workers_are_full();
    const auto lists_of_jobs = [this] {
        return control()["lists"].value("job/", 0);
    };
    const auto killed = decider();
    ASSERT_LT(killed, entry_vm_count);
    control({{"silent_watch", "job/"}, {"delays_ms", {{"/cicadalug/kv-range", list_delay_ms}}}});
    kill(killed);
    const auto lists_before = lists_of_jobs();
    ASSERT_TRUE(wait_until([&] { return lists_of_jobs() > lists_before; }, patience));
    const auto survivor = 1 - killed;
    const auto acknowledged = cancel(first_job, survivor);
    std::this_thread::sleep_for(observed_time);
    const auto seen = control();
    expect_no_late_start(seen, acknowledged);
    EXPECT_EQ(decider(), survivor);
    EXPECT_LT(started_tasks(seen), tasks) << "no task was left to start at the end";
}

} // namespace
