#ifndef CICADALUG_SCHEDULER_COMPACT_PROGRESS_HPP
#define CICADALUG_SCHEDULER_COMPACT_PROGRESS_HPP

#include <cicadalug/base/result.hpp>
#include <cicadalug/scheduler/progress.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cicadalug {

/**
 * @brief Encodes the progress of a job so that a task without failures and without a checkpoint takes no space beside
 * one that is alike. The second byte is the state of the job, the third one is 1 and may be changed by the caller.
 * @note Releases before this form read only that of encode().
 */
[[nodiscard]] auto encode_compact(const job_progress& progress) -> std::string;

/** @brief Checks whether bytes were written by encode_compact(), and not by encode(). */
[[nodiscard]] auto is_compact(std::string_view bytes) noexcept -> bool;

/** @brief Decodes bytes written by encode_compact(). @return The progress, or a finding. */
[[nodiscard]] auto decode_compact_progress(std::string_view bytes) -> result<job_progress>;

/** @brief Returns an upper bound of the compact size of a job's progress, in bytes, with one occurrence open. The
 * checkpoints count as far as they have an ordinary length. */
[[nodiscard]] auto largest_compact_bytes(const job_record& record) -> std::int64_t;

} // namespace cicadalug

#endif
