#include "scheduler_deployment.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

class scheduler_odd_entries : public scheduler_deployment {
protected:
    /** @brief Returns an entry of a worker of the service, with one field replaced. */
    [[nodiscard]] static auto entry_with(const char* name, const json& value) -> std::string
    {
        json entry{{"service", "batch"}, {"address", at_port(first_worker_port, worker_count)},
                   {"zone", "a"},        {"version", "1"},
                   {"slots", 8},         {"state", "ready"},
                   {"cold_left_ms", 0},  {"seq", 1},
                   {"machine", "m-odd"}, {"born", 1}};
        entry["capacity"] = {{"cpu", worker_cpu}, {"mem_mb", 8'192}, {"gpu", 0}};
        entry["labels"] = {"kind-1", "r-1"};
        entry[name] = value;
        return entry.dump();
    }

    /** @brief Writes an entry that names no worker for each kind of odd value. */
    auto write_odd_entries() const -> void
    {
        constexpr std::size_t depth{20'000};
        const auto nested = std::string(depth, '[') + std::string(depth, ']');
        control({{"entries",
                  {{"odd-port", entry_with("address", loopback_address() + ":99999")},
                   {"odd-no-port", entry_with("address", loopback_address() + ":0")},
                   {"odd-cpu", entry_with("capacity", {{"cpu", 1e300}, {"mem_mb", 8'192}, {"gpu", 0}})},
                   {"odd-born", entry_with("born", 1e300)},
                   {"odd-nested", R"({"service":"batch","address":")" + at_port(first_worker_port, worker_count) +
                                      R"(","state":"ready","capacity":{"cpu":2000},"labels":)" + nested + "}"}}}});
    }

    /** @brief Replaces the decider while tasks wait. @return Time until another decider starts one of them. */
    [[nodiscard]] auto time_to_start_after_takeover() -> milliseconds
    {
        submit(first_job, 4 * concurrent_tasks);
        wait_until_workers_are_full();
        const auto first = decider();
        EXPECT_LT(first, entry_vm_count);
        const auto seen = control();
        const auto killed = seen["clock_ms"].get<std::int64_t>();
        const auto token = seen["starts"].back()["fence"].get<std::int64_t>();
        kill(first);
        std::int64_t started{0};
        const auto is_started = [&] {
            const auto observed = control();
            for (const auto& start : observed["starts"]) {
                if (start["fence"].get<std::int64_t>() > token && started == 0) {
                    started = start["clock_ms"].get<std::int64_t>();
                }
            }
            return started != 0;
        };
        EXPECT_TRUE(wait_until(is_started, patience));
        return milliseconds{started - killed};
    }
};

// Guards against a takeover that waits for the reports of workers which an odd entry seems to name: tasks of the last
// term stay unstarted until all its leases have ended.
TEST_F(scheduler_odd_entries, a_takeover_does_not_wait_for_an_entry_that_names_no_worker)
{
    write_odd_entries();
    // A decider's key expires within 1.2 s; a task may wait for 3 s while a worker has room.
    EXPECT_LE(time_to_start_after_takeover().count(), 4'200);
}

// Guards against the loss of a worker's runs when its entry is overwritten: the decider would call the wrong address
// until the worker's lease expires.
TEST_F(scheduler_odd_entries, runs_outlast_an_overwritten_entry)
{
    control({{"run_ms", 60'000}});
    submit(first_job, 1);
    ASSERT_TRUE(wait_until([this] { return control()["starts"].size() == 1; }, patience));
    const auto worker = control()["starts"][0]["worker"].get<std::string>();
    control({{"overwritten", worker}, {"entries", {{worker, entry_with("address", loopback_address() + ":99999")}}}});
    // The longest lease of a worker is 10 s.
    EXPECT_FALSE(wait_until([this] { return control()["starts"].size() > 1; }, milliseconds{12'000}));
    EXPECT_EQ(control()["running"], 1);
    EXPECT_EQ(control()["doubled_runs"], 0);
}

} // namespace
