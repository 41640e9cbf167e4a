#ifndef CICADALUG_TELEMETRY_SCHEDULER_METRICS_HPP
#define CICADALUG_TELEMETRY_SCHEDULER_METRICS_HPP

#include <cicadalug/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cicadalug {

/**
 * @brief Metrics of the scheduler on one entry VM, exported in the Prometheus text format. The time series without
 * labels are created once, so that an update needs no lookup.
 * @note Thread safety: all functions can be called concurrently.
 */
class scheduler_metrics {
public:
    scheduler_metrics();
    scheduler_metrics(const scheduler_metrics&) = delete;
    scheduler_metrics(scheduler_metrics&&) = delete;
    auto operator=(const scheduler_metrics&) -> scheduler_metrics& = delete;
    auto operator=(scheduler_metrics&&) -> scheduler_metrics& = delete;
    ~scheduler_metrics();

    /** @brief Sets whether this entry VM is the decider. */
    auto set_decider(bool is_decider) -> void;

    /** @brief Counts a start that is sent. @param jobs_age Age of the decider's copy of the jobs, if one was read. */
    auto start_sent(std::optional<microseconds> jobs_age) -> void;

    /** @brief Records that the request of a start is written. @param age Time since its decision; on a relay, since the
     * decider can have handed it over at the earliest. */
    auto start_written(microseconds age) -> void;

    /** @brief Records the end of a start's request, with or without a response. @param age As for start_written(). */
    auto start_answered(microseconds age) -> void;

    /** @brief Counts a stop that is sent. */
    auto stop_sent() -> void;

    /** @brief Counts an applied cancellation. @param delay Time since its write, or nothing if that is not known. */
    auto cancel_applied(std::optional<microseconds> delay) -> void;

    /** @brief Counts a cancellation by a client of a job that is not stored. */
    auto unknown_job_cancelled() -> void;

    /** @brief Counts a call to a worker that this entry VM has carried out as a relay. */
    auto call_relayed() -> void;

    /** @brief Sets the number of relays that carry out calls of this decider. */
    auto set_relays(std::size_t relays) -> void;

    /** @brief Sets the number of long-running tasks that have been waiting for their start for over 1 s. */
    auto set_long_waits(std::size_t tasks) -> void;

    /** @brief Counts jobs that ended. @param in_time Whether they met their objective. */
    auto jobs_ended(const std::string& queue, bool in_time, std::int64_t jobs) -> void;

    /** @brief Adds time that jobs spent in one part of their way. @param in_time Whether they met their objective. */
    auto add_job_time(const std::string& queue, std::string_view part, bool in_time, microseconds time) -> void;

    /** @brief Counts a scheduling pass. */
    auto pass_run() -> void;

    /** @brief Records how late a timer of the decider ran. */
    auto timer_run(microseconds delay) -> void;

    /**
     * @brief Returns the response body for GET /metrics.
     * @return All metrics in the Prometheus text format, version 0.0.4.
     */
    [[nodiscard]] auto text() const -> std::string;

private:
    struct series;
    std::unique_ptr<series> m_series;
};

} // namespace cicadalug

#endif
