#include "platform.hpp"

// Cases: a start gets no answer and is carried out late, by the next life of its worker. Its task has been started on
// another worker meanwhile and runs on both. With BEHIND_CUT=1 the worker starts again behind a cut.

namespace {

using namespace review_3;

constexpr std::size_t worker_count{8};
constexpr std::int64_t work_ms{60'000};
/** @brief How long the worker is down. */
constexpr std::int64_t down_ms{500};
/** @brief Time from the start without an answer to the crash. */
constexpr std::int64_t crash_after_ms{3'000};
constexpr std::int64_t crash_behind_cut_after_ms{1'500};
/** @brief Time from the return of the worker behind a cut to the late start. Without a cut it is the first call that
 * the new life gets. */
constexpr std::int64_t late_after_return_ms{20};
/** @brief The site file's trouble: `for_s` of `node_cut` with `how` "servers". */
constexpr std::int64_t cut_ms{5'500};
constexpr std::int64_t observed_ms{12'000};
constexpr const char* other_job{"1a7e000000000000"};
constexpr const char* job{"1a7e000000000001"};

/** @brief Returns the workers on which the task of the job runs. @pre state_lock is held. */
[[nodiscard]] auto workers_of_task(const deployment& played) -> std::vector<std::string>
{
    std::vector<std::string> found;
    for (const auto& each : played.workers()) {
        const auto tasks = each->running_tasks();
        if (std::any_of(tasks.begin(), tasks.end(), [](const auto& task) { return task.starts_with(job); })) {
            found.push_back(each->id());
        }
    }
    return found;
}

} // namespace

auto main(int count, char** values) -> int
{
    const auto arguments = read_arguments(count, values);
    if (!arguments.m_valid) {
        return static_cast<int>(verdict::not_run);
    }
    const char* cut = std::getenv("BEHIND_CUT");
    const bool behind_cut = cut != nullptr && std::string{cut} == "1";
    deployment played{arguments.m_command, arguments.m_directory};
    for (std::size_t index = 0; index < worker_count; ++index) {
        played.add_worker(
            {"w-" + std::to_string(index), "workshop", index % 2 == 0 ? "a" : "b", "r1-" + std::to_string(index / 4)},
            [](const std::string&) { return work_ms; });
    }
    const json config{{"version", 3},
                      {"routes", {queue_of("cutting", "workshop", 0)}},
                      {"services", {{{"name", "workshop"}, {"enforces_capacity", false}}}},
                      {"limits", json::object()}};
    if (!played.start(config, {"a", "a", "b"})) {
        record.line("the entry VMs were not ready in time");
        finish(played, verdict::not_run);
    }
    sleep_ms(12'000);
    const auto& front = played.entry_vms().front()->front();
    const json body{{"spec", "cut"},
                    {"steps", {{{"count", 1}, {"cpu", 4'000}, {"mem_mb", 512}, {"est_runtime_ms", work_ms}}}}};
    // Of two starts, one gets no answer.
    const auto submit = [&](const std::string& id) {
        const auto status = call(front, http::verb::post, "cutting.example", "/cutting/" + id, body).m_status;
        record.line("POST " + id + " -> " + std::to_string(status));
        return status;
    };
    static_cast<void>(submit(other_job));
    sleep_ms(1'000);
    if (arguments.m_trouble) {
        const std::lock_guard guard{state_lock};
        worker::hold_next_start();
    }
    const auto accepted = submit(job);
    worker* held{nullptr};
    const auto begin = steady::now();
    while (arguments.m_trouble && held == nullptr && ms_since(begin) < 3'000) {
        sleep_ms(5);
        const std::lock_guard guard{state_lock};
        for (const auto& each : played.workers()) {
            held = each->has_held_start() ? each.get() : held;
        }
    }
    if (accepted != 200 || (arguments.m_trouble && held == nullptr)) {
        record.line("the case was not set up as planned");
        finish(played, verdict::not_run);
    }
    const auto started = steady::now();
    const auto wait_until_ms = [&started](const std::int64_t time) {
        sleep_ms(std::max<std::int64_t>(0, time - ms_since(started)));
    };
    if (held != nullptr) {
        if (behind_cut) {
            const std::lock_guard guard{state_lock};
            held->set_cut_off(true);
            record.line(held->id() + " is cut off from the entry VMs and from the store");
        }
        wait_until_ms(behind_cut ? crash_behind_cut_after_ms : crash_after_ms);
        {
            const std::lock_guard guard{state_lock};
            held->crash();
            record.line(held->id() + ", 1 worker of " + std::to_string(worker_count) + ", crashes");
        }
        sleep_ms(down_ms);
        const auto carry_out = [&] {
            const auto status = held->carry_out_held_start();
            record.line("the start to " + held->id() + " is carried out " + std::to_string(ms_since(started)) +
                        " ms after it was sent -> " + std::to_string(status));
        };
        {
            const std::lock_guard guard{state_lock};
            held->restart();
            record.line(held->id() + " is back under its id");
            if (!behind_cut) {
                carry_out();
            }
        }
        if (behind_cut) {
            sleep_ms(late_after_return_ms);
            const std::lock_guard guard{state_lock};
            carry_out();
        }
    }
    std::int64_t doubled_ms{0};
    auto last = steady::now();
    std::string seen;
    while (ms_since(started) < observed_ms) {
        if (behind_cut && held != nullptr && ms_since(started) >= cut_ms) {
            const std::lock_guard guard{state_lock};
            held->set_cut_off(false);
            record.line(held->id() + " is cut off no more");
            held = nullptr;
        }
        sleep_ms(5);
        const std::lock_guard guard{state_lock};
        const auto on = workers_of_task(played);
        doubled_ms += on.size() > 1 ? ms_since(last) : 0;
        last = steady::now();
        std::string now;
        for (const auto& id : on) {
            now += " " + id;
        }
        if (now != seen) {
            record.line("the task runs on:" + now);
            seen = now;
        }
    }
    record.line("time for which the task ran on two workers that were up: " + std::to_string(doubled_ms) + " ms");
    finish(played, doubled_ms > 0 ? verdict::broken : verdict::held);
}
