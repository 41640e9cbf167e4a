#include "platform.hpp"

// Case: a worker refuses all starts; the jobs whose first start it has refused are missing in the number of pending
// jobs.

namespace {

using namespace review_3;

constexpr std::size_t worker_count{12};
constexpr std::int64_t long_work_ms{40'000};
constexpr std::int64_t short_work_ms{800};
/** @brief The site file's trouble: `for_s` of `srv_grey` with `x` 1.0. */
constexpr std::int64_t unhealthy_ms{6'500};
/** @brief `visible_ms` and 2 s, as the rule states, and a margin. */
constexpr std::int64_t count_after_ms{5'300};
constexpr std::size_t waiting_jobs{8};

[[nodiscard]] auto id_of(const std::string& prefix, const std::size_t number) -> std::string
{
    auto digits = std::to_string(number);
    return prefix + std::string(16 - prefix.size() - digits.size(), '0') + digits;
}

[[nodiscard]] auto job_of(const int cpu) -> json
{
    return {{"spec", "cut " + std::to_string(cpu)},
            {"steps", {{{"count", 1}, {"cpu", cpu}, {"mem_mb", 512}, {"est_runtime_ms", 800}}}}};
}

/** @brief Submits a job until it is accepted. */
auto submit(const std::string& address, const std::string& id, const json& job) -> bool
{
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto got = call(address, http::verb::post, "cutting.example", "/cutting/" + id, job);
        record.line("POST " + id + " -> " + std::to_string(got.m_status));
        if (got.m_status == 200) {
            return true;
        }
        sleep_ms(300);
    }
    return false;
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
            {"w-" + std::to_string(index), "workshop", index % 2 == 0 ? "a" : "b", "r1-" + std::to_string(index / 4)},
            [](const std::string& task) { return task.starts_with("aa") ? long_work_ms : short_work_ms; });
    }
    const json config{{"version", 3},
                      {"routes", {queue_of("cutting", "workshop", 0)}},
                      {"services", {{{"name", "workshop"}, {"enforces_capacity", false}}}},
                      {"limits", json::object()}};
    if (!played.start(config, {"a", "a", "b"})) {
        record.line("the entry VMs were not ready in time");
        finish(played, verdict::not_run);
    }
    sleep_ms(3'000);
    const auto& first = played.entry_vms().front()->front();
    // Long work fills all workers but one.
    bool accepted{true};
    for (std::size_t number = 0; number + 1 < worker_count; ++number) {
        accepted = accepted && submit(first, id_of("aa", number), job_of(32'000));
    }
    sleep_ms(3'000);
    worker* empty{nullptr};
    {
        const std::lock_guard guard{state_lock};
        for (const auto& each : played.workers()) {
            if (each->running() == 0) {
                empty = empty == nullptr ? each.get() : nullptr;
            }
        }
    }
    if (!accepted || empty == nullptr) {
        record.line("the workers were not filled as planned");
        finish(played, verdict::not_run);
    }
    if (arguments.m_trouble) {
        const std::lock_guard guard{state_lock};
        empty->set_unhealthy(true);
        record.line("worker " + empty->id() + ", 1 of " + std::to_string(worker_count) +
                    ", refuses all starts with 503");
    }
    const auto unhealthy_from = steady::now();
    for (std::size_t number = 0; number < waiting_jobs; ++number) {
        accepted = accepted && submit(first, id_of("bb", number), job_of(4'000));
    }
    sleep_ms(count_after_ms);
    bool broken{false};
    for (const auto& entry : played.entry_vms()) {
        const auto got = call(entry->front(), http::verb::get, "cutting.example", "/cutting/");
        std::set<std::string> begun;
        for (const auto& start : played.starts()) {
            begun.insert(start.m_task.substr(0, 16));
        }
        std::size_t not_begun{0};
        for (std::size_t number = 0; number < waiting_jobs; ++number) {
            not_begun += begun.contains(id_of("bb", number)) ? 0U : 1U;
        }
        record.line("GET /cutting/ at " + entry->front() + " -> " + std::to_string(got.m_status) + ' ' +
                    got.m_body.dump() + "; accepted over " + std::to_string(count_after_ms) +
                    " ms before and not begun: " + std::to_string(not_begun));
        const bool counted = got.m_status == 200 && got.m_body.is_object() && got.m_body.contains("pending");
        broken = broken || (counted && 2 * got.m_body.at("pending").get<std::size_t>() < not_begun);
    }
    record.line("first state of a waiting job: " +
                call(first, http::verb::get, "cutting.example", "/cutting/" + id_of("bb", 0)).m_body.dump());
    sleep_ms(std::max<std::int64_t>(0, unhealthy_ms - ms_since(unhealthy_from)));
    {
        const std::lock_guard guard{state_lock};
        record.line("starts refused by " + empty->id() + ": " + std::to_string(empty->refused()));
        empty->set_unhealthy(false);
    }
    sleep_ms(3'000);
    for (const auto& start : played.starts()) {
        record.line("started " + start.m_task + " run " + std::to_string(start.m_run) + " on " + start.m_worker);
    }
    finish(played, !accepted ? verdict::not_run : broken ? verdict::broken : verdict::held);
}
