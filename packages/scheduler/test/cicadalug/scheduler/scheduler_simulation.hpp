#ifndef CICADALUG_SCHEDULER_TEST_SCHEDULER_SIMULATION_HPP
#define CICADALUG_SCHEDULER_TEST_SCHEDULER_SIMULATION_HPP

#include <cicadalug/scheduler/demand.hpp>
#include <cicadalug/scheduler/dispatch.hpp>
#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/leased_workers.hpp>
#include <cicadalug/scheduler/maintenance.hpp>
#include <cicadalug/scheduler/moves.hpp>
#include <cicadalug/scheduler/permits.hpp>
#include <cicadalug/scheduler/reports.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/worker_lease.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadalug::test {

/** @brief A simulated worker, which executes commands in virtual time. */
struct simulated_worker {
    struct run {
        task_ref m_task;
        run_number m_run;
        time_point m_begin{};
        time_point m_end{};
        bool m_long_running{false};
    };
    std::vector<run> m_runs;
    std::vector<ended_report> m_ended;
    std::int64_t m_end_count{0};
    bool m_reachable{true};
    bool m_fails_all{false};
    bool m_alive{true};
    std::int64_t m_incarnation{1};
};

/**
 * @brief Simulates workers, arrivals of jobs and moves of VMs around the scheduler in virtual time, without a network.
 * The simulation is deterministic: the same calls replay the same load pattern.
 */
class scheduler_simulation {
public:
    scheduler_simulation();

    /** @brief Adds the VMs of a pool, disables moves, and lets 50 ms pass, in which their workers report. */
    auto begin_with(const std::string& pool, std::size_t count) -> void;
    /** @brief Adds VMs with one worker each. */
    auto add_vms(const std::string& pool, std::size_t count) -> void;
    /** @brief Adds VMs that are off. */
    auto add_standby(const std::string& pool, std::size_t count) -> void;
    /** @brief Submits a job that arrives now. @return Its id. */
    auto submit(job_record record) -> job_id;
    /** @brief Advances the time in steps of 10 ms. */
    auto run_for(milliseconds time) -> void;
    /** @brief Changes the CPU capacity that a worker states in the registry. */
    auto set_capacity(const worker_id& id, std::int64_t cpu) -> void;
    /** @brief Ends all runs of a worker as failed. */
    auto fail_runs(const worker_id& id) -> void;
    /** @brief Ends all runs of long-running tasks as failed. */
    auto fail_long_running() -> void;
    /** @brief Crashes a worker. It restarts after m_restart_time. */
    auto crash(const worker_id& id) -> void;
    /** @brief Removes a worker and its VM for good. */
    auto lose(const worker_id& id) -> void;
    /** @brief Writes the lists of workers with leases. */
    auto list_leases() -> void;
    /** @brief Runs a scheduling pass, stores what it has changed of a job, and runs another one. */
    auto dispatch_and_store(const job_id& id) -> void;
    /** @brief Lets time pass without a decider. */
    auto stop_decider(milliseconds time) -> void;
    /** @brief Replaces the decider by a new one that has only the stored state and the workers' reports. */
    auto take_over() -> void;

    [[nodiscard]] auto now() const -> time_point { return m_now; }
    /** @brief Returns the list of VMs as the platform would report it now. */
    [[nodiscard]] auto listed_vms() const -> vm_list;
    [[nodiscard]] auto clock() const -> clock_reading;
    [[nodiscard]] auto in_time_share() const -> double;
    [[nodiscard]] auto worker(const std::string& id) -> simulated_worker& { return m_workers[worker_id{id}]; }
    [[nodiscard]] auto worker_ids() const -> std::vector<worker_id>;
    /** @brief Returns the number of starts of a task on all workers so far. */
    [[nodiscard]] auto starts_of(const task_ref& task) const -> std::int64_t;
    [[nodiscard]] auto total_starts() const -> std::int64_t;
    /** @brief Returns the state of a job as it is stored. */
    [[nodiscard]] auto stored_state(const job_id& id) const -> job_state;

