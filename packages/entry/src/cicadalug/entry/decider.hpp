#ifndef CICADALUG_ENTRY_DECIDER_HPP
#define CICADALUG_ENTRY_DECIDER_HPP

#include <cicadalug/adapter/permit_client.hpp>
#include <cicadalug/adapter/store_client.hpp>
#include <cicadalug/async/retry_backoff.hpp>
#include <cicadalug/entry/decider_election.hpp>
#include <cicadalug/entry/fleet_controller.hpp>
#include <cicadalug/entry/relay_sessions.hpp>
#include <cicadalug/entry/signal_event.hpp>
#include <cicadalug/entry/worker_calls.hpp>
#include <cicadalug/scheduler/class_times.hpp>
#include <cicadalug/scheduler/decider_load.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/log_budget.hpp>
#include <cicadalug/scheduler/paged_read.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/takeover.hpp>
#include <cicadalug/scheduler/throttling.hpp>
#include <cicadalug/telemetry/scheduler_metrics.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief Settings of a decider. */
struct decider_settings {
    scheduler_settings m_scheduler;
    maintenance_settings m_maintenance;
    move_settings m_moves;
    throttle_settings m_throttling;
    /** @brief How long the final state of a job is kept. */
    milliseconds m_status_retention{120'000};
    /** @brief Returns the configuration in force, or null. */
    std::function<std::shared_ptr<const fleet_config>()> m_config;
    entry_vm_id m_self;
    /** @brief CPU capacity of this entry VM, in cores. */
    double m_cores{1.0};
    /** @brief Address of the platform's interface to the VMs; port 0 if there is none. */
    tcp_endpoint m_fleet;
    /** @brief Address of the placement permit service; port 0 if there is none. */
    tcp_endpoint m_permits;
    /** @brief Minimum time between commands of two deciders for the same VM. */
    milliseconds m_handover_interval{3'000};
    /** @brief Duration of the store lease that holds the term. */
    milliseconds m_term_lease{1'200};
    /** @brief Metrics of the entry VM; not null. */
    std::shared_ptr<scheduler_metrics> m_metrics;
};

/**
 * @brief Runs one term as the decider: loads jobs from the store and watches it, renews the workers' leases, sends the
 * commands of the scheduler, and stores progress before it acknowledges the ends of runs.
 * @note Thread safety: all functions on the executor given to the constructor.
 */
class decider : public std::enable_shared_from_this<decider> {
public:
    /**
     * @brief Constructs a decider; start() runs it.
     * @param executor Runs the decider.
     * @param store Client of the store; must outlive the decider.
     * @param calls Sends the calls to workers that no relay carries out; must outlive the decider.
     * @param settings Settings.
     * @param term The term.
     * @param last_renewal Returns when the term's lease was last renewed.
     * @param on_deposed Called when another decider has been detected.
     */
    decider(asio::any_io_executor executor, store_client& store, worker_calls& calls, const decider_settings& settings,
            const decider_term& term, std::function<time_point()> last_renewal, std::function<void()> on_deposed);

    /** @brief Starts the takeover. @pre Called once, on an object owned by a shared_ptr. */
    auto start() -> void;

    /** @brief Ends the term. Nothing is sent afterwards. */
    auto stop() -> void;

    /** @brief Checks whether all jobs have been loaded. */
    [[nodiscard]] auto is_loaded() const noexcept -> bool { return m_loaded; }

    /**
     * @brief Returns the state of a job that clients may see.
     * @return The state, or nothing if the job is not known or not yet loaded.
     */
    [[nodiscard]] auto visible_state(const job_id& id) const -> std::optional<job_state>;

    /**
     * @brief Counts the jobs of a queue that have started no task.
     * @pre is_loaded().
     * @return The number, or nothing while the copy of the stored jobs is too old to count them.
     */
    [[nodiscard]] auto pending(const queue_id& queue) const -> std::optional<std::int64_t>;

    /** @brief Handles a request of a relay. @return False if the request is none. */
    [[nodiscard]] auto handle_relay(http_exchange& exchange) -> asio::awaitable<bool>;

    /** @brief Writes the progress that is not stored yet, until all is stored or the time limit is reached. */
    [[nodiscard]] auto flush(milliseconds limit) -> asio::awaitable<void>;

private:
    /** @brief Jobs of a write, from the first position to before the last one. */
    struct job_range {
        std::size_t m_first{0};
        std::size_t m_last{0};
    };

    /** @brief Runs a coroutine of the term; the term ends if it fails. @param name Has to outlive the coroutine. */
    auto run_in_term(asio::awaitable<void> coroutine, std::string_view name) -> void;
    [[nodiscard]] auto load(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    /** @brief Does the current step of the takeover. @return False if it failed. */
    [[nodiscard]] auto do_takeover_step() -> asio::awaitable<bool>;
    [[nodiscard]] auto report_slow_takeover(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto begin_decision_log() -> asio::awaitable<bool>;
    /** @brief Reads the missing pages of a prefix. @return True if the pages are complete. */
    [[nodiscard]] auto read_pages(std::string_view prefix, paged_read& read) -> asio::awaitable<bool>;
    /** @brief Applies the pages of jobs and of their progress. */
    auto apply_stored_jobs(bool recovered) -> void;
    /** @brief Reads all jobs again, after the history of their changes was compacted. */
    [[nodiscard]] auto reload_jobs() -> asio::awaitable<bool>;
    /** @brief After a failure, waits before the next attempt to read the missing pages, which has longer time limits.
     */
    [[nodiscard]] auto pause_after_reload(bool reloaded) -> asio::awaitable<void>;
    [[nodiscard]] auto load_workers() -> asio::awaitable<bool>;
    [[nodiscard]] auto watch_jobs(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto watch_workers(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    /** @brief Tells a restarted worker its token, which makes it refuse calls to its earlier incarnations. */
    [[nodiscard]] auto announce_fence(std::shared_ptr<decider> self, worker_index index) -> asio::awaitable<void>;
    [[nodiscard]] auto renew_worker_lease(std::shared_ptr<decider> self, worker_index index) -> asio::awaitable<void>;
    [[nodiscard]] auto store_progress(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto write_dirty_jobs() -> asio::awaitable<bool>;
    /** @brief Writes the progress of jobs in one write, or in several if the store refuses some of the jobs. */
    [[nodiscard]] auto write_jobs(std::vector<job_entry*> jobs) -> asio::awaitable<bool>;
    /** @brief Sorts jobs for their writes: those whose progress may take several values are each written alone. */
    [[nodiscard]] auto ranges_of(std::vector<job_entry*>& jobs) const -> std::vector<job_range>;
    /** @brief Adds the progress of a job to a write. */
    auto put_progress(store_write& write, job_entry& job, const job_progress& progress) const -> void;
    /** @brief Writes the progress of the jobs from position `first` to before `last`, and the list of leased workers if
     * that is due. */
    [[nodiscard]] auto write_progress(const std::vector<job_entry*>& jobs, std::size_t first, std::size_t last)
        -> asio::awaitable<store_status>;
    /** @brief Writes the jobs again that have been set aside, each alone. */
    [[nodiscard]] auto retry_refused_jobs() -> asio::awaitable<void>;
    [[nodiscard]] auto tick(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto send_start(std::shared_ptr<decider> self, start_command command) -> asio::awaitable<void>;
    [[nodiscard]] auto send_stop(std::shared_ptr<decider> self, stop_command command) -> asio::awaitable<void>;
    [[nodiscard]] auto send_throttle(std::shared_ptr<decider> self, throttle_command command) -> asio::awaitable<void>;
    [[nodiscard]] auto send_permit_requests(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto collect_garbage(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto observe_load(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto run_pass_later(std::shared_ptr<decider> self) -> asio::awaitable<void>;

    auto apply_job_change(const std::string& key, const std::optional<std::string>& value, bool recovered) -> void;
    auto apply_cancel(const job_id& id, std::string_view value, const clock_reading& clock) -> void;
    /** @brief Records that all changes of jobs stored before a time, if one is proven, have been applied. */
    auto record_jobs_read(std::optional<time_point> proven) -> void;
    /** @brief Records that all changes of workers stored before a time, if one is proven, have been applied. */
    auto record_workers_read(std::optional<time_point> proven) -> void;
    auto log_load() -> void;
    /** @brief Logs the long-running tasks that have been waiting for long, with the causes. */
    auto log_long_waits(time_point now) -> void;
    auto log_suspension(time_point now) -> void;
    auto log_start(const start_command& command, const job_entry& job) -> void;
    auto log_dropped_lines(time_point now) -> void;
    /** @brief Records the end of a job whose final state has been stored, and logs where its time went if it is late.
     */
    auto record_job_end(const job_entry& job, time_point stored) -> void;
    /** @brief Logs and exports where the time of the jobs went that ended since the last call, by queue. */
    auto log_class_times(time_point now) -> void;
    auto start_fleet_controller() -> void;
    auto update_permit_queues() -> void;
    [[nodiscard]] auto decision_log_value(bool lease_list_complete) const -> std::string;
    /** @brief Returns the ids to be written for workers with leases. */
    [[nodiscard]] auto leased_workers_value(const std::vector<worker_index>& leased) const -> std::string;
    /** @brief Returns the ids to be written for restarted workers. */
    [[nodiscard]] auto restarted_workers_value(const std::vector<worker_index>& leased) const -> std::string;
    /** @brief Checks whether the age of the term has to be written. */
    [[nodiscard]] auto is_term_age_due(time_point now) const -> bool;
    /** @brief Reads what the last decider has stored about the ends of leases. @param listed Revision of its list of
     * leased workers. @return False if the store could not be read. */
    [[nodiscard]] auto read_lease_bounds(store_revision listed) -> asio::awaitable<bool>;
    /** @brief Returns the incarnations to be written for workers with leases. */
    [[nodiscard]] auto leased_worker_incarnations_value(const std::vector<worker_index>& leased) const -> std::string;
    /** @brief Returns the VMs to be written for workers with leases. */
    [[nodiscard]] auto leased_worker_vms_value(const std::vector<worker_index>& leased) const -> std::string;
    /** @brief Keeps a job whose progress the store refuses out of the writes of others. */
    auto set_aside(job_entry& job) -> void;
    /** @brief Checks whether the list of leased workers has to be written again. */
    [[nodiscard]] auto is_lease_list_due(time_point now) const -> bool;
    [[nodiscard]] auto read_decision_log() -> asio::awaitable<bool>;
    auto apply_workers() -> void;
    /** @brief Applies an entry of the registry to the copy of it. */
    auto apply_worker_entry(const std::string& key, const std::optional<std::string>& value) -> void;
    /** @brief Applies a changed entry to the copy of the registry and to the table of workers. */
    auto apply_worker_change(const std::string& key, const std::optional<std::string>& value) -> void;
    auto run_pass() -> void;
    auto log_events() -> void;
    /** @brief Logs the leases that this decider has not granted. */
    auto log_leases() -> void;
    auto schedule_pass() -> void;
    auto check_deposed() -> void;
    /** @brief Returns a call to a worker; its kind's own members are set by the caller. */
    [[nodiscard]] auto make_call(worker_index index, worker_call_kind kind, milliseconds timeout) const -> worker_call;
    /** @brief Carries out a call, through a relay if the deployment needs them and one is there. */
    /** @param may_send Called right before this process writes the request, which it prevents with false; may be null.
     */
    [[nodiscard]] auto call_worker(worker_index index, worker_call call, std::function<bool()> may_send)
        -> asio::awaitable<worker_call_result>;
    /** @brief Checks whether calls wait for the first relay of this term. */
    [[nodiscard]] auto awaits_relays() const -> bool;
    auto update_relay_admission() -> void;
    auto start_renewals() -> void;

    asio::any_io_executor m_executor;
    store_client& m_store;
    worker_calls& m_calls;
    decider_term m_term;
    decider_settings m_settings;
    std::function<time_point()> m_last_renewal;
    std::function<void()> m_on_deposed;
    std::shared_ptr<fleet_controller> m_fleet_controller;
    scheduler_state m_state;
    std::map<std::string, worker_entry> m_registry;
    /** @brief Findings of the registry's unusable entries that have been logged, by key. */
    std::map<std::string, std::string> m_unusable_entries;
    std::shared_ptr<relay_sessions> m_relays;
    bool m_uses_relays{false};
    /** @brief When the first relays are waited for at most. */
    time_point m_relays_awaited_until{};
    /** @brief Whether the lease of each worker is being renewed. */
    std::vector<bool> m_renewing;
    store_revision m_decision_log_revision;
    store_revision m_jobs_revision;
    store_revision m_workers_revision;
    std::uint64_t m_decision_log_sequence{0};
    /** @brief The stored list names all workers that may hold runs. */
    bool m_lease_list_complete{false};
    /** @brief When the list of leased workers was last written. */
    time_point m_leases_listed_at{};
    /** @brief The stored list gives ends of leases, which the age of the term dates. */
    bool m_ends_stored{false};
    time_point m_age_written_at{};
    /** @brief When the VMs of leased workers were last written. */
    time_point m_vms_listed_at{};
    /** @brief The stored list of their VMs may lack some. */
    bool m_vms_unlisted{false};
    /** @brief Dirty jobs whose progress the store refuses, which m_dirty of the state does not list. */
    std::vector<job_entry*> m_refused_jobs;
    time_point m_refused_retried_at{};
    signal_event m_progress_event;
    std::unique_ptr<permit_client> m_permit_client;
    std::deque<permit_request> m_pending_permit_requests;
    int m_permit_requests_in_flight{0};
    /** @brief Version of the configuration from which the queues that need permits were read. */
    version m_permit_config;
    log_budget m_run_log_budget;
    decider_load m_load;
    std::map<queue_id, class_times> m_class_times;
    takeover m_takeover;
    retry_backoff m_load_backoff;
    /** @brief Pages that have been read, but not applied as others are missing. */
    paged_read m_job_pages;
    /** @brief Jobs are read again; until that ends, none is removed from the store. */
    bool m_reloading_jobs{false};
    /** @brief A write that removes jobs from the store is in progress. */
    bool m_removing_jobs{false};
    paged_read m_progress_pages;
    paged_read m_worker_pages;
    bool m_loaded{false};
    bool m_active{true};
    bool m_pass_scheduled{false};
    /** @brief Nothing starts, as a copy is too old or the term may have ended. */
    bool m_starts_suspended{false};
    /** @brief Pause between the last scheduling pass and the next one. */
    microseconds m_pass_pause{0};
};

} // namespace cicadalug

#endif
