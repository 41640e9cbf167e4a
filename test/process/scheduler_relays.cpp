#include "scheduler_deployment.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

/** @brief With this CPU capacity, a decider has too many workers even with three, and both entry VMs are weak. */
constexpr double few_cores{0.005};

/** @brief A deployment whose decider calls its workers through the other entry VM. */
class scheduler_relays : public scheduler_deployment {
protected:
    scheduler_relays() : scheduler_deployment{few_cores} {}

    /** @brief Returns the number of calls that an entry VM has carried out as a relay. */
    [[nodiscard]] static auto relayed_calls(const std::size_t index) -> double
    {
        return metric(index, "cicadalug_scheduler_relayed_calls_total");
    }
};

// Guards against a deployment with more workers than its decider can call, in which leases expire and tasks wait.
TEST_F(scheduler_relays, tasks_run_once_through_a_relay)
{
    submit(first_job, 3 * concurrent_tasks);
    EXPECT_TRUE(wait_until([] { return state_of(first_job) == "completed"; }, patience));
    const auto seen = control();
    EXPECT_EQ(started_tasks(seen), 3 * concurrent_tasks);
    EXPECT_EQ(seen["starts"].size(), 3 * concurrent_tasks) << "no task ran twice";
    EXPECT_GT(relayed_calls(1 - decider()), 0.0);
}

// Guards against stops that get lost on their way through a relay.
TEST_F(scheduler_relays, a_cancelled_job_is_stopped_through_a_relay)
{
    control({{"run_ms", 60'000}});
    submit(first_job, 4 * concurrent_tasks);
    wait_until_workers_are_full();
    const auto acknowledged = cancel(first_job, 1);
    EXPECT_TRUE(wait_until([this] { return control()["running"] == 0; }, cancel_bound + stop_grace));
    std::this_thread::sleep_for(cancel_bound + stop_grace);
    expect_no_late_start(control(), acknowledged);
}

// Guards against leases that expire, and tasks that are then started again, because their relay is gone.
TEST_F(scheduler_relays, runs_survive_the_loss_of_the_relay)
{
    control({{"run_ms", 4'000}});
    submit(first_job, concurrent_tasks);
    wait_until_workers_are_full();
    const auto relay = 1 - decider();
    kill(relay);
    const auto other = 1 - relay;
    EXPECT_TRUE(wait_until([other] { return state_of(first_job, other) == "completed"; }, patience));
    EXPECT_EQ(control()["starts"].size(), concurrent_tasks) << "no task was started again";
}

} // namespace
