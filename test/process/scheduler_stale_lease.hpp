#ifndef CICADALUG_PROCESS_TEST_SCHEDULER_STALE_LEASE_HPP
#define CICADALUG_PROCESS_TEST_SCHEDULER_STALE_LEASE_HPP

#include "scheduler_deployment.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

namespace cicadalug::process_test {

inline constexpr const char* restarted_worker{"worker-0"};

/** @brief Time that the workers run before a call is held: a lease by the clock of the earlier incarnation then ends
 * long after the restart by the clock of the new one, which shortens it to 10 s. */
inline constexpr milliseconds uptime{9'000};

/** @brief The platform carries out unanswered calls 2 to 12 s after they were sent. */
inline constexpr milliseconds earliest_late_call{2'000};

/** @brief Least time left of a stale lease after it was taken on, so that a test can tell it from a lease of 3.5 s. */
inline constexpr std::int64_t least_stale_lease_ms{9'000};

/** @brief After this time, the granted leases of a worker that is cut off have ended, and the list names it no more. */
inline constexpr milliseconds ended_lease_time{5'500};

/** @brief Limit for the start of a task on another worker: the longest lease, with room for a takeover. */
inline constexpr milliseconds restart_patience{22'000};

/** @brief With this CPU capacity, a decider calls its workers through the other entry VM. */
inline constexpr double few_cores{0.005};

/** @brief A worker whose new incarnation takes on a lease from a call to the earlier one, and that is cut off while it
 * runs a task. */
class scheduler_stale_lease : public scheduler_deployment {
protected:
    explicit scheduler_stale_lease(const double cpu_share = 1.0) : scheduler_deployment{cpu_share}
    {
        control({{"run_ms", 60'000}, {"draining", json::array({"worker-1", "worker-2"})}});
        std::this_thread::sleep_for(uptime);
    }

    /** @brief Leaves the next call of a path to the worker unanswered. */
    auto hold_next_call(const char* path) const -> void
    {
        control({{"hold_next", {{"worker", restarted_worker}, {"path", path}}}});
    }

    /** @brief Waits until the call is held, and marks its time. */
    auto wait_for_held_call() -> void
    {
        ASSERT_TRUE(wait_until([this] { return control()["held_calls"] == 1; }, patience));
        m_held_at = std::chrono::steady_clock::now();
    }

    auto hold_renewal() -> void
    {
        hold_next_call("/cicadalug/hold");
        wait_for_held_call();
    }

    /** @brief Starts the worker again, whose new incarnation carries out the held call before any other. */
    auto restart_with_late_call() const -> void
    {
        std::this_thread::sleep_until(m_held_at + earliest_late_call);
        const auto seen = control({{"restart_worker", restarted_worker}, {"release_held", true}});
        ASSERT_EQ(seen["released_calls"].size(), 1U);
        const auto& call = seen["released_calls"][0];
        ASSERT_EQ(call["accepted"], true);
        ASSERT_GE(call["lease_left_ms"].get<std::int64_t>(), least_stale_lease_ms);
    }

    /** @brief Allows tasks on the other workers, too, which are draining from the beginning. */
    auto end_draining() const -> void { control({{"draining", json::array()}}); }

    auto start_task_on_worker() const -> void
    {
        submit(first_job, 1);
        ASSERT_TRUE(wait_until([this] { return control()["starts"].size() == 1; }, restart_patience));
        ASSERT_EQ(control()["starts"][0]["worker"], restarted_worker);
        end_draining();
    }

    auto cut_off_worker() const -> void { control({{"cut_off", json::array({restarted_worker})}}); }

    auto connect_worker() const -> void { control({{"cut_off", json::array()}}); }

    /** @brief Kills the decider, starts its process again, and waits until one of both entry VMs has taken over. */
    auto replace_decider() -> void
    {
        const auto killed = decider();
        ASSERT_LT(killed, entry_vm_count);
        kill(killed);
        start(killed);
        ASSERT_TRUE(wait_until([] { return decider() < entry_vm_count; }, patience));
    }

    /** @brief Starts the worker again before the successor reaches it, lets the successor start a task there, and cuts
     * the worker off. */
    auto restart_between_two_terms() -> void
    {
        hold_renewal();
        cut_off_worker();
        replace_decider();
        restart_with_late_call();
        connect_worker();
        start_task_on_worker();
        cut_off_worker();
    }

    /** @brief Waits until the decider renews the lease of the worker. */
    auto wait_for_renewal() const -> void
    {
        const auto renewed = [this] {
            return control()["renewals"][restarted_worker].get<std::int64_t>();
        };
        const auto before = renewed();
        ASSERT_TRUE(wait_until([&] { return renewed() > before + 1; }, patience));
    }

    /** @brief Expects the task to start on another worker, and not while it runs on the one that is cut off. */
    auto expect_second_run_after_lease() const -> void
    {
        ASSERT_TRUE(wait_until([this] { return control()["starts"].size() == 2; }, restart_patience));
        const auto seen = control();
        EXPECT_NE(seen["starts"][1]["worker"], restarted_worker);
        EXPECT_EQ(seen["doubled_runs"], 0) << "the lease had " << seen["doubled_lease_left_ms"] << " ms left";
    }

private:
    std::chrono::steady_clock::time_point m_held_at{};
};

class scheduler_relayed_stale_lease : public scheduler_stale_lease {
protected:
    scheduler_relayed_stale_lease() : scheduler_stale_lease{few_cores} {}
};

} // namespace cicadalug::process_test

#endif
