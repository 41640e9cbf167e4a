#ifndef CICADALUG_SCHEDULER_TEST_SOAK_SIMULATION_HPP
#define CICADALUG_SCHEDULER_TEST_SOAK_SIMULATION_HPP

#include "soak_decider.hpp"
#include "soak_gangs.hpp"
#include "soak_random.hpp"

#include <cicadalug/scheduler/jobs.hpp>
#include <cicadalug/scheduler/scheduler_state.hpp>
#include <cicadalug/scheduler/vm_list.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadalug::test {

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
    /** @param longest_lease Longest lease that workers take on. */
    soak_simulation(std::uint64_t seed, milliseconds longest_lease);

    /** @param age Since when the worker of the VM has been running. */
    auto add_vm(const std::string& pool, const std::string& rack, milliseconds age) -> worker_id;
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
    /** @brief Cuts the decider off from the store and from some workers, and lets a successor begin its term. The old
     * decider goes on until it is fenced, or finds that its term has ended. */
    auto cut_decider_off(milliseconds delay, const soak_cut& cut) -> void;

    /** @brief Carries out a start at a worker, and determines how the run ends. */
    [[nodiscard]] auto start_run(soak_worker& worker, const start_command& command, fencing_token token,
                                 std::int64_t lease_until_ms) -> command_result;

    [[nodiscard]] auto now() const -> time_point { return m_now; }
    [[nodiscard]] auto clock() const -> clock_reading;
    [[nodiscard]] auto longest_lease() const -> milliseconds { return m_longest_lease; }
    /** @brief Returns the decider; null while there is none. */
    [[nodiscard]] auto decider() const -> const soak_decider* { return m_decider.get(); }
    /** @brief Checks whether a decider's term has been followed by another one. */
    [[nodiscard]] auto is_superseded(const soak_decider& decider) const -> bool
    {
        return &decider != m_decider.get() && m_decider;
    }
    /** @brief Returns a number from 0 to below the limit. */
    [[nodiscard]] auto random(std::int64_t limit) -> std::int64_t { return m_random.number(limit); }
    [[nodiscard]] auto random_time(std::int64_t least_ms, std::int64_t most_ms) -> milliseconds
    {
        return m_random.time(least_ms, most_ms);
    }
    auto schedule(time_point at, std::function<void()> event) -> void;
    [[nodiscard]] auto listed_vms() const -> std::vector<vm_status>;

    std::map<worker_id, soak_worker> m_workers;
    std::map<worker_id, worker_entry> m_registry;
    /** @brief The stored list of workers with leases. */
    std::set<worker_id> m_stored_leases;
    std::map<worker_id, vm_id> m_stored_vms;
    /** @brief The stored ends of leases, and the election after which they are counted. */
    std::string m_stored_bounds;
    time_point m_bounds_elected{};
    std::map<worker_id, std::int64_t> m_stored_incarnations;
    /** @brief When the last start of each task was sent, unless it has been answered. */
    std::map<task_ref, time_point> m_unanswered_starts;
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
    /** @brief Rules that commands have broken since the last look. */
    std::vector<std::string> m_broken_rules;
    soak_gangs m_gangs;
    /** @brief Random numbers of the first kinds of faults and of the commands of deciders that are not cut off. */
    soak_random m_random;
    /** @brief Random numbers of all that was added after the first kinds of faults, whose sequence stays as it was. */
    soak_random m_later_random;
    /** @brief Random numbers of the features. */
    soak_random m_feature_random;
    /** @brief Random numbers of the delays with which successors see elections. */
    soak_random m_election_random;

private:
    auto begin_term() -> void;
    auto update_registry() -> void;
    /** @brief Notifies the decider of an entry that has changed. */
    auto note_entry(const worker_id& id) -> void;
    auto advance_worker(const worker_id& id, soak_worker& worker) -> void;

    time_point m_now{milliseconds{1'000'000}};
    milliseconds m_longest_lease;
    std::multimap<time_point, std::function<void()>> m_events;
    std::shared_ptr<soak_decider> m_decider;
    /** @brief Deciders that are cut off and have not noticed the end of their terms. */
    std::vector<std::shared_ptr<soak_decider>> m_cut_deciders;
    std::uint64_t m_term{0};
    /** @brief Until then the lease of a decider that is cut off keeps others from beginning a term. */
    time_point m_term_taken_until{};
    std::int64_t m_next_worker{0};
    std::int64_t m_next_job{0};
};

} // namespace cicadalug::test

#endif