    scheduler_state m_state;
    demand_state m_demand;
    move_settings m_move_settings;
    maintenance_settings m_maintenance_settings;
    move_state m_moves;
    std::vector<vm_status> m_vms;
    std::set<service_id> m_standby;
    bool m_moves_enabled{true};
    /** @brief If false, progress is not stored and ended runs are not acknowledged. */
    bool m_store_up{true};
    /** @brief If false, the decider hears of no change of jobs. */
    bool m_job_watch_up{true};
    /** @brief If false, the decider hears of no change of workers. */
    bool m_worker_watch_up{true};
    /** @brief If false, the lease of the term is not renewed. */
    bool m_term_renewed{true};
    milliseconds m_term_lease{1'000};
    /** @brief Time from the decision to start a task until its worker begins and responds. */
    milliseconds m_start_delay{0};
    /** @brief Age of the workers' incarnations when they report. */
    milliseconds m_worker_age{3'600'000};
    /** @brief Interval between two reports of a worker. */
    milliseconds m_report_interval{10};
    /** @brief Interval between two writes of progress. */
    milliseconds m_store_interval{10};
    /** @brief Run times differ from the estimates by up to this share of them. */
    double m_run_time_spread{0.0};
    std::int64_t m_move_count{0};
    /** @brief Workers on which the permit service allows steps to run, and how long its permits are valid. */
    std::set<worker_id> m_permitted;
    milliseconds m_permit_validity{3'000};
    bool m_permit_service_up{true};
    std::int64_t m_permit_request_count{0};
    std::int64_t m_rejected_starts{0};
    /** @brief Tasks that crash each worker that starts them. */
    std::set<task_ref> m_deadly;
    /** @brief Time from the start of a deadly task to the crash of its worker. */
    milliseconds m_crash_delay{0};
    std::int64_t m_crash_count{0};
    milliseconds m_restart_time{3'000};
    /** @brief A restarted worker keeps its id, else it gets another one on the same VM. */
    bool m_restart_keeps_id{false};

private:
    auto step() -> void;
    auto report(const worker_id& id, simulated_worker& worker) -> void;
    auto execute_commands() -> void;
    auto execute_start(const start_command& command) -> void;
    /** @brief Returns how long a run of a step takes. */
    [[nodiscard]] auto run_time(const step_spec& spec) -> microseconds;
    auto handle_permit_requests() -> void;
    auto store() -> void;
    auto finish_moves() -> void;
    auto apply_registry_now() -> void;
    auto crash_workers() -> void;
    auto restart_workers() -> void;

    struct stored_job {
        job_record m_record;
        std::optional<job_progress> m_progress;
    };

    time_point m_now{milliseconds{1'000'000}};
    time_point m_last_renewal{};
    std::map<worker_id, simulated_worker> m_workers;
    std::map<worker_id, worker_entry> m_registry;
    std::map<vm_id, std::pair<service_id, time_point>> m_moving_vms;
    std::multimap<time_point, worker_id> m_crashes;
    std::map<worker_id, time_point> m_restarts;
    std::map<job_id, stored_job> m_store;
    /** @brief The stored list of workers with leases. */
    std::set<worker_id> m_stored_leases;
    std::map<worker_id, vm_id> m_stored_vms;
    /** @brief The stored ends of leases, and the election after which they are counted. */
    std::string m_stored_bounds;
    time_point m_bounds_elected{};
    std::map<worker_id, std::int64_t> m_stored_incarnations;
    std::map<job_id, time_point> m_deadlines;
    std::map<job_id, time_point> m_completed;
    std::map<task_ref, std::int64_t> m_starts;
    /** @brief Starts that have not reached their workers, and when they do. */
    std::deque<std::pair<time_point, start_command>> m_starts_in_flight;
    std::mt19937 m_random;
    std::int64_t m_next_job{0};
    std::int64_t m_next_worker{0};
    /** @brief Revision of the store. */
    std::uint64_t m_revision{1};
};

/** @brief Makes a job with one step. */
[[nodiscard]] auto make_job(const std::string& service, std::int64_t tasks, std::int64_t millicores_of_task,
                            milliseconds run_time) -> job_record;

/** @brief Makes a job whose tasks run until it is cancelled. */
[[nodiscard]] auto make_long_running_job(const std::string& service, std::int64_t tasks, std::int64_t budget)
    -> job_record;

} // namespace cicadalug::test

#endif
