#ifndef CICADALUG_ENTRY_STORE_KEYS_HPP
#define CICADALUG_ENTRY_STORE_KEYS_HPP

#include <cicadalug/scheduler/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Key that the decider holds with its lease. Its revision is the decider's fencing token. */
inline constexpr std::string_view holder_key{"decider/holder"};

/** @brief Key with a lease by which an entry VM requests the term of a decider that lacks CPU capacity. */
inline constexpr std::string_view term_request_key{"decider/request"};

/** @brief Prefix of the keys of the election. */
inline constexpr std::string_view election_prefix{"decider/"};

/** @brief Key that each write of the decider's progress rewrites, so that the condition of a delayed write fails. */
inline constexpr std::string_view decision_log_key{"decision-log"};

/** @brief Word in the decision log after which the list of leased workers names all workers that may hold runs. */
inline constexpr std::string_view complete_list_mark{"leases-listed"};

/** @brief Key that lists the workers with leases, so that a successor waits for those that have left the registry. */
inline constexpr std::string_view leased_workers_key{"leased-workers"};

/** @brief Key that holds the VM of each worker with a lease, written beside the list. Deciders of earlier versions
 * write the list alone; what the key then says of a worker remains true, as a worker never changes its VM. */
inline constexpr std::string_view leased_worker_vms_key{"leased-worker-vms"};

/** @brief Key that lists those workers with leases that have restarted and may hold a lease from a call to an earlier
 * incarnation, and the time left of it in milliseconds. Written with the list of leased workers; earlier versions do
 * not know it. */
inline constexpr std::string_view restarted_workers_key{"restarted-workers"};

/** @brief Key that holds the start of the incarnation of each worker with a lease, in Unix milliseconds: a worker that
 * is registered with another one has restarted since. Written with their VMs; earlier versions do not know it. */
inline constexpr std::string_view leased_worker_incarnations_key{"leased-worker-incarnations"};

/** @brief Key that holds the known ends of the leases of listed workers, see lease_bounds. It is valid if it was
 * written together with the list: earlier versions write the list alone. */
inline constexpr std::string_view lease_bounds_key{"lease-bounds"};

/** @brief Key that holds the token of a term and its age in milliseconds, written while a successor would need it to
 * date the term's bounds: a process that has just started has not seen the election. */
inline constexpr std::string_view term_age_key{"term-age"};

/** @brief Prefix of accepted jobs and of their cancellations. */
inline constexpr std::string_view job_prefix{"job/"};

/** @brief Prefix of the progress of jobs, which only the decider writes. */
inline constexpr std::string_view progress_prefix{"progress/"};

/** @brief Suffix of a cancellation's key. */
inline constexpr std::string_view cancel_suffix{"/cancel"};

/** @brief Returns the key of the progress of a maintenance wave. */
[[nodiscard]] inline auto wave_progress_key(const std::int64_t wave) -> std::string
{
    return "upkeep/" + std::to_string(wave);
}

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

/** @brief Returns the key of a further value with the progress of a job. @param part Its number, from 1. */
[[nodiscard]] inline auto progress_part_key(const job_id& id, const std::size_t part) -> std::string
{
    return progress_key(id) + '/' + std::to_string(part);
}

/** @brief Returns the job that the key of a cancellation names, or nothing if the key is that of a job. */
[[nodiscard]] inline auto cancelled_job(const std::string_view key) -> std::optional<job_id>
{
    if (key.size() <= job_prefix.size() + cancel_suffix.size() || !key.ends_with(cancel_suffix)) {
        return std::nullopt;
    }
    return job_id{key.substr(job_prefix.size(), key.size() - job_prefix.size() - cancel_suffix.size())};
}

} // namespace cicadalug

#endif
