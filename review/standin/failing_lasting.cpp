#include "scenario.hpp"

#include <algorithm>

// Two jobs of tasks that last come that can never be done: each run fails shortly after its start. Jobs of short
// tasks come afterwards.

namespace {

using namespace cicadalug;
using namespace cicadalug::review;

constexpr std::size_t workers{7};
constexpr std::int64_t worker_cpu{8'000};
constexpr std::int64_t task_cpu{3'000};
/** @brief Jobs of tasks that last, and tasks of each. */
constexpr int lasting_jobs{2};
constexpr int lasting_tasks{4};
constexpr const char* lasting_prefix{"fffffffffffffff"};
constexpr milliseconds until_failure{100};
constexpr milliseconds sound_time{1'000'000};
constexpr milliseconds run_time{500};
constexpr milliseconds until_short_jobs{20'000};
/** @brief Sound jobs that come beside those that last, and the time between two of them. */
constexpr int usual_jobs{38};
constexpr int usual_jobs_per_lasting_job{13};
constexpr milliseconds usual_gap{60};
constexpr int short_jobs{9};
/** @brief Tasks of a job of short tasks. */
constexpr std::int64_t short_tasks{2};
/** @brief finish_s of the settings and the 3 s of the rule. */
constexpr milliseconds finish_time{14'000};
constexpr milliseconds lost_after{3'000};
constexpr milliseconds look_gap{50};

[[nodiscard]] auto job_name(const int number) -> std::string
{
    return "000000000000000" + std::to_string(number);
}

[[nodiscard]] auto usual_name(const int number) -> std::string
{
    constexpr int two_digits{10};
    return "11111111111111" + std::to_string(two_digits + number);
}

/** @brief Returns for how many more tasks the workers have room. */
[[nodiscard]] auto free_places(simulated_platform& platform) -> std::int64_t
{
    std::int64_t places{0};
    for (std::size_t index = 0; index < platform.machine_count(); ++index) {
        const auto running = static_cast<std::int64_t>(platform.machine(index).m_life->running());
        places += std::max<std::int64_t>(0, (worker_cpu - running * task_cpu) / task_cpu);
    }
    return places;
}

/** @brief Returns the capacity that is in use. */
[[nodiscard]] auto used_cpu(simulated_platform& platform) -> std::int64_t
{
    std::int64_t used{0};
    for (std::size_t index = 0; index < platform.machine_count(); ++index) {
        used += static_cast<std::int64_t>(platform.machine(index).m_life->running()) * task_cpu;
    }
    return used;
}

[[nodiscard]] auto tell(scenario& deployment) -> asio::awaitable<verdict>
{
    auto& platform = deployment.platform();
    const auto is_failing = [&deployment](const std::string& task) {
        return deployment.has_trouble() && task.starts_with(lasting_prefix);
    };
    platform.m_fails = is_failing;
    platform.m_run_time = [is_failing](const std::string& task) {
        const auto lasting = is_failing(task) ? until_failure : sound_time;
        return task.starts_with(lasting_prefix) ? lasting : run_time;
    };
    const json lasting{{"count", lasting_tasks}, {"cpu", task_cpu}, {"mem_mb", 64}, {"long_running", true}};
    bool accepted{true};
    const json step{{"count", short_tasks}, {"cpu", task_cpu}, {"mem_mb", 64}, {"est_runtime_ms", run_time.count()}};
    for (int number = 0; number < usual_jobs; ++number) {
        const bool usual_accepted = co_await deployment.submit(usual_name(number), step);
        accepted = accepted && usual_accepted;
        if (number % usual_jobs_per_lasting_job == 0 && number / usual_jobs_per_lasting_job < lasting_jobs) {
            const auto name = lasting_prefix + std::to_string(number / usual_jobs_per_lasting_job);
            const bool lasting_accepted = co_await deployment.submit(name, lasting);
            accepted = accepted && lasting_accepted;
        }
        co_await deployment.sleep(usual_gap);
    }
    co_await deployment.sleep(until_short_jobs);
    for (int number = 0; number < short_jobs; ++number) {
        const bool also_accepted = co_await deployment.submit(job_name(number), step);
        accepted = accepted && also_accepted;
    }
    if (!accepted) {
        co_return deployment.conclude(verdict::could_not_run, "a job was not accepted");
    }
    co_await deployment.sleep(finish_time);
    std::int64_t most_used{0};
    auto fewest_places = free_places(platform);
    for (auto time = milliseconds{0}; time < lost_after; time += look_gap) {
        co_await deployment.sleep(look_gap);
        most_used = std::max(most_used, used_cpu(platform));
        fewest_places = std::min(fewest_places, free_places(platform));
    }
    int waiting{0};
    for (int number = 0; number < short_jobs; ++number) {
        static_cast<void>(co_await deployment.state_of(job_name(number), 0));
        waiting += std::none_of(
                       platform.m_starts.begin(), platform.m_starts.end(),
                       [number](const carried_out_start& start) { return start.m_task.starts_with(job_name(number)); })
                       ? 1
                       : 0;
    }
    const auto capacity = static_cast<std::int64_t>(workers) * worker_cpu;
    const auto counts = std::to_string(waiting) + " of " + std::to_string(short_jobs) +
                        " jobs have not begun 17 s after they came; at most " + std::to_string(most_used) + " of " +
                        std::to_string(capacity) + " thousandths of a core were in use for the last 3 s";
    const bool lost = waiting > 0 && 2 * most_used < capacity && fewest_places >= 2 * short_tasks;
    co_return lost ? deployment.conclude(verdict::broken, "LOST: " + counts)
                   : deployment.conclude(verdict::held, counts);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    scenario deployment{2, argc, argv};
    for (std::size_t index = 0; index < workers; ++index) {
        deployment.platform().add_machine("r-" + std::to_string(index), worker_cpu);
    }
    return deployment.run([&deployment] { return tell(deployment); });
}
