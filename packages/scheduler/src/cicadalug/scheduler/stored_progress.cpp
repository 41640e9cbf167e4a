#include <cicadalug/scheduler/compact_progress.hpp>
#include <cicadalug/scheduler/stored_progress.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Position of the number of parts in the compact form. */
constexpr std::size_t parts_position{2};

/** @brief Minimum size of a task in the form of encode(). */
constexpr std::size_t least_task_bytes{17};

/** @brief Upper bounds of the size of a stored job without its texts and lists, and of one of its steps. */
constexpr std::size_t record_bytes{512};
constexpr std::size_t step_record_bytes{200};

[[nodiscard]] auto count_open_tasks(const job_progress& progress) -> std::size_t
{
    std::size_t tasks{0};
    for (const auto& occurrence : progress.m_open) {
        for (const auto& step : occurrence.m_steps) {
            tasks += step.size();
        }
    }
    return tasks;
}

/** @brief Removes the longest checkpoints. @param excess Bytes that are to be saved. @return Number of checkpoints. */
auto drop_checkpoints(job_progress& progress, const std::size_t excess) -> std::size_t
{
    std::vector<std::string*> checkpoints;
    for (auto& occurrence : progress.m_open) {
        for (auto& step : occurrence.m_steps) {
            for (auto& task : step) {
                checkpoints.push_back(&task.m_checkpoint);
            }
        }
    }
    std::sort(checkpoints.begin(), checkpoints.end(),
              [](const std::string* left, const std::string* right) { return left->size() > right->size(); });
    std::size_t saved{0};
    std::size_t dropped{0};
    while (saved < excess && dropped < checkpoints.size() && !checkpoints[dropped]->empty()) {
        saved += checkpoints[dropped]->size();
        checkpoints[dropped++]->clear();
    }
    return dropped;
}

[[nodiscard]] auto split(const std::string& bytes, const std::size_t value_bytes) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    for (std::size_t begin = 0; begin < bytes.size(); begin += value_bytes) {
        parts.push_back(bytes.substr(begin, value_bytes));
    }
    return parts;
}

[[nodiscard]] auto progress_capacity(const std::size_t value_bytes) -> std::int64_t
{
    return static_cast<std::int64_t>(max_progress_parts * value_bytes);
}

/** @brief Returns an upper bound of the size of a job as it is stored. */
[[nodiscard]] auto largest_record_bytes(const job_record& record) -> std::size_t
{
    auto bytes = record_bytes + record.m_id.str().size() + record.m_policy.m_queue.str().size() +
                 record.m_policy.m_service.str().size() + record.m_spec.m_text.size();
    for (const auto& step : record.m_spec.m_steps) {
        bytes += step_record_bytes + step.m_after.size() * sizeof(std::int64_t) + step.m_required_label.size() +
                 step.m_data_rack.size() + step.m_image.size();
    }
    return bytes;
}

} // namespace

auto encode_parts(const job_progress& progress, const std::size_t value_bytes) -> stored_progress
{
    if (count_open_tasks(progress) <= value_bytes / least_task_bytes) {
        auto bytes = encode(progress);
        if (bytes.size() <= value_bytes) {
            return {{std::move(bytes)}, 0};
        }
    }
    stored_progress stored;
    auto bytes = encode_compact(progress);
    const auto capacity = max_progress_parts * value_bytes;
    if (bytes.size() > capacity) {
        auto reduced = progress;
        stored.m_dropped_checkpoints = drop_checkpoints(reduced, bytes.size() - capacity);
        bytes = encode_compact(reduced);
    }
    stored.m_parts = split(bytes, value_bytes);
    stored.m_parts.front()[parts_position] = static_cast<char>(stored.m_parts.size());
    return stored;
}

auto count_parts(const std::string_view first) noexcept -> std::size_t
{
    const auto parts = is_compact(first) && first.size() > parts_position
                           ? static_cast<unsigned char>(first[parts_position])
                           : std::size_t{1};
    return std::max<std::size_t>(1, parts);
}

auto decode_stored_state(const std::string_view first) -> result<job_state>
{
    // Both forms have the state in the second byte, after the one that tells them apart.
    const auto state = first.size() > 1 ? static_cast<std::size_t>(static_cast<unsigned char>(first[1]))
                                        : static_cast<std::size_t>(job_state::cancelled) + 1;
    if (state > static_cast<std::size_t>(job_state::cancelled)) {
        return findings{"job progress", "has no state, " + std::to_string(first.size()) + " bytes"};
    }
    return static_cast<job_state>(state);
}

auto find_size_obstacle(const job_record& record, const std::size_t value_bytes) -> findings
{
    findings found;
    const auto record_size = largest_record_bytes(record);
    if (record_size > value_bytes) {
        found.add("steps", "take up to " + std::to_string(record_size) + " bytes in the store, which holds " +
                               std::to_string(value_bytes) + " bytes of a job");
    }
    const auto progress_size = largest_compact_bytes(record);
    if (progress_size > progress_capacity(value_bytes)) {
        found.add("steps", "have too many tasks: their progress takes up to " + std::to_string(progress_size) +
                               " bytes in the store, which holds " + std::to_string(progress_capacity(value_bytes)) +
                               " bytes of the progress of a job");
    }
    return found;
}

auto may_need_parts(const job_record& record, const std::size_t occurrences, const std::size_t value_bytes) -> bool
{
    return largest_compact_bytes(record) * static_cast<std::int64_t>(occurrences) >
           static_cast<std::int64_t>(value_bytes);
}

auto storable_occurrences(const job_record& record, const std::size_t value_bytes) -> std::size_t
{
    return static_cast<std::size_t>(
        std::max<std::int64_t>(1, progress_capacity(value_bytes) / largest_compact_bytes(record)));
}

} // namespace cicadalug
