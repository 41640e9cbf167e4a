#include "platform.hpp"

#include <random>

// Case: workers of a service crash one after the other and come back; no run ends `failed`, and jobs are shown as
// failed.

namespace {

using namespace review_3;

constexpr std::size_t worker_count{9};
constexpr int crashes{12};
/** @brief Time from one crash to the next. */
constexpr std::int64_t crash_interval_ms{1'200};
/** @brief How long a crashed worker is away; the site file's trouble lasts 4.5 s. */
constexpr std::int64_t away_ms{1'000};
constexpr std::int64_t submit_interval_ms{110};
constexpr std::int64_t finish_ms{14'000};
constexpr unsigned victims_seed{7};

/** @brief Each of so many jobs has tasks that last. */
constexpr std::size_t jobs_per_lasting_job{10};
constexpr std::int64_t lasting_ms{600'000};
constexpr const char* lasting_prefix{"dd"};

[[nodiscard]] auto lasts(const std::size_t number) -> bool
{
    return number % jobs_per_lasting_job == 0;
}

[[nodiscard]] auto id_of(const std::size_t number) -> std::string
{
    auto digits = std::to_string(number);
    return (lasts(number) ? lasting_prefix : "cc") + std::string(14 - digits.size(), '0') + digits;
}

[[nodiscard]] auto job_of(const std::size_t number) -> json
{
    json step{{"count", 6}, {"cpu", 1'800}, {"mem_mb", 2'500}, {"est_runtime_ms", 800}};
    if (lasts(number)) {
        step = {{"count", 5}, {"cpu", 1'000}, {"mem_mb", 1'000}, {"long_running", true}};
    }
    return {{"spec", "quote"}, {"steps", {step}}};
}

/** @brief Submits jobs at a steady rate, like the clients of the site, until it is told to stop. */
auto submit_jobs(const std::vector<std::string>& fronts, const std::atomic<bool>& stop,
                 std::vector<std::string>& accepted) -> void
{
    for (std::size_t number = 0; !stop; ++number) {
        const auto id = id_of(number);
        const auto got =
            call(fronts[number % fronts.size()], http::verb::post, "quotes.example", "/quotes/" + id, job_of(number));
        record.line("POST " + id + " -> " + std::to_string(got.m_status));
        if (got.m_status == 200) {
            accepted.push_back(id);
        }
        sleep_ms(submit_interval_ms);
    }
}

} // namespace

auto main(int count, char** values) -> int
{
    const auto arguments = read_arguments(count, values);
    if (!arguments.m_valid) {
        return static_cast<int>(verdict::not_run);
    }
    deployment played{arguments.m_command, arguments.m_directory};
    for (std::size_t index = 0; index < worker_count; ++index) {
        played.add_worker(
            {"w-" + std::to_string(index), "quoting", index % 2 == 0 ? "a" : "b", "r1-" + std::to_string(index / 4)},
            [](const std::string& task) -> std::int64_t {
                return task.starts_with(lasting_prefix) ? lasting_ms : 800;
            });
    }
    const json config{{"version", 3},
                      {"routes", {queue_of("quotes", "quoting", 0)}},
                      {"services", {{{"name", "quoting"}, {"enforces_capacity", false}}}},
                      {"limits", json::object()}};
    if (!played.start(config, {"a", "a", "b"})) {
        record.line("the entry VMs were not ready in time");
        finish(played, verdict::not_run);
    }
    sleep_ms(3'000);
    std::vector<std::string> fronts;
    for (const auto& entry : played.entry_vms()) {
        fronts.push_back(entry->front());
    }
    std::atomic<bool> stop{false};
    std::vector<std::string> accepted;
    std::thread clients{[&] {
        submit_jobs(fronts, stop, accepted);
    }};
    sleep_ms(2'000);
    std::mt19937 random{victims_seed};
    for (int number = 0; number < crashes; ++number) {
        auto& victim = *played.workers()[random() % worker_count];
        if (arguments.m_trouble) {
            const std::lock_guard guard{state_lock};
            record.line("crash of " + victim.id() + ", 1 of " + std::to_string(worker_count) + ", with " +
                        std::to_string(victim.running()) + " runs");
            victim.crash();
        }
        sleep_ms(away_ms);
        if (arguments.m_trouble) {
            const std::lock_guard guard{state_lock};
            victim.restart();
            record.line(victim.id() + " is back");
        }
        sleep_ms(crash_interval_ms - away_ms);
    }
    stop = true;
    clients.join();
    sleep_ms(finish_ms);
    std::map<std::string, std::size_t> states;
    std::set<std::string> failed;
    for (const auto& id : accepted) {
        const auto got = call(fronts.back(), http::verb::get, "quotes.example", "/quotes/" + id);
        const auto state = got.m_body.is_object() ? got.m_body.value("state", "none") : std::string{"none"};
        ++states[(id.starts_with(lasting_prefix) ? "lasting " : "other ") + state];
        if (state == "failed") {
            failed.insert(id);
        }
    }
    for (const auto& [state, jobs] : states) {
        record.line(std::to_string(jobs) + " accepted jobs, kind and state shown: " + state);
    }
    std::size_t ended_failed{0};
    for (const auto& end : played.ends()) {
        ended_failed += end.m_how == "failed" ? 1U : 0U;
        if (failed.contains(end.m_task.substr(0, 16))) {
            record.line("job shown as failed: " + end.m_task + " run " + std::to_string(end.m_run) + " on " +
                        end.m_worker + " ended " + end.m_how);
        }
    }
    record.line("runs that ended failed: " + std::to_string(ended_failed) + ", jobs that clients cancelled: 0");
    finish(played, accepted.empty() ? verdict::not_run : failed.empty() ? verdict::held : verdict::broken);
}
