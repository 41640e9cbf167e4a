#include <cicadalug/scheduler/byte_codec.hpp>
#include <cicadalug/scheduler/compact_progress.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace cicadalug {

namespace {

/** @brief First byte. The other form begins with 0 or 1, the byte order of its numbers. */
constexpr char compact_format{2};

/** @brief Maximum number of tasks of a step that is decoded; prevents a few bytes of another writer from exhausting the
 * memory. */
constexpr std::uint64_t max_decoded_tasks{10'000'000};

constexpr std::int64_t longest_number{10};
/** @brief Size of the fields of a job, and of a trial of one of its tasks. */
constexpr std::int64_t job_bytes{512};
constexpr std::int64_t step_bytes{6 * longest_number};
/** @brief Size of a task that is listed, without its failures and its checkpoint: a range of done tasks, the place and
 * the number of failures. */
constexpr std::int64_t task_bytes{20};
/** @brief Failures of a task that count for the size. The delay between two attempts grows with their number, so that a
 * task reaches this one only after minutes of failures. */
constexpr std::int64_t counted_failures{64};
/** @brief Size of what is known about crashes under a task. */
constexpr std::int64_t crash_bytes{60};
/** @brief Size of a checkpoint with its length; the platform's take 16 bytes. */
constexpr std::int64_t checkpoint_bytes{34};

auto write_runs(byte_writer& bytes, const std::vector<run_number>& runs) -> void
{
    bytes.number(runs.size());
    // Runs of one term are close to each other.
    std::int64_t last{0};
    for (const auto run : runs) {
        bytes.integer(run.value() - last);
        last = run.value();
    }
}

[[nodiscard]] auto read_runs(byte_reader& bytes) -> std::vector<run_number>
{
    std::vector<run_number> runs(bytes.count());
    std::int64_t last{0};
    for (auto& run : runs) {
        last += bytes.integer();
        run = run_number{last};
    }
    return runs;
}

[[nodiscard]] auto is_listed(const task_progress& task) -> bool
{
    return !task.m_failed_runs.empty() || !task.m_checkpoint.empty();
}

/** @brief Writes which tasks are done, as the lengths of the alternating ranges of tasks that are not and that are. */
auto write_done(byte_writer& bytes, const std::vector<task_progress>& tasks) -> void
{
    std::vector<std::uint64_t> ranges;
    bool done{false};
    for (std::size_t begin = 0; begin < tasks.size(); done = !done) {
        const auto end = std::find_if(tasks.begin() + static_cast<std::ptrdiff_t>(begin), tasks.end(),
                                      [done](const task_progress& task) { return task.m_done != done; });
        const auto next = static_cast<std::size_t>(end - tasks.begin());
        ranges.push_back(next - begin);
        begin = next;
    }
    bytes.number(ranges.size());
    for (const auto range : ranges) {
        bytes.number(range);
    }
}

auto read_done(byte_reader& bytes, std::vector<task_progress>& tasks) -> void
{
    std::size_t position{0};
    const auto ranges = bytes.count();
    for (std::size_t range = 0; range < ranges; ++range) {
        const auto length = bytes.number();
        if (length > tasks.size() - position) {
            bytes.fail();
            return;
        }
        for (const auto end = position + length; position < end; ++position) {
            tasks[position].m_done = range % 2 == 1;
        }
    }
}

auto write_step(byte_writer& bytes, const std::vector<task_progress>& tasks) -> void
{
    bytes.number(tasks.size());
    write_done(bytes, tasks);
    bytes.number(static_cast<std::uint64_t>(std::count_if(tasks.begin(), tasks.end(), is_listed)));
    std::size_t last{0};
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (is_listed(tasks[index])) {
            bytes.number(index - std::exchange(last, index));
            write_runs(bytes, tasks[index].m_failed_runs);
            bytes.text(tasks[index].m_checkpoint);
        }
    }
}

[[nodiscard]] auto read_step(byte_reader& bytes) -> std::vector<task_progress>
{
    const auto size = bytes.number();
    if (size > max_decoded_tasks) {
        bytes.fail();
        return {};
    }
    std::vector<task_progress> tasks(static_cast<std::size_t>(size));
    read_done(bytes, tasks);
    std::uint64_t index{0};
    for (auto listed = bytes.count(); listed > 0; --listed) {
        index += bytes.number();
        if (index >= size) {
            bytes.fail();
            return {};
        }
        auto& task = tasks[static_cast<std::size_t>(index)];
        task.m_failed_runs = read_runs(bytes);
        task.m_checkpoint = bytes.text();
    }
    return tasks;
}

