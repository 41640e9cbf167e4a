#include "scenario.hpp"

#include <cicadalug/async/spawn.hpp>

#include <algorithm>

// One of seven workers after the other crashes and is up again shortly afterwards, while jobs of short tasks come. No
// task ever ends as failed, and nobody cancels a job.

namespace {

using namespace cicadalug;
using namespace cicadalug::review;

constexpr std::size_t workers{7};
constexpr std::int64_t worker_cpu{8'000};
constexpr milliseconds run_time{800};
constexpr milliseconds crash_gap{500};
constexpr milliseconds down_time{450};
constexpr milliseconds submit_gap{140};
constexpr int tasks{6};
constexpr int jobs{320};
constexpr milliseconds settling_time{15'000};

[[nodiscard]] auto job_name(const int number) -> std::string
{
    auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

[[nodiscard]] auto crash_in_turn(scenario& deployment, const bool& ended) -> asio::awaitable<void>
{
    for (std::size_t turn = 0; !ended; ++turn) {
        const auto worker = turn % workers;
        deployment.platform().crash(worker);
        co_await deployment.sleep(down_time);
        deployment.platform().restart(worker);
        co_await deployment.sleep(crash_gap - down_time);
    }
}

[[nodiscard]] auto tell(scenario& deployment) -> asio::awaitable<verdict>
{
    deployment.platform().m_run_time = [](const std::string&) {
        return run_time;
    };
    bool ended{false};
    if (deployment.has_trouble()) {
        spawn(deployment.executor(), crash_in_turn(deployment, ended), "crash_in_turn");
    }
    const json step{{"count", tasks}, {"cpu", 1'000}, {"mem_mb", 64}, {"est_runtime_ms", run_time.count()}};
    for (int number = 0; number < jobs; ++number) {
        const bool accepted = co_await deployment.submit(job_name(number), step);
        if (!accepted) {
            co_return deployment.conclude(verdict::could_not_run, "a job was not accepted");
        }
        co_await deployment.sleep(submit_gap);
    }
    ended = true;
    co_await deployment.sleep(settling_time);
    int failed{0};
    int completed{0};
    for (int number = 0; number < jobs; ++number) {
        const auto state = co_await deployment.state_of(job_name(number), 0);
        failed += state == "failed" ? 1 : 0;
        completed += state == "completed" ? 1 : 0;
    }
    const auto counts = std::to_string(completed) + " jobs are shown as completed, " + std::to_string(failed) +
                        " as failed; no run ended failed";
    co_return failed > 0 ? deployment.conclude(verdict::broken, "LOST: " + counts)
                         : deployment.conclude(completed == jobs ? verdict::held : verdict::could_not_run, counts);
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
