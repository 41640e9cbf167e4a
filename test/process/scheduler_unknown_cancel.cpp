#include "scheduler_deployment.hpp"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

class scheduler_unknown_cancel : public scheduler_deployment {
protected:
    [[nodiscard]] static auto job_body() -> json
    {
        const json step{{"count", 1}, {"cpu", task_cpu}, {"mem_mb", 64}, {"est_runtime_ms", 1'000}};
        return {{"spec", "sort waggons"}, {"steps", json::array({step})}};
    }

    [[nodiscard]] static auto post(const std::string& job, const std::size_t entry_vm = 0) -> unsigned
    {
        return call(http::verb::post, client_address(entry_vm), path_of(job), job_body()).m_status;
    }

    [[nodiscard]] static auto cancel_status(const std::string& job, const std::size_t entry_vm) -> unsigned
    {
        return call(http::verb::delete_, client_address(entry_vm), path_of(job)).m_status;
    }

    [[nodiscard]] static auto get_status(const std::string& job, const std::size_t entry_vm) -> unsigned
    {
        return call(http::verb::get, client_address(entry_vm), path_of(job)).m_status;
    }

    [[nodiscard]] static auto pending(const std::size_t entry_vm) -> json
    {
        const auto response = call(http::verb::get, client_address(entry_vm), path_of(""));
        return response.m_body.is_object() ? response.m_body.value("pending", json(0)) : json(nullptr);
    }

    /** @brief Time for which the workers are observed: all held writes have been executed, and a started task ran. */
    static constexpr milliseconds settle_time{4'000};
};

// Guards against a job that is stored, accepted and run after its cancellation was answered with 410.
TEST_F(scheduler_unknown_cancel, a_job_cancelled_while_it_is_written_is_not_accepted_and_never_runs)
{
    control({{"held_writes_ms", {{std::string{"job/"} + first_job, 500}}}});
    auto posted = std::async(std::launch::async, [] { return post(first_job); });
    std::this_thread::sleep_for(milliseconds{150});
    EXPECT_EQ(cancel_status(first_job, 1), 410U);
    EXPECT_EQ(posted.get(), 503U);
    std::this_thread::sleep_for(settle_time);
    EXPECT_EQ(control()["starts"].size(), 0U);
    EXPECT_EQ(get_status(first_job, 0), 410U);
    EXPECT_EQ(get_status(first_job, 1), 410U);
}

// Guards against a write without a response that is executed seconds later and stores a job whose cancellation was
// answered with 410.
TEST_F(scheduler_unknown_cancel, a_write_that_is_executed_late_does_not_store_a_cancelled_job)
{
    control({{"held_writes_ms", {{std::string{"job/"} + first_job, 2'000}}}});
    auto posted = std::async(std::launch::async, [] { return post(first_job); });
    std::this_thread::sleep_for(milliseconds{900});
    EXPECT_EQ(cancel_status(first_job, 1), 410U);
    const auto status = posted.get();
    EXPECT_TRUE(status == 503U || status == 504U) << status;
    std::this_thread::sleep_for(settle_time);
    EXPECT_EQ(control()["starts"].size(), 0U);
    EXPECT_EQ(get_status(first_job, 1), 410U);
}

// Guards against a new decider that forgets the cancellations of unknown jobs, or shows or counts them as jobs.
TEST_F(scheduler_unknown_cancel, a_job_that_was_cancelled_before_it_came_never_runs_after_a_takeover)
{
    EXPECT_EQ(cancel_status(first_job, 1), 410U);
    EXPECT_EQ(cancel_status(first_job, 0), 410U) << "repeated";
    const auto killed = decider();
    ASSERT_LT(killed, entry_vm_count);
    const auto survivor = 1 - killed;
    kill(killed);
    ASSERT_TRUE(wait_until([&] { return pending(survivor) == 0; }, patience));
    EXPECT_EQ(get_status(first_job, survivor), 410U);
    EXPECT_EQ(post(first_job, survivor), 503U);
    EXPECT_EQ(post(second_job, survivor), 200U);
    EXPECT_TRUE(wait_until([&] { return state_of(second_job, survivor) == "completed"; }, patience));
    EXPECT_EQ(started_tasks(control()), 1U);
    EXPECT_EQ(get_status(first_job, survivor), 410U);
}

} // namespace