auto write_occurrence(byte_writer& bytes, const occurrence_progress& occurrence) -> void
{
    bytes.integer(occurrence.m_occurrence);
    bytes.number(occurrence.m_steps.size());
    for (const auto& step : occurrence.m_steps) {
        write_step(bytes, step);
    }
    bytes.number(occurrence.m_opened.size());
    for (const bool opened : occurrence.m_opened) {
        bytes.number(opened ? 1 : 0);
    }
}

[[nodiscard]] auto read_occurrence(byte_reader& bytes) -> occurrence_progress
{
    occurrence_progress occurrence;
    occurrence.m_occurrence = bytes.integer();
    occurrence.m_steps.resize(bytes.count());
    for (auto& step : occurrence.m_steps) {
        step = read_step(bytes);
    }
    occurrence.m_opened.resize(bytes.count());
    for (auto&& opened : occurrence.m_opened) {
        opened = bytes.number() != 0;
    }
    return occurrence;
}

auto write_crash(byte_writer& bytes, const crash_progress& crash) -> void
{
    bytes.integer(crash.m_occurrence);
    bytes.integer(crash.m_step);
    bytes.integer(crash.m_index);
    write_runs(bytes, crash.m_crashed_runs);
    bytes.number(crash.m_suspect ? 1 : 0);
    bytes.number(crash.m_trial.size());
    for (const auto& trial : crash.m_trial) {
        bytes.integer(trial.m_run.value());
        bytes.text(trial.m_worker.str());
        bytes.text(trial.m_vm.str());
        bytes.integer(trial.m_incarnation_start_unix_ms);
    }
}

[[nodiscard]] auto read_crash(byte_reader& bytes) -> crash_progress
{
    crash_progress crash;
    crash.m_occurrence = bytes.integer();
    crash.m_step = bytes.integer();
    crash.m_index = bytes.integer();
    crash.m_crashed_runs = read_runs(bytes);
    crash.m_suspect = bytes.number() != 0;
    crash.m_trial.resize(bytes.count());
    for (auto& trial : crash.m_trial) {
        trial.m_run = run_number{bytes.integer()};
        trial.m_worker = worker_id{bytes.text()};
        trial.m_vm = vm_id{bytes.text()};
        trial.m_incarnation_start_unix_ms = bytes.integer();
    }
    return crash;
}

} // namespace

auto encode_compact(const job_progress& progress) -> std::string
{
    byte_writer bytes{compact_format};
    bytes.number(static_cast<std::uint64_t>(progress.m_state));
    // Number of values over which the bytes are distributed.
    bytes.number(1);
    bytes.integer(progress.m_first_open);
    bytes.number(progress.m_open.size());
    for (const auto& occurrence : progress.m_open) {
        write_occurrence(bytes, occurrence);
    }
    bytes.number(progress.m_crashes.size());
    for (const auto& crash : progress.m_crashes) {
        write_crash(bytes, crash);
    }
    return bytes.take();
}

auto is_compact(const std::string_view bytes) noexcept -> bool
{
    return !bytes.empty() && bytes.front() == compact_format;
}

auto decode_compact_progress(const std::string_view bytes) -> result<job_progress>
{
    byte_reader reader{bytes, compact_format};
    job_progress progress;
    progress.m_state = reader.enumerator(job_state::cancelled);
    static_cast<void>(reader.number());
    progress.m_first_open = reader.integer();
    for (auto open = reader.count(); open > 0 && !reader.has_failed(); --open) {
        progress.m_open.push_back(read_occurrence(reader));
    }
    for (auto crashes = reader.count(); crashes > 0 && !reader.has_failed(); --crashes) {
        progress.m_crashes.push_back(read_crash(reader));
    }
    if (!reader.is_complete()) {
        return findings{"job progress", "cannot be decoded, " + std::to_string(bytes.size()) + " bytes"};
    }
    return progress;
}

auto largest_compact_bytes(const job_record& record) -> std::int64_t
{
    auto bytes = job_bytes;
    for (const auto& step : record.m_spec.m_steps) {
        const auto failures =
            step.m_long_running ? 0 : std::clamp<std::int64_t>(record.m_policy.m_max_attempts, 1, counted_failures);
        const auto checkpoint = step.m_checkpoints ? checkpoint_bytes : 0;
        bytes += step_bytes + step.m_count * (task_bytes + crash_bytes + checkpoint + failures * longest_number);
    }
    return bytes;
}

} // namespace cicadalug
