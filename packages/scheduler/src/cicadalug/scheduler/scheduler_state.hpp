#ifndef CICADALUG_SCHEDULER_SCHEDULER_STATE_HPP
#define CICADALUG_SCHEDULER_SCHEDULER_STATE_HPP

#include <cicadalug/scheduler/duration_estimate.hpp>
#include <cicadalug/scheduler/job.hpp>
#include <cicadalug/scheduler/job_times.hpp>
#include <cicadalug/scheduler/lease_bounds.hpp>
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

/** @brief Limits and times of the scheduler, from the settings of the platform and of the scheduler. */
struct scheduler_settings {
    /** @brief Lease of a worker's runs. Long enough to outlast a takeover (about 2 s), short enough that the tasks of a
     * lost worker are restarted soon. */
    milliseconds m_worker_lease{3'500};
    /** @brief Longest lease that a worker takes on, from the platform's settings; it shortens a longer one. */
    milliseconds m_longest_lease{10'000};
    /** @brief A decider grants leases up to this long after it last renewed its own lease in the store. Bounds how long
     * the successor of a partitioned decider waits for workers that it cannot reach; longer than outages of the store,
     * during which tasks keep running. */
    milliseconds m_grant_horizon{5'500};
    /** @brief No task is started with a lease shorter than this. */
    milliseconds m_min_lease{800};
    /** @brief Maximum rate error of a worker's clock in parts per thousand; stated by the platform as 2 %. */
    std::int64_t m_clock_drift_permille{20};
    /** @brief Added to the computed end of a lease, for rounding and the transit time of a response. */
    milliseconds m_lease_margin{100};
    /** @brief A start without a response is resolved after this time by a status poll or by a stop. */
    milliseconds m_start_timeout{1'000};
    /** @brief The platform may carry out a call without a response up to this long after it was sent. */
    milliseconds m_late_call_time{12'000};
    /** @brief If the lease of a worker ends while a start has no response, the task waits until this long after the
     * start was sent: a new incarnation of the worker may carry the start out before it receives its fencing token. */
    milliseconds m_late_start_time{5'000};
    /** @brief Maximum duration of a stop, from the platform's settings. */
    milliseconds m_stop_grace{400};
    /** @brief A worker on which this much different work has failed in a row gets no new work for m_worker_pause. */
    std::size_t m_failures_before_pause{3};
    /** @brief Work that fails on more than this many workers is the cause of its failures. */
    std::size_t m_blamed_workers{2};
    /** @brief First pause of a failing worker; doubled with each further pause up to m_worker_pause_limit. */
    milliseconds m_worker_pause{1'500};
    milliseconds m_worker_pause_limit{12'000};
    /** @brief Delay before a failed task is restarted, multiplied by the number of its failures. */
    milliseconds m_task_backoff{100};
    /** @brief No task of a job starts later than this after the job's cancel was acknowledged; from the platform's
     * settings. */
    milliseconds m_cancel_time{3'000};
    /** @brief No task starts on a worker later than this after the worker was registered as draining; from the
     * platform's settings. */
    milliseconds m_drain_time{2'000};
    /** @brief Timeout of a command to a worker. */
    milliseconds m_command_timeout{800};
    /** @brief Part of m_cancel_time and m_drain_time that is left for the transit of the acknowledgement and of the
     * start. */
    milliseconds m_start_margin{200};
    /** @brief Copies of this age are always recent enough: while nothing changes, a copy gets twice as old as a watch
     * waits. */
    milliseconds m_min_copy_age{1'100};
    /** @brief Maximum size of a value in the store, in bytes; from the platform's settings. */
    std::size_t m_value_bytes{1'048'576};
};

/** @brief Phase of a task in the scheduler. */
enum class task_phase : std::uint8_t {
    waiting,
    /** @brief The start was sent and has no response yet. */
    starting,
    running,
    /** @brief A stop was decided. The run occupies its worker until the worker reports its end. */
    stopping,
    done,
};

/** @brief Index of a worker in the scheduler's table. */
using worker_index = std::int32_t;

inline constexpr worker_index no_worker{-1};

/** @brief Worker on which a task may run, see run_place.hpp. */
struct run_place {
    worker_id m_worker;
    /** @brief Token of the term in which the run was planned. */
    fencing_token m_token;
    bool m_is_stored{false};
};

/** @brief State of a task in memory. */
struct task_state {
    task_phase m_phase{task_phase::waiting};
    worker_index m_worker{no_worker};
    run_number m_run;
    /** @brief Highest number of a run so far; above m_run if an earlier run has been adopted. */
    run_number m_highest_run;
    /** @brief Runs counted as failed attempts. */
    std::vector<run_number> m_failed_runs;
    /** @brief Workers on which runs of the task failed in this term; others are tried first. */
    std::vector<worker_index> m_failed_workers;
    /** @brief Workers on which a run of the task failed soon, since a run of it was last good. */
    std::vector<worker_index> m_soon_failed_workers;
    /** @brief Runs under which their worker has crashed. */
    std::vector<run_number> m_crashed_runs;
    /** @brief Latest run of a long-running task that a worker survived in this term: crashes under earlier runs had
     * another cause. */
    run_number m_proven_run;
    /** @brief The task may have crashed a worker, and may only be started in a trial. */
    bool m_suspect{false};
    /** @brief Trials in a row of which it is not known whether they crashed their worker, and the last of them. */
    std::int64_t m_lost_trials{0};
    run_number m_last_lost_trial;
    /** @brief The trial to be stored before its start. */
    std::optional<stored_trial> m_trial;
    /** @brief The only worker on which the task may run; nothing if that is not known, or the step does not store it.
     */
    std::optional<run_place> m_place;
    std::string m_checkpoint;
    /** @brief Start of the current phase. */
    time_point m_since{};
    time_point m_not_before{};
    std::int64_t m_percent{0};
    std::int64_t m_usage{0};
    /** @brief Where the time went since the turn of the task's step came; for observation only. */
    task_times m_times;
};

/** @brief Decision of the permit service about a step on one incarnation of a worker. */
struct step_permit {
    /** @brief Permit to send with each start; empty if the step may not run on the worker. */
    std::string m_text;
    std::int64_t m_incarnation_start_unix_ms{0};
    time_point m_valid_until{};
};

struct step_state {
    std::vector<task_state> m_tasks;
    std::size_t m_done{0};
    /** @brief Tasks in phase waiting. */
    std::size_t m_waiting{0};
    /** @brief A worker has free capacity for a task; the step is opened as soon as that is stored. */
    bool m_opening{false};
    /** @brief When the write that opens the step was requested. */
    time_point m_opening_since{};
    /** @brief The store records that tasks may have been started. As long as it does not, none has, so that after a
     * takeover the step need not wait for unreachable workers. */
    bool m_opened{false};
    /** @brief The step was already opened when this decider took over. */
    bool m_recovered{false};
    /** @brief When a task was last started in this term. */
    time_point m_last_start{};
    /** @brief A run of the step has failed, was lost or was not accepted. */
    bool m_interrupted{false};
    /** @brief A run of the step was good in this term: it was done, or lasted for long. */
    bool m_proven{false};
    /** @brief Workers on which a run of the step failed soon, since a run of it was last good. */
    std::vector<worker_index> m_soon_failed_workers;
    /** @brief Decisions on permits by worker, for queues that need permits. */
    std::map<worker_index, step_permit> m_permits;
    bool m_permits_requested{false};
    time_point m_permits_not_before{};
    /** @brief The step's turn has come, and the time of its tasks is accounted for. */
    bool m_accounted{false};
    /** @brief Where the time went: up to the turn of the step, and once it has ended, up to its end. */
    job_times m_times;
    /** @brief When its last task ended; the epoch if that was before this term. */
    time_point m_ended{};
};

struct occurrence_state {
    std::int64_t m_number{0};
    std::vector<step_state> m_steps;
};

/** @brief An accepted job with its progress. */
struct job_entry {
    job_record m_record;
    job_state m_state{job_state::queued};
    /** @brief The state in the store, which may be reported to clients. */
    job_state m_stored_state{job_state::queued};
    bool m_dirty{false};
    /** @brief Number of changes of the progress in this term. */
    std::int64_t m_changes{0};
    /** @brief Number of the changes that the stored progress contains. */
    std::int64_t m_stored_changes{0};
    /** @brief The store has refused the last progress. No task starts, as no end could be acknowledged, and workers
     * list only the first of many ends. */
    bool m_refused{false};
    /** @brief Number of keys of the store that may hold the progress. */
    std::size_t m_progress_keys{1};
    bool m_started{false};
    /** @brief The job was found in the store at a takeover. */
    bool m_recovered{false};
    std::int64_t m_first_open{0};
    std::vector<occurrence_state> m_open;
    time_point m_arrived{};
    /** @brief Time by which the job has to be done to meet its objective. */
    time_point m_deadline{};
    /** @brief When the job reached its final state. */
    time_point m_finished{};
    /** @brief When this decider has read the job. */
    time_point m_read{};
    /** @brief A scheduling pass with waiting tasks of the job found that it cannot meet its objective. */
    bool m_found_late{false};
    /** @brief Where the time of the completed job went, along the tasks that ended last. */
    job_times m_times;
};

/** @brief A run that occupies a worker. */
struct placed_run {
    task_ref m_task;
    run_number m_run;
    resources m_demand;
    bool m_long_running{false};
    bool m_best_effort{false};
    /** @brief Speed that the worker has accepted, in percent; -1 after a takeover, when it is unknown. */
    std::int64_t m_speed_percent{100};
    time_point m_throttle_sent{};
    /** @brief When the start was sent; the report of an earlier status poll does not reflect it. */
    time_point m_sent{};
    /** @brief The start waits for the write of its place, see run_place.hpp. */
    bool m_held{false};
    /** @brief The worker has reported the run or accepted its start. */
    bool m_confirmed{false};
    /** @brief This decider did not start the run, or has no record of it; a worker reported it. */
    bool m_adopted{false};
    /** @brief Fencing token in the start; meaningful once the start was sent. */
    fencing_token m_token;
    /** @brief Lease in the start, on the worker's clock, after which the worker refuses the start; 0 if it was not
     * sent.
     */
    std::int64_t m_start_until_ms{0};
    /** @brief When the response to the start was found missing: the run may exist, or may still be started. */
    std::optional<time_point> m_no_response_since;
    bool m_stop_requested{false};
    /** @brief A command for the VM is about to end the run. */
    bool m_ending{false};
    /** @brief When the last stop was sent. */
    time_point m_stop_sent{};
    /** @brief When a stop was first accepted: a run that is missing in a later status poll will never run. */
    std::optional<time_point> m_stop_accepted;
};

/** @brief A run that may have crashed its worker. */
struct lost_run {
    task_ref m_task;
    run_number m_run;
    /** @brief The worker has reported the run or accepted its start. */
    bool m_confirmed{false};
    /** @brief The run was in a trial. */
    bool m_in_trial{false};
    /** @brief The run did not crash its worker at once. */
    bool m_survived{false};
};

/** @brief A start of a task that may crash its worker. Until the task is proven sound or has ended, the worker gets no
 * other new work. */
struct task_trial {
    task_ref m_task;
    worker_index m_worker{no_worker};
    stored_trial m_stored;
    /** @brief The trial is in the store, so that a successor can see its outcome. */
    bool m_is_stored{false};
    bool m_started{false};
};

/** @brief A trial that the last decider may have started. */
struct recovered_trial {
    task_ref m_task;
    stored_trial m_stored;
};

/** @brief An end that a worker has reported, and that must not be acknowledged before the store holds its effect. */
struct unstored_end {
    std::int64_t m_number{0};
    job_id m_job;
    /** @brief Number of the job's changes when the end had been applied. */
    std::int64_t m_changes{0};
};

/** @brief A worker in the scheduler's table. Its index is never reused. */
struct worker_slot {
    worker_entry m_entry;
    /** @brief False after the entry left the registry. */
    bool m_registered{true};
    /** @brief Whether the worker is in m_current_workers of the state. */
    bool m_current{false};
    /** @brief The worker has reported in this term of the decider. */
    bool m_has_reported{false};
    time_point m_last_report{};
    /** @brief The last renewal had no response. Its lease counts as granted, but no longer lease is granted until the
     * next response. */
    bool m_unresponsive{false};
    /** @brief Since when a scheduling pass has found the worker unresponsive. */
    std::optional<time_point> m_silent_since;
    /** @brief The worker gets no new work, as its VM is about to be maintained or moved. */
    bool m_cordoned{false};
    std::int64_t m_incarnation_start_unix_ms{0};
    /** @brief Token of calls to the current incarnation if it is above that of the term, see fence_of(). */
    fencing_token m_fence;
    /** @brief Start of the incarnation for which the token was last raised. */
    std::int64_t m_fenced_incarnation_unix_ms{0};
    /** @brief The token cannot be raised before the next write of the term. Until then, the worker gets no new work. */
    bool m_awaits_fence{false};
    /** @brief Last reading of the worker's clock, and the latest local time at which it can have been taken. */
    std::int64_t m_clock_ms{0};
    time_point m_clock_read{};
    /** @brief Latest end of a lease that was sent, on the worker's clock; 0 if there is none. */
    std::int64_t m_lease_until_ms{0};
    /** @brief Latest end of a lease that an earlier decider can have granted, on the worker's clock; 0 if there is
     * none. It is never sent: an earlier decider may have been allowed to grant a longer lease than this one. */
    std::int64_t m_inherited_until_ms{0};
    /** @brief Latest end of a lease in a call to an earlier incarnation that this one can have taken on, on its own
     * clock; 0 if there is none. It is never sent. */
    std::int64_t m_stale_until_ms{0};
    /** @brief Latest end of a lease in any call that may still reach the worker, whichever incarnation's clock it was
     * meant for; nothing if an earlier decider may have called an incarnation that this one has not heard. */
    std::optional<std::int64_t> m_sent_until_ms;
    /** @brief The incarnation may still carry out calls that were meant for an earlier one, see open_to_stale_leases().
     * It gets no new work until it has reported its runs in response to a call with its raised token. */
    bool m_takes_stale_leases{false};
    /** @brief When a restart was detected by the clock in a response, see detect_restart(). */
    time_point m_restart_detected{};
    /** @brief The end of the stale lease is final, as the worker has answered a call with its raised token. */
    bool m_stale_lease_bounded{false};
    /** @brief The worker is in the stored list of workers with leases, for which the next decider waits. */
    bool m_lease_listed{false};
    /** @brief The stored list may give this end of its lease, as the worker did not respond when it was written. A
     * successor would not wait for a longer lease. */
    std::optional<time_point> m_listed_end;
    /** @brief A write in progress gives that end. */
    bool m_end_being_listed{false};
    /** @brief The stored list of restarted workers names the worker, for whose stale lease the next decider waits. */
    bool m_restart_listed{false};
    /** @brief A write in progress names the worker in that list. */
    bool m_restart_being_listed{false};
    /** @brief Highest number of an ended run that has been applied to the progress of its job. */
    std::int64_t m_last_end{0};
    /** @brief Highest number of an ended run whose effect is stored. */
    std::int64_t m_acknowledged_end{0};
    /** @brief Highest number of an ended run that the worker has forgotten, as its response to the acknowledgement
     * shows. */
    std::int64_t m_confirmed_end{0};
    /** @brief Applied ends whose effect may not be stored, in the order of their numbers. */
    std::deque<unstored_end> m_unstored_ends;
    resources m_used;
    std::vector<placed_run> m_runs;
    /** @brief Runs that may have crashed the worker, which has been lost for a cause not known yet. */
    std::vector<lost_run> m_lost_runs;
    /** @brief Requested speed of best-effort tasks on this worker, in percent. */
    std::int64_t m_best_effort_speed_percent{100};
    time_point m_speed_changed{};
    /** @brief Work that failed on the worker since a run was last good there: single tasks, or whole steps with an
     * index below 0. */
    std::vector<task_ref> m_failed_work;
    time_point m_paused_until{};
    /** @brief Duration of the last pause for failures; 0 if a run was good since. */
    milliseconds m_pause{0};
};

/** @brief Command to start a run. */
struct start_command {
    worker_index m_worker{no_worker};
    task_ref m_task;
    run_number m_run;
    std::string m_checkpoint;
    std::string m_permit;
    /** @brief When the start was decided. */
    time_point m_decided{};
};

/** @brief Request to the permit service. */
struct permit_request {
    /** @brief Identifies the step; the index is ignored. */
    task_ref m_step;
    /** @brief Workers to decide about, each with the start of its incarnation in Unix milliseconds. */
    std::vector<std::pair<worker_index, std::int64_t>> m_workers;
};

/** @brief Kind of an event of a run, for the log. */
enum class run_event_kind : std::uint8_t {
    failed,
    lost,
    worker_paused,
    /** @brief The worker crashed under the run. */
    crashed,
    /** @brief The worker was lost for an unknown cause, which may be the run. */
    suspected,
    /** @brief The task is no longer a suspect. */
    cleared,
    /** @brief The job failed, as the task crashes its workers. */
    given_up,
};

/** @brief Why a run without a reported end counts as ended. */
enum class lost_cause : std::uint8_t {
    lease_over,
    missing_in_report,
    new_incarnation,
    vm_command,
    start_not_accepted,
    /** @brief The worker refuses the late start, as it has received a higher fencing token. */
    start_fenced,
};

/** @brief The calls that bound the time for which a worker may run what it holds. */
enum class lease_source : std::uint8_t {
    /** @brief No lease is known. */
    none,
    /** @brief Calls of this decider to the incarnation. */
    granted,
    /** @brief Calls of earlier deciders to the incarnation. */
    inherited,
    /** @brief Calls to an earlier incarnation, by its clock. */
    stale,
};

/** @brief What is known of the lease of a worker, on the worker's clock. */
struct known_lease {
    lease_source m_source{lease_source::none};
    std::int64_t m_until_ms{0};
    /** @brief Last reading of the clock. */
    std::int64_t m_clock_ms{0};
    /** @brief Start of the incarnation whose clock it is, in Unix milliseconds; 0 if not known. */
    std::int64_t m_incarnation_start_unix_ms{0};
};

/** @brief A lease that this decider has not granted, for the log. */
struct lease_event {
    worker_index m_worker{no_worker};
    known_lease m_lease;
    /** @brief Token of the call from whose response the lease was inferred. */
    fencing_token m_token;
};

/** @brief An event of a run. */
struct run_event {
    run_event_kind m_kind{run_event_kind::failed};
    worker_index m_worker{no_worker};
    task_ref m_task;
    run_number m_run;
    std::int64_t m_failures{0};
    /** @brief Set for lost runs only, as are the next members. */
    lost_cause m_cause{lost_cause::lease_over};
    bool m_adopted{false};
    /** @brief Result of lease_end() and time of the worker's last report, before the run was abandoned. */
    time_point m_lease_end{};
    time_point m_last_report{};
    known_lease m_lease;
};

/** @brief Command to stop a run. */
struct stop_command {
    worker_index m_worker{no_worker};
    task_ref m_task;
    run_number m_run;
};

/**
 * @brief State of the decider, built from the store and from the workers' reports.
 * @note Thread safety: one thread at a time.
 */
struct scheduler_state {
    scheduler_settings m_settings;
    fencing_token m_token;
    /** @brief No worker is called with a higher token, see record_term_write(). */
    fencing_token m_fence_limit;
    time_point m_began{};
    /** @brief When this decider learned that its term is stored, if known. No earlier decider renews its term after it;
     * the jobs are read between this time and m_began. */
    std::optional<time_point> m_elected;
    /** @brief A time before the term was stored, as late as is known. */
    std::optional<time_point> m_candidate_since;
    /** @brief An earlier decider may have called workers. */
    bool m_has_predecessor{true};
    /** @brief No granted lease ends after this time. */
    time_point m_grant_limit{};
    /** @brief Until this time no other decider can have begun its term. Afterwards another one may renew the leases of
     * workers that are unresponsive here, so that their runs cannot be assumed to have ended. */
    time_point m_term_guaranteed_until{};
    /** @brief All jobs and cancels stored before this time have been applied. */
    time_point m_jobs_current_at{};
    /** @brief All entries of workers stored before this time have been applied. */
    time_point m_workers_current_at{};
    /** @brief Workers that may have leases of earlier terms, and have not reported yet. */
    std::set<worker_id> m_expected_workers;
    /** @brief VMs of workers in m_expected_workers, as far as they are stored. */
    std::map<worker_id, vm_id> m_expected_vms;
    /** @brief Last known incarnations of workers in m_expected_workers, by their start in Unix milliseconds, as far as
     * they are stored. */
    std::map<worker_id, std::int64_t> m_expected_incarnations;
    /** @brief What is stored about the ends of the leases of workers that are or were in m_expected_workers. Others
     * have leases that their last decider renewed, and no stale ones if m_lease_bounds_known. */
    std::map<worker_id, expected_lease> m_expected_leases;
    /** @brief The last decider has stored the ends of leases that it knew. */
    bool m_lease_bounds_known{false};
    /** @brief All deciders since the term with this token have stored the places of long-running tasks. */
    fencing_token m_places_since;
    /** @brief Workers in m_expected_workers that were registered with an incarnation which no earlier decider has
     * called. */
    std::set<worker_id> m_expected_unheard;
    /** @brief A write of the list has begun, and has not succeeded since. */
    bool m_lease_list_pending{false};
    /** @brief The stored list of workers with leases may name workers of m_expected_workers. */
    bool m_expected_listed{false};
    std::unordered_map<job_id, std::unique_ptr<job_entry>> m_jobs;
    /** @brief Cancellations of jobs that are not known, and when each was read. */
    std::map<job_id, time_point> m_early_cancels;
    /** @brief Jobs that are not in a final state, by service. */
    std::map<service_id, std::vector<job_entry*>> m_active;
    std::vector<worker_slot> m_workers;
    std::unordered_map<worker_id, worker_index> m_worker_by_id;
    /** @brief Workers that are registered, may hold runs, or have not reported yet. The table keeps all workers of the
     * term, and with each move of a VM it gets another one. */
    std::vector<worker_index> m_current_workers;
    /** @brief Jobs whose progress differs from the store. */
    std::vector<job_entry*> m_dirty;
    /** @brief Learned run times of the tasks of each queue. */
    std::map<queue_id, duration_estimate> m_run_times;
    /** @brief By queue, how much longer a step takes from its last start to its end than the expected run time of its
     * tasks: the slowest task decides, and start and report take their time. */
    std::map<queue_id, duration_estimate> m_step_overruns;
    /** @brief Time from the decision to open a step to its first start. */
    duration_estimate m_opening_time;
    /** @brief Time from the end of a job to its stored final state. */
    duration_estimate m_storing_time;
    std::vector<task_trial> m_trials;
    std::vector<recovered_trial> m_recovered_trials;
    /** @brief Workers on which the last decider may have started trials, also those that are resolved. */
    std::set<worker_id> m_recovered_trial_workers;
    std::vector<start_command> m_starts;
    /** @brief Starts that wait for the writes of their places. */
    std::vector<start_command> m_held_starts;
    std::vector<stop_command> m_stops;
    /** @brief Workers that have restarted and are to be told their new token. */
    std::vector<worker_index> m_fence_announcements;
    /** @brief Queues whose steps need permits. */
    std::set<queue_id> m_permit_queues;
    std::vector<permit_request> m_permit_requests;
    /** @brief Events to be logged. */
    std::vector<run_event> m_events;
    std::vector<lease_event> m_lease_events;
    /** @brief A change may allow a task to start. */
    bool m_dispatch_requested{false};
    /** @brief This decider has lost its term: for example, a worker rejected its fencing token. */
    bool m_deposed{false};
};

/** @brief Finds a task's state. @return The state, or null if the job or the task is unknown. */
[[nodiscard]] auto find_task(scheduler_state& state, const task_ref& task) -> task_state*;

/** @brief Finds the step of a task. @return The step, or null if its occurrence is not open or has no such step. */
[[nodiscard]] auto find_step(const job_entry& job, const task_ref& task) -> const step_state*;
[[nodiscard]] auto find_step(job_entry& job, const task_ref& task) -> step_state*;

/** @brief Finds a worker's index in the table. @return The index, or no_worker if the id is unknown. */
[[nodiscard]] auto find_worker(const scheduler_state& state, const worker_id& id) -> worker_index;

/** @brief Uncordons a worker, which then accepts new work again. An unknown id is ignored. */
auto release_worker(scheduler_state& state, const worker_id& id) -> void;

/** @brief Finds a job by its id. @return The job, or null. */
[[nodiscard]] auto find_job(const scheduler_state& state, const job_id& id) -> job_entry*;

/** @brief Returns the step of a task. @pre The task exists in the job. */
[[nodiscard]] auto step_of(const job_entry& job, const task_ref& task) -> const step_spec&;

/** @brief Returns the capacity that is reserved for a task of a step. */
[[nodiscard]] auto reserved_demand(const step_spec& step) -> resources;

/** @brief Checks whether a worker has the label that a step requires. */
[[nodiscard]] auto has_required_label(const step_spec& step, const worker_slot& worker) -> bool;

[[nodiscard]] constexpr auto is_final(const job_state state) noexcept -> bool
{
    return state == job_state::completed || state == job_state::failed || state == job_state::cancelled;
}

} // namespace cicadalug

#endif
