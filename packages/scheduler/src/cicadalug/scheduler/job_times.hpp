#ifndef CICADALUG_SCHEDULER_JOB_TIMES_HPP
#define CICADALUG_SCHEDULER_JOB_TIMES_HPP

#include <cicadalug/base/time.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <string_view>

namespace cicadalug {

/** @brief Parts of the time that a job takes. The waiting parts are named as in wait_cause. */
enum class job_part : std::uint8_t {
    /** @brief Before the job was read by this decider, which found it in the store at its takeover. */
    before_term,
    /** @brief From the arrival of the job at an entry VM to its entry in the decider's copy. */
    accepted,
    /** @brief Waiting: the decider starts nothing, as a copy is too old, its term may be over, or leases would be too
     * short. */
    starts_suspended,
    recovering,
    back_off,
    gang_incomplete,
    /** @brief Waiting: the task may have crashed a worker, and needs a trial. */
    trial,
    /** @brief Waiting: a request to the permit service is in progress, and no worker can be used without its response.
     */
    no_permit,
    none_accepting,
    none_fitting,
    step_not_opened,
    /** @brief Waiting: no scheduling pass has looked at the task since its turn has come. */
    pass_due,
    /** @brief From the decision of a start to its acceptance by the worker, relays included. */
    placed,
    /** @brief From the acceptance of a start to the report that has the end of the run. */
    running,
    /** @brief Running, but the run ended without completing its task. */
    unfinished_runs,
    /** @brief From the report of the last end to the write of the job's final state. */
    end_stored,
};

inline constexpr std::size_t job_parts{static_cast<std::size_t>(job_part::end_stored) + 1};

/** @brief Returns the name of a part in log lines and metrics. */
[[nodiscard]] auto name_of(job_part part) noexcept -> std::string_view;

/** @brief Time by part. */
struct job_times {
    std::array<microseconds, job_parts> m_parts{};

    [[nodiscard]] auto operator[](const job_part part) noexcept -> microseconds&
    {
        return m_parts[static_cast<std::size_t>(part)];
    }
    [[nodiscard]] auto operator[](const job_part part) const noexcept -> microseconds
    {
        return m_parts[static_cast<std::size_t>(part)];
    }

    auto operator+=(const job_times& other) noexcept -> job_times&
    {
        std::transform(m_parts.begin(), m_parts.end(), other.m_parts.begin(), m_parts.begin(),
                       [](const microseconds left, const microseconds right) { return left + right; });
        return *this;
    }
};

/** @brief Returns the sum of all parts. */
[[nodiscard]] inline auto total(const job_times& times) -> microseconds
{
    return std::accumulate(times.m_parts.begin(), times.m_parts.end(), microseconds{0});
}

/** @brief Returns the largest part apart from the running time, which the scheduler does not choose. */
[[nodiscard]] auto largest_delay(const job_times& times) -> job_part;

/** @brief Time of one task by part, from the time at which its turn comes. */
struct task_times {
    job_part m_part{job_part::pass_due};
    /** @brief Start of the current part. */
    time_point m_since{};
    job_times m_times;
};

/** @brief Ends the current part of a task's time and begins another one. Continues the current part if it is the same.
 */
inline auto enter_part(task_times& task, const job_part part, const time_point now) -> void
{
    if (task.m_part != part) {
        task.m_times[task.m_part] += now - task.m_since;
        task.m_part = part;
        task.m_since = now;
    }
}

/** @brief Returns the time of a task by part up to now. */
[[nodiscard]] inline auto times_until(const task_times& task, const time_point now) -> job_times
{
    auto times = task.m_times;
    times[task.m_part] += now - task.m_since;
    return times;
}

} // namespace cicadalug

#endif
