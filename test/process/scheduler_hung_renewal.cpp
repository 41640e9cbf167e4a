#include "scheduler_stale_lease.hpp"

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

/** @brief A renewal to the earlier incarnation has no response until its time-out, and no decider changes. Starts on
 * other connections reach the next incarnation meanwhile. */
class scheduler_hung_renewal : public scheduler_stale_lease {
protected:
    explicit scheduler_hung_renewal(const double cpu_share = 1.0) : scheduler_stale_lease{cpu_share} {}

    /** @brief Starts the worker again under its id while the renewal hangs; its entry is late. */
    auto restart_without_entry() const -> void
    {
        control({{"overwritten", restarted_worker}, {"restart_worker", restarted_worker}});
    }

    auto write_entry() const -> void { control({{"overwritten", ""}, {"draining", json::array()}}); }
};

class scheduler_relayed_hung_renewal : public scheduler_hung_renewal {
protected:
    scheduler_relayed_hung_renewal() : scheduler_hung_renewal{few_cores} {}
};

// Guards against a second run of a task on whose worker a start brought the longest lease, as its end was a time of the
// earlier clock.
TEST_F(scheduler_hung_renewal, a_start_on_the_next_incarnation_holds_the_longest_lease)
{
    hold_renewal();
    control({{"restart_worker", restarted_worker}});
    start_task_on_worker();
    cut_off_worker();
    expect_second_run_after_lease();
}

// Guards against the same while the registry has the entry of the earlier incarnation.
TEST_F(scheduler_hung_renewal, a_start_on_an_incarnation_without_entry_holds_the_longest_lease)
{
    hold_renewal();
    restart_without_entry();
    start_task_on_worker();
    cut_off_worker();
    expect_second_run_after_lease();
}

TEST_F(scheduler_relayed_hung_renewal, a_start_on_an_incarnation_without_entry_holds_the_longest_lease)
{
    EXPECT_GT(metric(1 - decider(), "cicadalug_scheduler_relayed_calls_total"), 0.0);
    hold_renewal();
    restart_without_entry();
    start_task_on_worker();
    cut_off_worker();
    expect_second_run_after_lease();
}

// Guards against a second run of a task whose start was carried out by the next incarnation at once, but had no
// response: the worker is cut off, and its entry is late.
TEST_F(scheduler_hung_renewal, a_start_without_a_response_holds_the_longest_lease)
{
    hold_renewal();
    hold_next_call("/cicadalug/run-start");
    submit(first_job, 1);
    ASSERT_TRUE(wait_until([this] { return control()["held_calls"] == 2; }, patience));
    control({{"overwritten", restarted_worker},
             {"restart_worker", restarted_worker},
             {"release_held", true},
             {"cut_off", json::array({restarted_worker})}});
    ASSERT_EQ(control()["starts"].size(), 1U);
    std::this_thread::sleep_for(milliseconds{2'000});
    write_entry();
    expect_second_run_after_lease();
}

// Guards against a second run of completed tasks: the renewal after the time-out acknowledged ends of the earlier
// incarnation, and the next one forgot ends with the same numbers that no decider had seen.
TEST_F(scheduler_hung_renewal, no_end_of_the_next_incarnation_is_acknowledged_unseen)
{
    constexpr std::size_t tasks{2};
    control({{"run_ms", 300}});
    submit(first_job, tasks);
    ASSERT_TRUE(wait_until([this] { return control()["acknowledged_tasks"] == tasks; }, patience));
    hold_renewal();
    restart_without_entry();
    submit(second_job, tasks);
    ASSERT_TRUE(wait_until([this] { return control()["starts"].size() == 2 * tasks; }, patience));
    ASSERT_TRUE(wait_until([this] { return control()["running"] == 0; }, patience));
    std::this_thread::sleep_for(milliseconds{2'000});
    write_entry();
    ASSERT_TRUE(wait_until([] { return state_of(second_job) == "completed"; }, patience));
    const auto seen = control();
    EXPECT_EQ(seen["starts"].size(), 2 * tasks);
    EXPECT_EQ(seen["repeated_tasks"], 0);
}

// Guards against a second run of a task whose start was carried out by the next incarnation: a report of the earlier
// one came after the start had been sent, and before its response.
TEST_F(scheduler_hung_renewal, a_start_that_is_older_than_the_last_report_holds_the_longest_lease)
{
    control({{"start_delay_ms", 550}});
    const auto renewals = [this] {
        return control()["renewals"][restarted_worker].get<std::int64_t>();
    };
    const auto before = renewals();
    ASSERT_TRUE(wait_until([&] { return renewals() > before; }, patience));
    const auto renewed = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(renewed + milliseconds{650});
    submit(first_job, 1);
    std::this_thread::sleep_until(renewed + milliseconds{1'020});
    restart_without_entry();
    ASSERT_TRUE(wait_until([this] { return control()["starts"].size() == 1; }, patience));
    control({{"start_delay_ms", 0}, {"draining", json::array()}});
    std::this_thread::sleep_for(milliseconds{30});
    cut_off_worker();
    expect_second_run_after_lease();
}

} // namespace
