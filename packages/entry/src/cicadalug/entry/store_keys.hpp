#ifndef CICADALUG_ENTRY_STORE_KEYS_HPP
#define CICADALUG_ENTRY_STORE_KEYS_HPP

#include <cicadalug/scheduler/ids.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Key of the decider's lease. Its revision is the decider's fencing token. */
inline constexpr std::string_view holder_key{"decider/holder"};

/** @brief Rewritten by each write of the decider, so that a write which is carried out late fails its condition. */
inline constexpr std::string_view decision_log_key{"decision-log"};

/** @brief Prefix of accepted jobs and of their cancellations. */
inline constexpr std::string_view job_prefix{"job/"};

/** @brief Prefix of the progress of jobs, which only the decider writes. */
inline constexpr std::string_view progress_prefix{"progress/"};

/** @brief End of the key of a cancellation. */
inline constexpr std::string_view cancel_suffix{"/cancel"};

[[nodiscard]] inline auto job_key(const job_id& id) -> std::string
{
    return std::string{job_prefix} + id.str();
}

[[nodiscard]] inline auto cancel_key(const job_id& id) -> std::string
{
    return job_key(id) + std::string{cancel_suffix};
}

[[nodiscard]] inline auto progress_key(const job_id& id) -> std::string
{
    return std::string{progress_prefix} + id.str();
}

/** @brief Job whose cancellation a key names, or nothing if it is the key of a job. */
[[nodiscard]] inline auto cancelled_job(const std::string_view key) -> std::optional<job_id>
{
    if (key.size() <= job_prefix.size() + cancel_suffix.size() || !key.ends_with(cancel_suffix)) {
        return std::nullopt;
    }
    return job_id{std::string{key.substr(job_prefix.size(), key.size() - job_prefix.size() - cancel_suffix.size())}};
}

} // namespace cicadalug

#endif
