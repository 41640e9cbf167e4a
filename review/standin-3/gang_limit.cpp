#include "platform.hpp"

// Case: all workers of a rack crash and come back empty. The members of a gang whose step allows one task on a worker
// are started on the same worker.

namespace {

using namespace review_3;

constexpr std::size_t worker_count{4};
constexpr std::int64_t work_ms{20'000};
constexpr std::int64_t away_ms{1'500};
constexpr const char* filler{"f000000000000001"};
constexpr const char* gang{"9000000000000002"};

/** @brief Submits a job until it is accepted. */
[[nodiscard]] auto submit(const std::string& front, const std::string& queue, const std::string& id, const json& job)
    -> bool
{
    for (int attempt = 0; attempt < 5; ++attempt) {
        auto path = "/" + queue;
        path.append("/").append(id);
        const auto got = call(front, http::verb::post, queue + ".example", path, job);
        record.line("POST " + path + " " + job.dump() + " -> " + std::to_string(got.m_status));
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
        played.add_worker({"w-" + std::to_string(index), "compliance", index % 2 == 0 ? "a" : "b", "r1-0"},
                          [](const std::string&) { return work_ms; });
    }
    const json config{{"version", 3},
                      {"routes", {queue_of("urgent", "compliance", 0), queue_of("usual", "compliance", 1)}},
                      {"services", {{{"name", "compliance"}, {"enforces_capacity", false}}}},
                      {"limits", json::object()}};
    if (!played.start(config, {"a", "a", "b"})) {
        record.line("the entry VMs were not ready in time");
        finish(played, verdict::not_run);
    }
    sleep_ms(3'000);
    const auto& front = played.entry_vms().front()->front();
    // One task of 24 cores on each of the workers, which have 32, and a gang of two tasks of 12 cores, which waits.
    bool accepted = submit(front, "usual", filler,
                           {{"spec", "usual"},
                            {"steps",
                             {{{"count", worker_count},
                               {"cpu", 24'000},
                               {"mem_mb", 1'024},
                               {"est_runtime_ms", work_ms},
                               {"max_per_server", 1}}}}});
    sleep_ms(3'000);
    accepted = accepted && submit(front, "urgent", gang,
                                  {{"spec", "urgent"},
                                   {"steps",
                                    {{{"count", 2},
                                      {"cpu", 12'000},
                                      {"mem_mb", 1'024},
                                      {"gang", true},
                                      {"est_runtime_ms", work_ms},
                                      {"max_per_server", 1}}}}});
    sleep_ms(1'000);
    if (arguments.m_trouble) {
        const std::lock_guard guard{state_lock};
        record.line("all workers of rack r1-0 crash");
        for (const auto& each : played.workers()) {
            each->crash();
        }
    }
    sleep_ms(away_ms);
    if (arguments.m_trouble) {
        const std::lock_guard guard{state_lock};
        record.line("they are back");
        for (const auto& each : played.workers()) {
            each->restart();
        }
    }
    sleep_ms(5'000);
    const auto cancelled = call(front, http::verb::delete_, "urgent.example", std::string{"/urgent/"} + gang).m_status;
    record.line("DELETE of the gang's job -> " + std::to_string(cancelled));
    sleep_ms(2'000);
    // Runs of the gang's step on each worker: a start adds one, an end takes one away.
    struct event {
        steady::time_point m_time;
        std::string m_worker;
        std::string m_text;
        int m_change{0};
    };
    std::vector<event> events;
    for (const auto& start : played.starts()) {
        events.push_back(
            {start.m_time, start.m_worker, "started " + start.m_task, start.m_task.starts_with(gang) ? 1 : 0});
    }
    for (const auto& end : played.ends()) {
        events.push_back(
            {end.m_time, end.m_worker, end.m_task + " ended " + end.m_how, end.m_task.starts_with(gang) ? -1 : 0});
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& left, const auto& right) { return left.m_time < right.m_time; });
    std::map<std::string, int> members;
    bool broken{false};
    for (const auto& each : events) {
        members[each.m_worker] += each.m_change;
        broken = broken || members[each.m_worker] > 1;
        record.line(each.m_text + " on " + each.m_worker +
                    "; tasks of the gang there: " + std::to_string(members[each.m_worker]));
    }
    finish(played, !accepted ? verdict::not_run : broken ? verdict::broken : verdict::held);
}
