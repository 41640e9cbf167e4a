#ifndef CICADALUG_SCHEDULER_JOB_HPP
#define CICADALUG_SCHEDULER_JOB_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/scheduler/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Resources that a task requires or that a worker provides. */
struct resources {
    millicores m_cpu;
    mebibytes m_memory;
    std::int64_t m_accelerators{0};

    [[nodiscard]] friend auto operator==(const resources&, const resources&) -> bool = default;

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_cpu, m_memory, m_accelerators);
    }
};

/** @brief Returns the CPU amount in cores. */
[[nodiscard]] inline auto cores_of(const resources& amount) -> double
{
    constexpr double millicores_per_core{1'000.0};
    return static_cast<double>(amount.m_cpu.value()) / millicores_per_core;
}

[[nodiscard]] inline auto operator+(const resources& left, const resources& right) -> resources
{
    return {left.m_cpu + right.m_cpu, left.m_memory + right.m_memory, left.m_accelerators + right.m_accelerators};
}

[[nodiscard]] inline auto operator-(const resources& left, const resources& right) -> resources
{
    return {left.m_cpu - right.m_cpu, left.m_memory - right.m_memory, left.m_accelerators - right.m_accelerators};
}

/** @brief Checks whether a demand is at most the free amount of each resource. */
[[nodiscard]] inline auto fits(const resources& demand, const resources& free) -> bool
{
    return demand.m_cpu <= free.m_cpu && demand.m_memory <= free.m_memory &&
           demand.m_accelerators <= free.m_accelerators;
}

/** @brief A group of identical tasks of a job. */
struct step_spec {
    std::int64_t m_count{0};
    resources m_demand;
    /** @brief The client's estimate of a task's run time; wrong by up to 100 %. */
    milliseconds m_estimate{0};
    /** @brief Numbers of the steps that must be done before this one starts. */
    std::vector<std::int64_t> m_after;
    bool m_checkpoints{false};
    /** @brief The tasks make progress only while all of them run. */
    bool m_gang{false};
    bool m_same_rack{false};
    /** @brief Copies of a task may run at the same time. */
    bool m_speculative{false};
    /** @brief The tasks run until the job is cancelled. */
    bool m_long_running{false};
    /** @brief The tasks use CPU time that others leave unused; their CPU demand is not reserved. */
    bool m_best_effort{false};
    std::string m_required_label;
    /** @brief Rack that holds the tasks' input data; empty if there is none. */
    std::string m_data_rack;
    /** @brief Maximum number of the step's tasks on one worker; 0 means no limit. */
    std::int64_t m_max_per_worker{0};
    std::string m_image;
    /** @brief Upper bound of the tail latency of a serving task; 0 if the tasks serve no clients. */
    milliseconds m_latency_target{0};
    /** @brief Maximum number of tasks that planned work may make unavailable at the same time. */
    std::int64_t m_disruption_budget{0};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        auto estimate = m_estimate.count();
        auto target = m_latency_target.count();
        archive(m_count, m_demand, estimate, m_after, m_checkpoints, m_gang, m_same_rack, m_speculative, m_long_running,
                m_best_effort, m_required_label, m_data_rack, m_max_per_worker, m_image, target, m_disruption_budget);
        m_estimate = milliseconds{estimate};
        m_latency_target = milliseconds{target};
    }
};

/** @brief Job specification that a client submits. */
struct job_spec {
    /** @brief Opaque text that is passed to the workers. */
    std::string m_text;
    std::vector<step_spec> m_steps;
    /** @brief Time at which the first occurrence is due, in Unix milliseconds; 0 for a job without a schedule. */
    std::int64_t m_first_due_unix_ms{0};
    milliseconds m_interval{0};
    /** @brief Number of occurrences; 0 for a job without a schedule. */
    std::int64_t m_occurrences{0};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        auto interval = m_interval.count();
        archive(m_text, m_steps, m_first_due_unix_ms, interval, m_occurrences);
        m_interval = milliseconds{interval};
    }
};

/** @brief Settings of a queue, as they were in force when a job was accepted; they stay valid for the job. */
struct queue_policy {
    queue_id m_queue;
    service_id m_service;
    /** @brief 0 is the highest priority. */
    std::int64_t m_priority{0};
    std::int64_t m_max_attempts{1};
    /** @brief The objective is this many times the critical path of the job, plus m_target. */
    double m_stretch{1.0};
    milliseconds m_target{0};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        auto target = m_target.count();
        archive(m_queue, m_service, m_priority, m_max_attempts, m_stretch, target);
        m_target = milliseconds{target};
    }
};

/** @brief An accepted job as it is stored. Immutable. */
struct job_record {
    job_id m_id;
    queue_policy m_policy;
    job_spec m_spec;
    /** @brief Arrival time in Unix milliseconds, by the clock of the accepting entry VM. */
    std::int64_t m_arrived_unix_ms{0};

    template<typename Archive>
    auto serialize(Archive& archive) -> void
    {
        archive(m_id, m_policy, m_spec, m_arrived_unix_ms);
    }
};

/** @brief Identifies a task by job, occurrence, step and its index within the step. */
struct task_ref {
    job_id m_job;
    std::int64_t m_occurrence{0};
    std::int64_t m_step{0};
    std::int64_t m_index{0};

    [[nodiscard]] friend auto operator==(const task_ref&, const task_ref&) -> bool = default;
    [[nodiscard]] friend auto operator<=>(const task_ref&, const task_ref&) = default;
};

/** @brief State of a job as reported to clients. */
enum class job_state : std::uint8_t { queued, running, completed, failed, cancelled };

/** @brief Returns the name of a state as written to logs. */
[[nodiscard]] constexpr auto state_name(const job_state state) noexcept -> const char*
{
    switch (state) {
    case job_state::queued:
        return "queued";
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace cicadalug

#endif
