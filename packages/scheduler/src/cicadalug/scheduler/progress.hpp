#ifndef CICADALUG_SCHEDULER_PROGRESS_HPP
#define CICADALUG_SCHEDULER_PROGRESS_HPP

#include <cicadalug/base/result.hpp>
#include <cicadalug/scheduler/job.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief Stored progress of a task, from which another decider can continue. */
struct task_progress {
    bool m_done{false};
    /** @brief Runs counted as failed attempts. Workers may report them to the next decider again, in any order. */
    std::vector<run_number> m_failed_runs;
    std::string m_checkpoint;

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_done, m_failed_runs, m_checkpoint);
    }
};

/** @brief Progress of one occurrence of a job, by step and index. */
struct occurrence_progress {
    std::int64_t m_occurrence{0};
    std::vector<std::vector<task_progress>> m_steps;
    /** @brief Whether a task of each step may have been started. Stored before the first start. */
    std::vector<bool> m_opened;

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_occurrence, m_steps, m_opened);
    }
};

/** @brief A start of a task that may crash its worker, stored before the start. */
struct stored_trial {
    run_number m_run;
    worker_id m_worker;
    vm_id m_vm;
    std::int64_t m_incarnation_start_unix_ms{0};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_run, m_worker, m_vm, m_incarnation_start_unix_ms);
    }
};

/** @brief What is known about crashes of workers under a task. */
struct crash_progress {
    std::int64_t m_occurrence{0};
    std::int64_t m_step{0};
    std::int64_t m_index{0};
    std::vector<run_number> m_crashed_runs;
    bool m_suspect{false};
    /** @brief At most one. */
    std::vector<stored_trial> m_trial;

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_occurrence, m_step, m_index, m_crashed_runs, m_suspect, m_trial);
    }
};

/** @brief Worker on which a long-running task may run, and no other one, stored before the start. */
struct place_progress {
    std::int64_t m_occurrence{0};
    std::int64_t m_step{0};
    std::int64_t m_index{0};
    worker_id m_worker;
    /** @brief Token of the term in which the run was planned. */
    fencing_token m_token;

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_occurrence, m_step, m_index, m_worker, m_token);
    }
};

/** @brief Progress of a job as it is stored. */
struct job_progress {
    job_state m_state{job_state::queued};
    /** @brief Occurrences below this number are done. */
    std::int64_t m_first_open{0};
    std::vector<occurrence_progress> m_open;
    /** @brief Tasks that may crash their workers. Stored after the other fields: earlier versions neither write nor
     * read it. */
    std::vector<crash_progress> m_crashes;
    /** @brief Places of the long-running tasks. Stored last, as earlier versions ignore what follows the crashes, and
     * not in the compact form. Without its place, a task waits for all workers of its service after a takeover. */
    std::vector<place_progress> m_places;
    /** @brief Number of the job's changes that the progress contains. Only valid in the process that made it; it is not
     * stored. */
    std::int64_t m_changes{0};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_state, m_first_open, m_open);
    }
};

/**
 * @brief Encodes a record for the store.
 * @param record The record.
 * @return Bytes in the portable binary format.
 */
[[nodiscard]] auto encode(const job_record& record) -> std::string;

/** @brief Encodes the progress of a job for the store. */
[[nodiscard]] auto encode(const job_progress& progress) -> std::string;

/**
 * @brief Decodes a record from the store.
 * @param bytes Bytes written by encode().
 * @return The record, or a finding if the bytes cannot be decoded.
 */
[[nodiscard]] auto decode_job_record(std::string_view bytes) -> result<job_record>;

/** @brief Decodes the progress of a job from the store, in either form; the values that hold it have been joined. */
[[nodiscard]] auto decode_job_progress(std::string_view bytes) -> result<job_progress>;

} // namespace cicadalug

#endif
