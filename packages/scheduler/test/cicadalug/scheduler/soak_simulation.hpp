#ifndef CICADALUG_SCHEDULER_TEST_SOAK_SIMULATION_HPP
#define CICADALUG_SCHEDULER_TEST_SOAK_SIMULATION_HPP

#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/vm_list.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cicadalug::test {

/** @brief A run on a simulated worker. */
struct soak_run {
    task_ref m_task;
    run_number m_run;
    resources m_demand;
    time_point m_begin{};
    /** @brief When the run ends by itself. */
    time_point m_end{};
    bool m_long_running{false};
    bool m_fails{false};
};

/** @brief A worker process and its VM, as the platform sees them. */
struct soak_worker {
    /** @brief What the worker writes to the registry. */
    worker_entry m_entry;
    bool m_alive{true};
    bool m_reaches_decider{true};
    bool m_reaches_store{true};
    bool m_answers_commands{true};
    bool m_fails_all{false};
    /** @brief Incarnations so far; commands that were sent to an earlier one may reach a later one. */
    std::int64_t m_incarnation{1};
    time_point m_started{};
    /** @brief Rate of the worker's clock. */
    std::int64_t m_clock_permille{1'000};
    fencing_token m_token;
    std::int64_t m_lease_until_ms{0};
    std::vector<soak_run> m_runs;
    std::vector<ended_report> m_ended;
    std::int64_t m_end_count{0};
    /** @brief Highest run of each task that was stopped or ended here. */
    std::map<task_ref, run_number> m_highest_ended;
    time_point m_last_heartbeat{};
    time_point m_next_heartbeat{};
};

/** @brief A job of a client. */
struct soak_job {
    job_record m_record;
    std::optional<job_progress> m_progress;
    bool m_cancelled{false};
    time_point m_submitted{};
};

/**
 * @brief Simulates workers, the registry, the store and a decider in virtual time: calls in flight, leases on the
 * workers' own clocks, fencing, expiry of entries, takeovers. The simulation is deterministic: the same seed and calls
 * replay the same events.
 */
class soak_simulation {
public:
    explicit soak_simulation(std::uint64_t seed);

    auto add_vm(const std::string& pool, const std::string& rack) -> worker_id;
    auto submit(job_record record) -> job_id;
    auto cancel(const job_id& id) -> void;
    /** @brief Advances the time by 10 ms. */
    auto step() -> void;

    /** @brief Ends the processes of a worker; its entry expires. */
    auto crash(const worker_id& id) -> void;
    /** @brief Starts a crashed worker again under its id. @param clock_offset Error of the clock that tells its start.
     */
    auto restart(const worker_id& id, milliseconds clock_offset, milliseconds entry_delay) -> void;
    /** @brief Starts a worker with another id on the VM of a crashed one. */
    auto replace(const worker_id& id) -> void;
    /** @brief Ends the decider; a successor begins its term after a delay. */
    auto take_over(milliseconds delay) -> void;

    [[nodiscard]] auto now() const -> time_point { return m_now; }
    [[nodiscard]] auto has_decider() const -> bool { return m_decider_up; }
    /** @brief Returns a number from 0 to below the limit. */
    [[nodiscard]] auto random(std::int64_t limit) -> std::int64_t;
    [[nodiscard]] auto random_time(std::int64_t least_ms, std::int64_t most_ms) -> milliseconds;
    auto schedule(time_point at, std::function<void()> event) -> void;
    [[nodiscard]] auto listed_vms() const -> std::vector<vm_status>;

    scheduler_state m_state;
    std::map<worker_id, soak_worker> m_workers;
    std::map<worker_id, worker_entry> m_registry;
    std::map<job_id, soak_job> m_jobs;
    /** @brief Jobs with long-running tasks. */
    std::vector<job_id> m_long_running;
    bool m_store_up{true};
    bool m_job_watch_up{true};
    bool m_worker_watch_up{true};
    /** @brief Mean time after which a long-running task fails by itself; 0 if none does. */
    milliseconds m_mean_time_to_failure{0};
    /** @brief Tasks that crash their workers, with the time from the start to the crash. */
    std::map<job_id, milliseconds> m_deadly;
    /** @brief Workers that deadly tasks have crashed since the last look. */
    std::vector<worker_id> m_crashed;

private:
    struct renewal {
        bool m_in_flight{false};
        bool m_lost{false};
        time_point m_sent{};
        /** @brief When the response is due or the call times out, if nothing ends before. */
        time_point m_due{};
        std::int64_t m_incarnation{0};
    };

    auto begin_term() -> void;
    auto update_registry() -> void;
    auto watch_store() -> void;
    auto advance_worker(const worker_id& id, soak_worker& worker) -> void;
    auto renew_leases() -> void;
    auto renew_lease(worker_index index) -> void;
    auto finish_renewal(worker_index index, renewal& call) -> void;
    auto send_starts() -> void;
    auto send_stops() -> void;
    auto write_progress() -> void;
    /** @brief Performs a command at a worker. Its result arrives after a while, or not at all. */
    auto perform(const worker_id& id, std::function<command_result(soak_worker&)> command,
                 std::function<void(command_result)> on_result) -> void;
    [[nodiscard]] auto execute_start(soak_worker& worker, const start_command& command, const job_record& record,
                                     fencing_token token, std::int64_t lease_until_ms) -> command_result;
    [[nodiscard]] auto execute_stop(soak_worker& worker, const stop_command& command, fencing_token token)
        -> command_result;
    auto end_run(soak_worker& worker, std::size_t position, run_end outcome) -> void;
    [[nodiscard]] auto clock_of(const soak_worker& worker) const -> std::int64_t;
    [[nodiscard]] auto clock() const -> clock_reading;

    std::mt19937_64 m_random;
    time_point m_now{milliseconds{1'000'000}};
    std::multimap<time_point, std::function<void()>> m_events;
    bool m_decider_up{false};
    std::uint64_t m_term{0};
    time_point m_last_renewal{};
    std::map<worker_index, renewal> m_renewals;
    std::set<worker_id> m_changed_entries;
    std::set<job_id> m_new_jobs;
    std::set<job_id> m_new_cancels;
    std::set<worker_id> m_stored_leases;
    std::map<worker_id, vm_id> m_stored_vms;
    bool m_writing{false};
    time_point m_leases_listed_at{};
    std::int64_t m_next_worker{0};
    std::int64_t m_next_job{0};
};

} // namespace cicadalug::test

#endif
