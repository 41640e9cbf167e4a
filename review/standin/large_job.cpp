#include "scenario.hpp"

#include <algorithm>
#include <functional>

// A client hands in one large job of small tasks with checkpoints. Seconds later the process of the decider is killed.

namespace {

using namespace cicadalug;
using namespace cicadalug::review;

constexpr std::size_t workers{7};
constexpr std::int64_t worker_cpu{32'000};
constexpr std::int64_t task_cpu{100};
constexpr int tasks{61'000};
constexpr const char* job{"1a365c03c12a8600"};
/** @brief Run times: at least the first, by up to the second longer. */
constexpr milliseconds run_time{3'000};
constexpr std::size_t run_time_spread_ms{4'000};
constexpr milliseconds until_kill{15'000};
constexpr milliseconds until_restart{500};
constexpr milliseconds observed_time{15'000};

[[nodiscard]] auto tell(scenario& deployment) -> asio::awaitable<verdict>
{
    auto& platform = deployment.platform();
    platform.m_run_time = [](const std::string& task) {
        return run_time + milliseconds{std::hash<std::string>{}(task) % run_time_spread_ms};
    };
    const json step{{"count", tasks}, {"cpu", task_cpu}, {"mem_mb", 16}, {"checkpointing", true}};
    const bool accepted = co_await deployment.submit(job, step);
    if (!accepted) {
        co_return deployment.conclude(verdict::could_not_run, "the job was not accepted");
    }
    co_await deployment.sleep(until_kill);
    const auto decider = deployment.decider();
    if (platform.m_starts.empty() || decider >= deployment.entry_count()) {
        co_return deployment.conclude(verdict::could_not_run, "no task was started, or there is no decider");
    }
    if (deployment.has_trouble()) {
        deployment.kill_entry(decider);
        co_await deployment.sleep(until_restart);
        deployment.start_entry(decider);
    }
    co_await deployment.sleep(observed_time);
    const auto again =
        std::count_if(platform.m_starts.begin(), platform.m_starts.end(),
                      [](const carried_out_start& start) { return start.m_after_noted_end || start.m_doubled; });
    const auto counts = std::to_string(platform.m_starts.size()) + " starts, " + std::to_string(again) +
                        " of them after an end of the task as done was taken note of, or beside another run of it";
    co_return deployment.conclude(again > 0 ? verdict::broken : verdict::held, (again > 0 ? "TWICE: " : "") + counts);
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
