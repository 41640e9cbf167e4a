#ifndef CICADALUG_ENTRY_JOB_INTAKE_HPP
#define CICADALUG_ENTRY_JOB_INTAKE_HPP

#include <cicadalug/adapter/store_client.hpp>
#include <cicadalug/base/time.hpp>
#include <cicadalug/entry/signal_event.hpp>
#include <cicadalug/scheduler/job.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

namespace cicadalug {

/** @brief Outcome of the submission of a job. */
enum class intake_result : std::uint8_t {
    /** @brief The job is stored, by this call or an earlier one. */
    stored,
    /** @brief The job is not stored and will not be by this call. */
    not_stored,
    /** @brief The job was cancelled before it was stored, and is never stored. */
    cancelled,
    /** @brief The store refuses the job, which is never stored. */
    refused,
    /** @brief The response of the store is missing; the job may be stored now or later. */
    unknown,
};

/**
 * @brief Stores submitted jobs, several per write.
 * @note Thread safety: all functions on the executor given to the constructor.
 */
class job_intake {
public:
    /**
     * @brief Constructs an intake without jobs.
     * @param executor Runs the writes.
     * @param store Client of the store; must outlive the intake.
     */
    job_intake(asio::any_io_executor executor, store_client& store);

    /**
     * @brief Stores a job.
     * @param record The job.
     * @param deadline When the outcome is returned at the latest.
     * @return The outcome. An id names one job, even if it is submitted to two entry VMs at the same time.
     */
    [[nodiscard]] auto submit(job_record record, time_point deadline) -> asio::awaitable<intake_result>;

private:
    struct submission;

    [[nodiscard]] auto write_until_idle() -> asio::awaitable<void>;
    [[nodiscard]] auto write_batch(std::vector<std::shared_ptr<submission>> batch) -> asio::awaitable<void>;
    [[nodiscard]] auto take_batch() -> std::vector<std::shared_ptr<submission>>;
    auto settle(submission& settled, intake_result result) -> void;

    asio::any_io_executor m_executor;
    store_client& m_store;
    std::deque<std::shared_ptr<submission>> m_waiting;
    std::unordered_map<job_id, std::shared_ptr<submission>> m_by_id;
    int m_writers{0};
};

} // namespace cicadalug

#endif
