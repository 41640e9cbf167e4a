#include "scheduler_deployment.hpp"

#include <chrono>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

/** @brief The platform carries out unanswered calls up to 12 s late. */
constexpr milliseconds command_delay{8'000};

/** @brief Time that the workers run before the late start is sent, and from then to their restart. The lease in the
 * start is a time of the earlier incarnation's clock, and has not ended by the clock of the new one. */
constexpr milliseconds uptime{5'000};
constexpr milliseconds restart_delay{5'500};

/** @brief With this CPU capacity, a decider calls its workers through the other entry VM. */
constexpr double few_cores{0.005};

class scheduler_worker_restart : public scheduler_deployment {
protected:
    explicit scheduler_worker_restart(const double cpu_share = 1.0) : scheduler_deployment{cpu_share} {}

    /** @brief Submits a job with one task whose first start gets no response and is carried out late, and waits for the
     * job's end on another worker. */
    auto complete_job_with_late_start() const -> void
    {
        std::this_thread::sleep_for(uptime);
        control({{"command_delay_ms", command_delay.count()}});
        submit(first_job, 1);
        ASSERT_TRUE(wait_until([this] { return control()["held_starts"].size() == 1; }, patience));
        const auto sent = std::chrono::steady_clock::now();
        control({{"command_delay_ms", 0}});
        ASSERT_TRUE(wait_until([] { return state_of(first_job) == "completed"; }, patience));
        ASSERT_EQ(control()["starts"].size(), 1U) << "the first start is still on its way";
        std::this_thread::sleep_until(sent + restart_delay);
    }

    /** @brief Waits until the late start has arrived at its worker. */
    static auto wait_for_late_start() -> void
    {
        std::this_thread::sleep_for(command_delay - restart_delay + milliseconds{1'500});
    }
};

class scheduler_relayed_worker_restart : public scheduler_worker_restart {
protected:
    scheduler_relayed_worker_restart() : scheduler_worker_restart{few_cores} {}
};

// Guards against a completed task that runs again: a late start reaches a worker that has started again under its id,
// and has seen no fencing token that would make it refuse the start.
TEST_F(scheduler_worker_restart, a_late_start_to_an_earlier_incarnation_is_refused)
{
    complete_job_with_late_start();
    control({{"restart_workers", true}});
    wait_for_late_start();
    EXPECT_EQ(control()["starts"].size(), 1U);
    EXPECT_EQ(control()["repeated_tasks"], 0);
}

// Guards against relays that call a restarted worker with the token of the term.
TEST_F(scheduler_relayed_worker_restart, a_late_start_to_an_earlier_incarnation_is_refused)
{
    complete_job_with_late_start();
    EXPECT_GT(metric(1 - decider(), "cicadalug_scheduler_relayed_calls_total"), 0.0);
    control({{"restart_workers", true}});
    wait_for_late_start();
    EXPECT_EQ(control()["starts"].size(), 1U);
    EXPECT_EQ(control()["repeated_tasks"], 0);
}

// Guards against a token that is raised for the first restart of a worker only.
TEST_F(scheduler_worker_restart, a_late_start_is_refused_after_two_restarts)
{
    complete_job_with_late_start();
    control({{"restart_workers", true}});
    std::this_thread::sleep_for(milliseconds{500});
    control({{"restart_workers", true}});
    wait_for_late_start();
    EXPECT_EQ(control()["starts"].size(), 1U);
    EXPECT_EQ(control()["repeated_tasks"], 0);
}

// Guards against workers that refuse a successor's calls, as its predecessor has raised their token.
TEST_F(scheduler_worker_restart, a_successor_starts_tasks_on_restarted_workers)
{
    const auto first = decider();
    control({{"restart_workers", true}});
    std::this_thread::sleep_for(milliseconds{500});
    submit(first_job, 1);
    ASSERT_TRUE(wait_until([] { return state_of(first_job) == "completed"; }, patience));
    kill(first);
    ASSERT_TRUE(wait_until([first] { return decider() == 1 - first; }, patience));
    start(first);
    ASSERT_TRUE(wait_until([] { return are_ready(); }, patience));
    submit(second_job, concurrent_tasks);
    EXPECT_TRUE(wait_until([] { return state_of(second_job) == "completed"; }, patience));
    EXPECT_EQ(control()["starts"].size(), 1 + concurrent_tasks);
}

} // namespace
