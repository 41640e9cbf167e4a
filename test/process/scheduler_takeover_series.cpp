#include "scheduler_stale_lease.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

/** @brief A long-running task has to run again this long after its last run: the platform allows 6 s for its leases to
 * end, and 3 s to start it where there is room. */
constexpr std::int64_t restart_limit_ms{9'000};

/** @brief Limit for a start that the end of a stale lease delays: the drift of the clocks, the writes of the list, and
 * a takeover at the end of the lease. A wait that a successor begins anew exceeds it. */
constexpr std::int64_t stale_restart_limit_ms{3'000};

/** @brief Long enough that a decider takes a worker for silent which does not respond, and stores that. */
constexpr milliseconds noticed_loss_time{2'500};

/** @brief Deciders that follow each other while a worker with a long-running task is lost. */
template<class DeploymentFixture>
class takeover_series : public DeploymentFixture {
protected:
    /** @brief Submits a job with one long-running task, and waits until it runs. */
    auto run_long_task() -> void
    {
        const json step{
            {"count", 1}, {"cpu", task_cpu}, {"mem_mb", 64}, {"est_runtime_ms", 60'000}, {"long_running", true}};
        const json body{{"spec", "watch the signals"}, {"steps", json::array({step})}};
        this->control({{"run_ms", 60'000}});
        ASSERT_TRUE(wait_until(
            [&] {
                return call(http::verb::post, this->client_address(0), this->path_of(first_job), body).m_status == 200;
            },
            patience));
        ASSERT_TRUE(wait_until([this] { return this->control()["starts"].size() == 1; }, patience));
        m_worker = this->control()["starts"][0]["worker"];
    }

    /** @brief Leaves all calls to the task's worker unanswered from now on, and no entry of it is written any more.
     * @param removes_entry The present entry is removed at once, and does not stay until it expires. */
    auto lose_worker(const bool removes_entry) -> void
    {
        json faults{{"cut_off", json::array({m_worker})}, {"overwritten", m_worker}};
        if (removes_entry) {
            faults["unregistered"] = m_worker;
        }
        m_lost_ms = this->control(faults)["clock_ms"].template get<std::int64_t>();
    }

    /** @brief Kills the decider, starts its process again when the other entry VM has taken over, and lets the new
     * term last for some time. */
    auto replace_decider_for(const milliseconds term) -> void
    {
        const auto killed = this->decider();
        ASSERT_LT(killed, entry_vm_count);
        this->kill(killed);
        wait_for_takeover();
        this->start(killed);
        std::this_thread::sleep_for(term);
    }

    /** @brief Kills the decider and starts its process again, which takes over if it is the only one, and lets the new
     * term last for some time. */
    auto restart_decider_for(const milliseconds term) -> void
    {
        const auto killed = this->decider();
        ASSERT_LT(killed, entry_vm_count);
        this->kill(killed);
        this->start(killed);
        wait_for_takeover();
        std::this_thread::sleep_for(term);
    }

    /** @brief Waits until the decider has had reports of the task's worker. */
    auto wait_for_reports() const -> void
    {
        const auto renewals = [this] {
            return this->control()["renewals"][m_worker].template get<std::int64_t>();
        };
        const auto before = renewals();
        ASSERT_TRUE(wait_until([&] { return renewals() > before + 1; }, patience));
    }

    /**
     * @brief Expects the task to start on another worker, not while it runs on the lost one, and soon.
     * @param last_run_ms Last time at which the task may have run, on the platform's clock.
     * @param limit_ms Longest time from then until the start.
     */
    auto expect_restart(const std::int64_t last_run_ms, const std::int64_t limit_ms) const -> void
    {
        ASSERT_TRUE(wait_until([this] { return this->control()["starts"].size() > 1; }, restart_patience));
        const auto seen = this->control();
        ASSERT_EQ(seen["starts"].size(), 2U);
        const auto started = [](const json& row) {
            return row["clock_ms"].template get<std::int64_t>();
        };
        const auto& starts = seen["starts"];
        const auto& last = started(starts[0]) < started(starts[1]) ? starts[1] : starts[0];
        const auto delay = started(last) - last_run_ms;
        std::string terms;
        for (const auto takeover : m_takeovers_ms) {
            terms += ' ' + std::to_string(takeover - last_run_ms);
        }
        const auto times = "start " + std::to_string(delay) + " ms after the last run, takeovers at" + terms + " ms";
        std::cout << times << '\n';
        EXPECT_NE(last["worker"], m_worker);
        EXPECT_GE(delay, 0) << times;
        EXPECT_LE(delay, limit_ms) << times;
        EXPECT_EQ(seen["doubled_runs"], 0)
            << "the lease had " << seen["doubled_lease_left_ms"] << " ms left, " << times;
    }

    [[nodiscard]] auto lost_ms() const noexcept -> std::int64_t { return m_lost_ms; }

private:
    auto wait_for_takeover() -> void
    {
        ASSERT_TRUE(wait_until([this] { return this->decider() < entry_vm_count; }, patience));
        m_takeovers_ms.push_back(this->control()["clock_ms"].template get<std::int64_t>());
    }

    std::string m_worker;
    std::int64_t m_lost_ms{0};
    std::vector<std::int64_t> m_takeovers_ms;
};

using scheduler_takeover_series = takeover_series<scheduler_deployment>;
using scheduler_stale_takeover_series = takeover_series<scheduler_stale_lease>;

// Guards against a task that does not run while each decider in turn waits for a worker that has left, from its own
// election on.
TEST_F(scheduler_takeover_series, does_not_prolong_the_wait_for_a_worker_that_has_left)
{
    run_long_task();
    lose_worker(true);
    replace_decider_for(milliseconds{1'000});
    replace_decider_for(milliseconds{1'000});
    replace_decider_for(milliseconds{0});
    expect_restart(lost_ms(), restart_limit_ms);
}

// Guards against a task that does not run while each decider in turn waits for a worker that is lost for good, whose
// entry stays for some time.
TEST_F(scheduler_takeover_series, does_not_prolong_the_wait_for_a_worker_whose_entry_stays_until_it_expires)
{
    run_long_task();
    lose_worker(false);
    replace_decider_for(milliseconds{3'000});
    replace_decider_for(milliseconds{0});
    expect_restart(lost_ms(), restart_limit_ms);
}

// Guards against a decider that takes a young worker, which has reported to its predecessor, for a restarted one, and
// waits for the longest lease of it.
TEST_F(scheduler_takeover_series, does_not_wait_for_a_stale_lease_of_a_young_worker)
{
    run_long_task();
    replace_decider_for(milliseconds{0});
    wait_for_reports();
    lose_worker(true);
    replace_decider_for(milliseconds{0});
    expect_restart(lost_ms(), restart_limit_ms);
}

// Guards against a decider that begins to wait anew for a worker which its predecessor has found silent, with a task
// that the decider before that one has started.
TEST_F(scheduler_takeover_series, does_not_prolong_the_wait_for_a_job_that_was_opened_in_the_term_before_last)
{
    run_long_task();
    replace_decider_for(milliseconds{0});
    wait_for_reports();
    lose_worker(true);
    std::this_thread::sleep_for(noticed_loss_time);
    replace_decider_for(milliseconds{0});
    expect_restart(lost_ms(), restart_limit_ms);
}

// Guards against a decider that counts the stored end of a wait from the start of its own process: it was started after
// its predecessor's election, and has not seen when that was.
TEST_F(scheduler_takeover_series, does_not_prolong_the_wait_if_each_decider_is_a_new_process)
{
    run_long_task();
    kill(1 - decider());
    lose_worker(true);
    restart_decider_for(milliseconds{900});
    restart_decider_for(milliseconds{900});
    restart_decider_for(milliseconds{900});
    restart_decider_for(milliseconds{0});
    expect_restart(lost_ms(), restart_limit_ms);
}

// Guards against a second run while the stale lease of a restarted worker lasts, and against a task that does not run
// while each of two further deciders begins to wait for the end of that lease anew.
TEST_F(scheduler_stale_takeover_series, neither_shortens_nor_prolongs_the_wait_for_a_restarted_worker)
{
    hold_renewal();
    restart_with_late_call();
    const auto restarted = control();
    const auto stale_end =
        restarted["clock_ms"].get<std::int64_t>() + restarted["released_calls"][0]["lease_left_ms"].get<std::int64_t>();
    wait_for_renewal();
    run_long_task();
    wait_for_reports();
    cut_off_worker();
    end_draining();
    replace_decider_for(milliseconds{2'000});
    replace_decider_for(milliseconds{0});
    expect_restart(stale_end, stale_restart_limit_ms);
}

} // namespace
