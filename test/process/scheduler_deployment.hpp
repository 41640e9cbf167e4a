#ifndef CICADALUG_PROCESS_TEST_SCHEDULER_DEPLOYMENT_HPP
#define CICADALUG_PROCESS_TEST_SCHEDULER_DEPLOYMENT_HPP

#include "deployment.hpp"

#include <cicadalug/http/http_connection.hpp>

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
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace cicadalug::process_test {

using nlohmann::json;

inline constexpr std::size_t entry_vm_count{2};
inline constexpr std::size_t worker_count{3};
inline constexpr int worker_cpu{2'000};
inline constexpr int task_cpu{1'000};
inline constexpr std::size_t concurrent_tasks{worker_count * worker_cpu / task_cpu};

inline constexpr int store_port{7'900};
inline constexpr int first_worker_port{7'910};
inline constexpr int first_client_port{8'000};
inline constexpr int first_readiness_port{8'010};
inline constexpr int first_peer_port{8'020};

inline constexpr const char* first_job{"1a365c03c12a8600"};
inline constexpr const char* second_job{"5c1e584a4c79cf6b"};

/** @brief Bounds of the platform's settings: no task of a cancelled job is started later than the first one after the
 * response to the cancellation, and none runs longer than the second one after that. */
inline constexpr milliseconds cancel_bound{3'000};
inline constexpr milliseconds stop_grace{400};

/** @brief How long the workers are observed after a cancellation. */
inline constexpr milliseconds observed_time{6'000};

/** @brief Limit for steps of a test that take a fraction of it on an idle machine. */
inline constexpr milliseconds patience{15'000};

/** @brief Entry VMs of one zone as processes, with stand-ins of the platform's store and of workers. */
class scheduler_deployment : public ::testing::Test {
protected:
    /**
     * @param cpu_share CPU capacity that the settings of the entry VMs state, in cores.
     * @param value_bytes Maximum size of a value in the store that the settings state.
     */
    explicit scheduler_deployment(const double cpu_share = 1.0, const std::size_t value_bytes = 1'048'576)
        : m_cpu_share{cpu_share}, m_value_bytes{value_bytes}
    {
        const auto config = config_of(1, 0, 0);
        std::vector<std::string> arguments{"--listen",    m_store, "--config",
                                           config.dump(), "--cpu", std::to_string(worker_cpu)};
        for (std::size_t index = 0; index < worker_count; ++index) {
            arguments.insert(arguments.end(), {"--worker", at_port(first_worker_port, index)});
        }
        m_platform =
            std::make_unique<child_process>(CICADALUG_STANDIN_DIRECTORY "/scheduler_platform_standin", arguments);
        EXPECT_TRUE(wait_for_port(m_store));
        for (std::size_t index = 0; index < entry_vm_count; ++index) {
            write_settings(settings_path(index), index);
            m_entry_vms.emplace_back();
            start(index);
        }
        EXPECT_TRUE(wait_until([this] { return are_ready() && decider() < entry_vm_count; }, patience));
    }

    ~scheduler_deployment() override
    {
        m_entry_vms.clear();
        for (std::size_t index = 0; index < entry_vm_count; ++index) {
            std::error_code ignored;
            std::filesystem::remove(settings_path(index), ignored);
        }
    }

    /** @brief Returns a configuration with the queue of the tests and further ones. @param host_size Size of the host
     * name of each further queue. */
    [[nodiscard]] static auto config_of(const int version, const std::size_t further_queues,
                                        const std::size_t host_size) -> json
    {
        json config{{"version", version}, {"limits", json::object()}};
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
        for (std::size_t index = 0; index < further_queues; ++index) {
            auto queue = config["routes"][0];
            queue["name"] = "night-" + std::to_string(index);
            queue["host"] = std::string(host_size, 'x') + std::to_string(index);
            config["routes"].push_back(std::move(queue));
        }
        return config;
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
             << first_peer_port + 2 * static_cast<int>(index) << ", "
             << first_peer_port + 2 * static_cast<int>(index) + 1 << "]\n[listen]\nfront = \"" << client_address(index)
             << "\"\nreadiness = \"" << at_port(first_readiness_port, index)
             << "\"\n[limits]\ncpu_share = " << m_cpu_share << "\ncores = 1\n"
             << "[bounds]\nhold_max_ms = 10000\nstop_grace_ms = " << stop_grace.count()
             << "\ncancel_ms = " << cancel_bound.count() << "\ncontact_ms = 3000\ngrace_s = 6\nstatus_s = 120\n"
             << "lease_ms = 3000\n[platform]\naddress = \"" << m_store
             << "\"\nttl_min_ms = 1000\nvalue_bytes = " << m_value_bytes << '\n';
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
                call(http::verb::get, at_port(first_peer_port, 2 * index), std::string{"/jobs/"} + first_job).m_status;
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

    auto submit(const std::string& job, const std::size_t tasks, const int cpu = task_cpu) const -> void
    {
        const json step{{"count", tasks}, {"cpu", cpu}, {"mem_mb", 64}, {"est_runtime_ms", 1'000}};
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

    [[nodiscard]] static auto state_of(const std::string& job, const std::size_t entry_vm = 1) -> std::string
    {
        const auto response = call(http::verb::get, client_address(entry_vm), path_of(job));
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

    /** @brief Checks the starts of one job, or of all jobs if `job` is empty, after the response to a cancellation. */
    static auto expect_no_late_start(const json& seen, const std::int64_t acknowledged, const std::string& job = {})
        -> void
    {
        std::size_t late{0};
        std::int64_t latest{0};
        for (const auto& start : seen["starts"]) {
            if (!start["task"].get_ref<const std::string&>().starts_with(job)) {
                continue;
            }
            const auto delay = start["clock_ms"].get<std::int64_t>() - acknowledged;
            late += delay > cancel_bound.count() ? 1U : 0U;
            latest = std::max(latest, delay);
        }
        EXPECT_EQ(late, 0U) << "tasks were started later than " << cancel_bound.count()
                            << " ms after the response to the cancellation, the last one " << latest << " ms after it";
    }

    /** @brief Reads a metric without labels of an entry VM. @return Its value; 0 if it is not there. */
    [[nodiscard]] static auto metric(const std::size_t index, const std::string& name) -> double
    {
        http_request request{http::verb::get, "/metrics", 11};
        findings found;
        const auto endpoint = parse_endpoint(at_port(first_peer_port, 2 * index + 1), "metrics", found);
        const auto response = http_fetch_blocking(endpoint, std::move(request), patience);
        if (!response) {
            return 0.0;
        }
        std::istringstream lines{response.assume_value().body()};
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name + ' ')) {
                return std::stod(line.substr(name.size() + 1));
            }
        }
        return 0.0;
    }

    /** @brief Starts the process of an entry VM. @pre It does not run. */
    auto start(const std::size_t index) -> void
    {
        ::setenv("CICADALUG_NODE_FILE", settings_path(index).c_str(), 1);
        m_entry_vms.at(index) =
            std::make_unique<child_process>(CICADALUG_CICADALUGD, std::vector<std::string>{"--scheduler"});
    }

    auto kill(const std::size_t index) -> void { m_entry_vms.at(index).reset(); }

private:
    const double m_cpu_share;
    const std::size_t m_value_bytes;
    const std::string m_store{at_port(store_port, 0)};
    std::unique_ptr<child_process> m_platform;
    std::vector<std::unique_ptr<child_process>> m_entry_vms;
};

} // namespace cicadalug::process_test

#endif
