#ifndef CICADALUG_ENTRY_DECIDER_HPP
#define CICADALUG_ENTRY_DECIDER_HPP

#include <cicadalug/adapter/permit_client.hpp>
#include <cicadalug/adapter/store_client.hpp>
#include <cicadalug/adapter/worker_client.hpp>
#include <cicadalug/entry/fleet_duty.hpp>
#include <cicadalug/entry/leadership.hpp>
#include <cicadalug/entry/signal_event.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/throttling.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Settings of a decider. */
struct decider_settings {
    scheduler_settings m_scheduler;
    maintenance_settings m_upkeep;
    move_settings m_moves;
    throttle_settings m_pace;
    /** @brief How long the final state of a job is kept. */
    milliseconds m_status_retention{120'000};
    /** @brief Returns the configuration in force, or null. */
    std::function<std::shared_ptr<const fleet_config>()> m_config;
    entry_vm_id m_self;
    /** @brief Interface to the VMs; port 0 if there is none. */
    tcp_endpoint m_fleet;
    /** @brief Service that permits placements; port 0 if there is none. */
    tcp_endpoint m_permits;
    /** @brief Time between the orders of two deciders for one VM. */
    milliseconds m_duty_interval{3'000};
    /** @brief Lease of the term in the store. */
    milliseconds m_term_lease{1'200};
};

/**
 * @brief Carries one term as the decider: loads jobs from the store, follows it, keeps the workers' leases, sends the
 * orders that the scheduler decides, and stores progress before ends are acknowledged.
 * @note Thread safety: all functions on the executor given to the constructor.
 */
class decider : public std::enable_shared_from_this<decider> {
public:
    /**
     * @brief Constructs a decider that does not run yet.
     * @param executor Runs the decider.
     * @param store The store; outlives the decider.
     * @param settings Settings.
     * @param term The term.
     * @param renewed Returns when the term's lease was last renewed.
     * @param deposed Called when another decider has shown itself.
     */
    decider(asio::any_io_executor executor, store_client& store, const decider_settings& settings,
            const decider_term& term, std::function<time_point()> renewed, std::function<void()> deposed);

    /** @brief Starts to take over. @pre Called once, on an object owned by a shared_ptr. */
    auto start() -> void;

    /** @brief Ends the term. Nothing is sent afterwards. */
    auto stop() -> void;

    /** @brief Checks whether all jobs have been loaded. */
    [[nodiscard]] auto is_loaded() const noexcept -> bool { return m_loaded; }

    /**
     * @brief Returns the state of a job as it may be shown to clients.
     * @return The state, or nothing if the job is not known (yet).
     */
    [[nodiscard]] auto shown_state(const job_id& id) const -> std::optional<job_state>;

    /** @brief Counts the jobs of a queue of which no task has started. @pre is_loaded(). */
    [[nodiscard]] auto pending(const queue_id& queue) const -> std::int64_t;

    /** @brief Writes all progress that is not stored, as far as the time allows. */
    [[nodiscard]] auto flush(milliseconds limit) -> asio::awaitable<void>;

private:
    [[nodiscard]] auto load(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto load_from_store() -> asio::awaitable<bool>;
    [[nodiscard]] auto load_log() -> asio::awaitable<bool>;
    [[nodiscard]] auto load_jobs(bool recovered) -> asio::awaitable<bool>;
    [[nodiscard]] auto load_workers() -> asio::awaitable<bool>;
    [[nodiscard]] auto follow_jobs(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto follow_workers(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto keep_worker(std::shared_ptr<decider> self, worker_index index) -> asio::awaitable<void>;
    [[nodiscard]] auto store_progress(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto write_round() -> asio::awaitable<bool>;
    [[nodiscard]] auto write_progress(const std::vector<job_entry*>& jobs, std::size_t first, std::size_t last)
        -> asio::awaitable<bool>;
    [[nodiscard]] auto tick(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto send_start(std::shared_ptr<decider> self, start_command order) -> asio::awaitable<void>;
    [[nodiscard]] auto send_stop(std::shared_ptr<decider> self, stop_command order) -> asio::awaitable<void>;
    [[nodiscard]] auto send_pace(std::shared_ptr<decider> self, throttle_command order) -> asio::awaitable<void>;
    [[nodiscard]] auto ask_permits(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto collect_garbage(std::shared_ptr<decider> self) -> asio::awaitable<void>;
    [[nodiscard]] auto run_pass_later(std::shared_ptr<decider> self) -> asio::awaitable<void>;

    auto apply_job_change(const std::string& key, const std::optional<std::string>& value, bool recovered) -> void;
    auto begin_fleet_duty() -> void;
    auto note_permit_queues() -> void;
    [[nodiscard]] auto log_value() const -> std::string;
    [[nodiscard]] auto read_log() -> asio::awaitable<bool>;
    auto apply_workers() -> void;
    auto note_worker_entry(const std::string& key, const std::optional<std::string>& value) -> void;
    auto run_pass() -> void;
    auto note_renewal() -> void;
    auto log_events() -> void;
    auto schedule_pass() -> void;
    auto check_deposed() -> void;
    [[nodiscard]] auto client_of(worker_index index) -> std::shared_ptr<worker_client>;

    asio::any_io_executor m_executor;
    store_client& m_store;
    decider_term m_term;
    decider_settings m_settings;
    std::function<time_point()> m_renewed;
    std::function<void()> m_deposed;
    std::shared_ptr<fleet_duty> m_fleet_duty;
    scheduler_state m_state;
    std::map<std::string, worker_entry> m_registry;
    std::vector<std::shared_ptr<worker_client>> m_clients;
    store_revision m_log_revision;
    store_revision m_jobs_seen;
    store_revision m_workers_seen;
    std::uint64_t m_log_number{0};
    signal_event m_progress_wanted;
    std::unique_ptr<permit_client> m_permit_client;
    std::deque<permit_request> m_permit_questions;
    int m_permit_askers{0};
    /** @brief Version of the configuration from which the queues that need permits were taken. */
    version m_permit_config;
    time_point m_log_window{};
    std::int64_t m_log_lines{0};
    bool m_loaded{false};
    bool m_active{true};
    bool m_pass_scheduled{false};
};

} // namespace cicadalug

#endif
