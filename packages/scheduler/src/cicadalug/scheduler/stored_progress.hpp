#ifndef CICADALUG_SCHEDULER_STORED_PROGRESS_HPP
#define CICADALUG_SCHEDULER_STORED_PROGRESS_HPP

#include <cicadalug/base/result.hpp>
#include <cicadalug/scheduler/progress.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief Maximum number of values that hold the progress of one job; they are written together. */
inline constexpr std::size_t max_progress_parts{16};

/** @brief Progress of a job as values of the store. */
struct stored_progress {
    /** @brief One value, or several that have to be joined in this order. */
    std::vector<std::string> m_parts;
    /** @brief Checkpoints that were left out, as there was no room for them. */
    std::size_t m_dropped_checkpoints{0};
};

/**
 * @brief Encodes the progress of a job as values of the store. What fits into one value has the form of encode(), which
 * earlier releases read; otherwise it has the compact form, in as many values as that takes.
 * @param progress The progress.
 * @param value_bytes Maximum size of a value, in bytes; positive.
 * @return The values, max_progress_parts at most if find_size_obstacle() has no finding about the job.
 */
[[nodiscard]] auto encode_parts(const job_progress& progress, std::size_t value_bytes) -> stored_progress;

/** @brief Returns over how many values the progress is distributed of which the first value is given. */
[[nodiscard]] auto count_parts(std::string_view first) noexcept -> std::size_t;

/** @brief Reads the state of a job from the first of the values that hold its progress. @return The state, or a
 * finding if it cannot be read. */
[[nodiscard]] auto decode_stored_state(std::string_view first) -> result<job_state>;

/**
 * @brief Checks whether a job and its progress, up to the end of its last task, can be stored.
 * @param record The job.
 * @param value_bytes Maximum size of a value, in bytes.
 * @return Findings with the sizes and the limits, empty if the job can be stored.
 */
[[nodiscard]] auto find_size_obstacle(const job_record& record, std::size_t value_bytes) -> findings;

/** @brief Checks whether the progress of a job may take several values. @param occurrences Number of open ones. */
[[nodiscard]] auto may_need_parts(const job_record& record, std::size_t occurrences, std::size_t value_bytes) -> bool;

/** @brief Returns how many occurrences of a job may be open at the same time so that its progress can be stored. */
[[nodiscard]] auto storable_occurrences(const job_record& record, std::size_t value_bytes) -> std::size_t;

} // namespace cicadalug

#endif
