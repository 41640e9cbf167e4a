#include "platform.hpp"

// Case: another writer overwrites the entry of a worker with one that lacks fields and names another service. The
// worker gets tasks of a queue whose service is not its own.

namespace {

using namespace review_3;

constexpr std::size_t workers_per_service{4};
constexpr std::size_t job_count{16};
constexpr std::int64_t work_ms{3'000};

[[nodiscard]] auto id_of(const std::size_t number) -> std::string
{
    auto digits = std::to_string(number);
    return "ee" + std::string(14 - digits.size(), '0') + digits;
}

} // namespace

auto main(int count, char** values) -> int
{
    const auto arguments = read_arguments(count, values);
    if (!arguments.m_valid) {
        return static_cast<int>(verdict::not_run);
    }
    deployment played{arguments.m_command, arguments.m_directory};
    const auto work = [](const std::string&) {
        return work_ms;
    };
    for (std::size_t index = 0; index < 2 * workers_per_service; ++index) {
        played.add_worker({"w-" + std::to_string(index), index < workers_per_service ? "quoting" : "workshop",
                           index % 2 == 0 ? "a" : "b", "r1-" + std::to_string(index / workers_per_service)},
                          work);
    }
    const json config{
        {"version", 3},
        {"routes", {queue_of("quotes", "quoting", 0), queue_of("cutting", "workshop", 0)}},
        {"services",
         {{{"name", "quoting"}, {"enforces_capacity", false}}, {{"name", "workshop"}, {"enforces_capacity", false}}}},
        {"limits", json::object()}};
    if (!played.start(config, {"a", "a", "b"})) {
        record.line("the entry VMs were not ready in time");
        finish(played, verdict::not_run);
    }
    sleep_ms(3'000);
    auto& overwritten = *played.workers().back();
    if (arguments.m_trouble) {
        // The worker writes its own entry again with its next heartbeat.
        const std::lock_guard guard{state_lock};
        const json entry{{"service", "quoting"},
                         {"address", overwritten.address()},
                         {"state", "ready"},
                         {"capacity", {{"cpu", 32'000}, {"mem_mb", 65'536}}}};
        overwritten.write_entry();
        played.registry().put("servers/" + overwritten.id(), entry, 0);
        record.line("another writer puts servers/" + overwritten.id() + " = " + entry.dump());
    }
    // Jobs that fill the workers of the queue's service, and more that wait.
    const json job{{"spec", "quote"},
                   {"steps", {{{"count", 4}, {"cpu", 4'000}, {"mem_mb", 2'500}, {"est_runtime_ms", work_ms}}}}};
    std::size_t accepted{0};
    for (std::size_t number = 0; number < job_count; ++number) {
        const auto& front = played.entry_vms()[number % played.entry_vms().size()]->front();
        const auto got = call(front, http::verb::post, "quotes.example", "/quotes/" + id_of(number), job);
        record.line("POST /quotes/" + id_of(number) + " -> " + std::to_string(got.m_status));
        accepted += got.m_status == 200 ? 1U : 0U;
    }
    sleep_ms(10'000);
    std::size_t misplaced{0};
    for (const auto& start : played.starts()) {
        const auto found = std::find_if(played.workers().begin(), played.workers().end(),
                                        [&start](const auto& each) { return each->id() == start.m_worker; });
        const bool other_service = (*found)->kind().m_service != "quoting";
        misplaced += other_service ? 1U : 0U;
        record.line("started " + start.m_task + " of queue quotes on " + start.m_worker + ", a worker of " +
                    (*found)->kind().m_service);
    }
    record.line("starts on workers of a service to which no configuration sends the queue: " +
                std::to_string(misplaced));
    finish(played, accepted < job_count ? verdict::not_run : misplaced > 0 ? verdict::broken : verdict::held);
}
