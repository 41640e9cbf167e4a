#ifndef CICADALUG_SCHEDULER_SCHEDULER_STATE_HPP
#define CICADALUG_SCHEDULER_SCHEDULER_STATE_HPP

#include <cicadalug/scheduler/job.hpp>
#include <cicadalug/scheduler/progress.hpp>
#include <cicadalug/scheduler/worker.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cicadalug {

/** @brief Limits and times of the scheduler, from the platform's settings and from scheduler settings. */
struct scheduler_settings {
    /** @brief Lease of a worker's runs. Long enough for a takeover (about 2 s), short enough that the tasks of a lost
     * worker start again soon. */
    milliseconds m_worker_lease{3'500};
    /** @brief A decider grants leases up to this long after it last renewed its own lease in the store. Bounds how long
     * the successor of a decider that is cut off waits for workers it cannot reach; longer than the outages of the
     * store, through which running tasks are kept. */
    milliseconds m_grant_horizon{5'500};
    /** @brief No task is started with a lease that ends sooner. */
    milliseconds m_shortest_lease{800};
    /** @brief Greatest rate error of a worker's clock, in parts per thousand; stated by the platform as 2 %. */
    std::int64_t m_clock_drift_permille{20};
    /** @brief Added to the computed end of a lease, for rounding and the journey of an answer. */
    milliseconds m_lease_margin{100};
    /** @brief A start without an answer is resolved after this time by a look at the worker or by a stop. */
    milliseconds m_start_timeout{1'000};
    /** @brief Time that a stop takes at most, from the platform's settings. */
    milliseconds m_stop_grace{400};
    /** @brief A worker whose tasks failed this many times in a row gets no further work for m_worker_pause. */
    std::int64_t m_failures_before_pause{3};
    /** @brief First pause of a failing worker; doubles up to m_worker_pause_limit. */
    milliseconds m_worker_pause{1'500};
    milliseconds m_worker_pause_limit{12'000};
    /** @brief Delay before a failed task starts again, times its failures. */
    milliseconds m_task_backoff{100};
};

/** @brief Where a task stands. */
enum class task_phase : std::uint8_t {
    waiting,
    /** @brief The start was sent and not yet answered. */
    starting,
    running,
    /** @brief A stop was decided. Occupies its worker until the end is listed. */
    stopping,
    done,
};

/** @brief Names a worker in the scheduler's table. */
using worker_index = std::int32_t;

inline constexpr worker_index no_worker{-1};

/** @brief One task in memory. */
struct task_state {
    task_phase m_phase{task_phase::waiting};
    worker_index m_worker{no_worker};
    run_number m_run;
    /** @brief Runs that count as failed attempts. */
    std::vector<run_number> m_failed_runs;
    /** @brief Workers on which runs failed in this term; others are tried first. */
    std::vector<worker_index> m_failed_on;
    std::string m_checkpoint;
    /** @brief Begin of the current phase. */
    time_point m_since{};
    time_point m_not_before{};
    std::int64_t m_percent{0};
    std::int64_t m_usage{0};
};

/** @brief What the permit service said of a step on one life of a worker. */
struct step_permit {
    /** @brief Passed on with each start; empty if the step may not run there. */
    std::string m_text;
    std::int64_t m_incarnation_start_unix_ms{0};
    time_point m_valid_until{};
};

struct step_state {
    std::vector<task_state> m_tasks;
    std::size_t m_done{0};
    /** @brief Tasks in phase waiting. */
    std::size_t m_waiting{0};
    /** @brief A worker has room for a task; the step is opened as soon as this is stored. */
    bool m_opening{false};
    /** @brief When the write that opens the step was asked for. */
    time_point m_opening_since{};

    /** @brief The store tells that tasks may have been started. Without it none has, so that after a takeover the step
     * need not wait for workers that cannot be reached. */
    bool m_opened{false};
    /** @brief The step was open when this decider took over. */
    bool m_recovered{false};
    /** @brief Permits by worker, for queues that need them. */
    std::map<worker_index, step_permit> m_permits;
    bool m_permits_asked{false};
    time_point m_permits_not_before{};
};

struct occurrence_state {
    std::int64_t m_number{0};
    std::vector<step_state> m_steps;
};

/** @brief A job that has been accepted, with its progress. */
struct job_entry {
    job_record m_record;
    job_state m_state{job_state::queued};
    /** @brief The state that is in the store, and may be shown to clients. */
    job_state m_stored_state{job_state::queued};
    bool m_dirty{false};
    bool m_started{false};
    /** @brief The job was found in the store at a takeover. */
    bool m_recovered{false};
    std::int64_t m_first_open{0};
    std::vector<occurrence_state> m_open;
    time_point m_arrived{};
    /** @brief End of the objective. */
    time_point m_deadline{};
    /** @brief When the job came to its final state. */
    time_point m_finished{};
};

/** @brief A run that occupies a worker. */
struct placed_run {
    task_ref m_task;
    run_number m_run;
    resources m_demand;
    bool m_long_running{false};
    bool m_best_effort{false};
    /** @brief Pace that the worker has accepted, in percent; -1 after a takeover, when it is not known. */
    std::int64_t m_pace{100};
    time_point m_pace_sent{};
    /** @brief The start was sent at this time; a report of an older look says nothing about it. */
    time_point m_sent{};
    /** @brief The worker has listed the run or accepted its start. */
    bool m_confirmed{false};
    /** @brief The start has had no answer since then: the run may be there, or may still come. */
    std::optional<time_point> m_unanswered;
    bool m_stop_wanted{false};
    /** @brief An order for the VM is about to end the run. */
    bool m_ending{false};
    /** @brief When the last stop was sent. */
    time_point m_stop_sent{};
    /** @brief When a stop was first accepted: a run that a later look does not list will never run. */
    std::optional<time_point> m_stop_accepted;
};

/** @brief A worker in the scheduler's table. Its place in the table is never reused. */
struct worker_slot {
    worker_entry m_entry;
    /** @brief False after the entry left the registry. */
    bool m_registered{true};
    /** @brief Answered in this term of the decider. */
    bool m_has_reported{false};
    time_point m_last_heard{};
    /** @brief The last renewal had no answer. Its lease counts as granted, but no longer one is until the next answer.
     */
    bool m_unresponsive{false};
    /** @brief Gets no new work, because the VM is about to be maintained or moved. */
    bool m_cordoned{false};
    std::int64_t m_incarnation_start_unix_ms{0};
    /** @brief Reading of the worker's clock and the latest local time at which it was taken. */
    std::int64_t m_clock_ms{0};
    time_point m_clock_read{};
    /** @brief Highest end of a lease that was sent, on the worker's clock; 0 if none. */
    std::int64_t m_lease_until_ms{0};
    /** @brief Highest end that has been taken into the progress of its job. */
    std::int64_t m_last_end{0};
    /** @brief Highest end whose effect is stored. */
    std::int64_t m_acknowledged_end{0};
    resources m_used;
    std::vector<placed_run> m_runs;
    /** @brief Pace at which best-effort tasks on this worker should work, in percent. */
    std::int64_t m_best_effort_pace{100};
    time_point m_pace_changed{};
    std::int64_t m_failures_in_row{0};
    time_point m_paused_until{};
    milliseconds m_pause{0};
};

/** @brief Order to start a run. */
struct start_command {
    worker_index m_worker{no_worker};
    task_ref m_task;
    run_number m_run;
    std::int64_t m_lease_until_ms{0};
    std::string m_checkpoint;
    std::string m_permit;
    /** @brief No task of the job has been started before. */
    bool m_first_of_job{false};
};

/** @brief Question to the permit service. */
struct permit_request {
    /** @brief Names the step; the index means nothing. */
    task_ref m_step;
    /** @brief Workers asked for, each with the begin of its life. */
    std::vector<std::pair<worker_index, std::int64_t>> m_workers;
};

/** @brief What happened to a run, for the log. */
enum class run_event_kind : std::uint8_t { failed, lost, worker_paused };

/** @brief One thing that happened to a run. */
struct run_event {
    run_event_kind m_kind{run_event_kind::failed};
    worker_index m_worker{no_worker};
    task_ref m_task;
    run_number m_run;
    std::int64_t m_failures{0};
};

/** @brief Order to stop a run. */
struct stop_command {
    worker_index m_worker{no_worker};
    task_ref m_task;
    run_number m_run;
};

/** @brief Learned run time of the tasks of a queue. */
struct run_time_estimate {
    double m_mean_ms{0.0};
    /** @brief Mean distance of a run time from the mean. */
    double m_deviation_ms{0.0};
    std::int64_t m_samples{0};
};

/**
 * @brief All that a decider knows. Built from the store and from the workers' reports.
 * @note Thread safety: one thread at a time.
 */
struct scheduler_state {
    scheduler_settings m_settings;
    fencing_token m_token;
    time_point m_began{};
    /** @brief No lease is granted beyond this time. */
    time_point m_grant_limit{};
    /** @brief Until this time no other decider can have begun. Afterwards another one may renew the leases of workers
     * that are silent here, so that their runs are not known to be over. */
    time_point m_term_guaranteed_until{};
    /** @brief Workers that had leases when the last decider stored its progress, and were not heard yet. */
    std::set<worker_id> m_expected_workers;
    std::unordered_map<job_id, std::unique_ptr<job_entry>> m_jobs;
    /** @brief Jobs that are not in a final state, by service. */
    std::map<service_id, std::vector<job_entry*>> m_active;
    std::vector<worker_slot> m_workers;
    std::unordered_map<worker_id, worker_index> m_worker_by_id;
    /** @brief Jobs whose progress differs from the store. */
    std::vector<job_entry*> m_dirty;
    std::map<queue_id, run_time_estimate> m_run_times;
    std::vector<start_command> m_starts;
    std::vector<stop_command> m_stops;
    /** @brief Queues whose steps need permits. */
    std::set<queue_id> m_permit_queues;
    std::vector<permit_request> m_permit_requests;

    /** @brief What is to be logged. */
    std::vector<run_event> m_events;
    /** @brief Something changed that may let a task start. */
    bool m_dispatch_requested{false};
    /** @brief A worker refused this decider's token. */
    bool m_deposed{false};
};

/** @brief Finds a task's state. @return The state, or null if the job or the task is not known. */
[[nodiscard]] auto find_task(scheduler_state& state, const task_ref& task) -> task_state*;

/** @brief Finds the step of a task. @return The step, or null if its occurrence is not open or has no such step. */
[[nodiscard]] auto find_step(const job_entry& job, const task_ref& task) -> const step_state*;
[[nodiscard]] auto find_step(job_entry& job, const task_ref& task) -> step_state*;

/** @brief Finds a worker's place in the table. @return The place, or no_worker if the id is not known. */
[[nodiscard]] auto find_worker(const scheduler_state& state, const worker_id& id) -> worker_index;

/** @brief Lets a worker take work again that was cordoned. An id that is not known is passed over. */
auto release_worker(scheduler_state& state, const worker_id& id) -> void;

/** @brief Finds the job of an id. @return The job, or null. */
[[nodiscard]] auto find_job(const scheduler_state& state, const job_id& id) -> job_entry*;

/** @brief Returns the step of a task. @pre The task exists in the job. */
[[nodiscard]] auto step_of(const job_entry& job, const task_ref& task) -> const step_spec&;

/** @brief Returns the capacity that a task of a step reserves. */
[[nodiscard]] auto reserved_demand(const step_spec& step) -> resources;

/** @brief Checks whether a worker has the label that a step requires. */
[[nodiscard]] auto has_required_label(const step_spec& step, const worker_slot& worker) -> bool;

/** @brief Checks whether a state is final. */
[[nodiscard]] constexpr auto is_final(const job_state state) noexcept -> bool
{
    return state == job_state::completed || state == job_state::failed || state == job_state::cancelled;
}

} // namespace cicadalug

#endif
