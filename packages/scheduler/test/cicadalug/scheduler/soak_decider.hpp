#ifndef CICADALUG_SCHEDULER_TEST_SOAK_DECIDER_HPP
#define CICADALUG_SCHEDULER_TEST_SOAK_DECIDER_HPP

#include "soak_worker.hpp"

#include <cicadalug/scheduler/scheduler_state.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace cicadalug::test {

class soak_simulation;
class soak_random;

/** @brief Lease of a decider's term in the store. */
inline constexpr milliseconds soak_term_lease{1'200};

/** @brief The platform's bound on the delay of a call that is carried out late. */
inline constexpr milliseconds soak_longest_lateness{12'000};

/** @brief What a decider is cut off from, besides the store. */
struct soak_cut {
    std::set<worker_id> m_unreachable;
    /** @brief Workers that only the old decider reaches. */
    std::set<worker_id> m_kept;
    time_point m_end{};
};

/** @brief A decider in one term: the scheduler's state, its calls to workers and its writes to the store. */
class soak_decider : public std::enable_shared_from_this<soak_decider> {
public:
    soak_decider(soak_simulation& simulation, fencing_token token);

    /** @brief Loads the jobs and the workers from the store. */
    auto load() -> void;
    /** @brief Observes the store, renews leases, and sends commands. */
    auto step() -> void;

    auto job_submitted(const job_id& id) -> void { m_new_jobs.insert(id); }
    auto job_cancelled(const job_id& id) -> void { m_new_cancels.insert(id); }
    auto entry_changed(const worker_id& id) -> void { m_changed_entries.insert(id); }

    /** @brief Cuts the decider off from the store and from workers. It is not the current one any more. */
    auto cut_off(const soak_cut& cut) -> void;
    [[nodiscard]] auto is_cut_off() const -> bool { return m_cut.has_value(); }
    /** @brief Checks whether the decider knows that its term has ended. */
    [[nodiscard]] auto has_ended() const -> bool;
    [[nodiscard]] auto state() const -> const scheduler_state& { return m_state; }

private:
    struct renewal {
        bool m_in_flight{false};
        bool m_lost{false};
        bool m_fenced{false};
        time_point m_sent{};
        /** @brief When the response is due or the call times out, if nothing ends before. */
        time_point m_due{};
        std::int64_t m_incarnation{0};
        fencing_token m_token;
        /** @brief Incarnation that had reported when the call was sent. */
        std::int64_t m_called_incarnation{0};
        std::int64_t m_acknowledged{0};
    };

    [[nodiscard]] auto now() const -> time_point;
    [[nodiscard]] auto reaches_store() const -> bool;
    [[nodiscard]] auto reaches(const soak_worker& worker) const -> bool;
    auto watch_store() -> void;
    auto renew_leases() -> void;
    auto renew_lease(worker_index index) -> void;
    auto finish_renewal(worker_index index, renewal& call) -> void;
    auto send_starts() -> void;
    auto send_stops() -> void;
    auto announce_fences() -> void;
    auto write_progress() -> void;
    /** @brief Determines whether the next call gets no answer and is carried out late. */
    [[nodiscard]] auto is_late(std::int64_t late_percent) const -> bool;
    /** @brief Carries out a call to a worker late, at the incarnation that is there then. */
    auto execute_late(const worker_slot& slot, std::function<command_result(soak_worker&)> call) const -> void;
    /** @brief Performs a command at a worker. Its result arrives after a while, or not at all.
     * @param late_percent Share of such commands that are carried out late. */
    auto perform(worker_index index, std::int64_t soak_worker::*late_percent,
                 std::function<command_result(soak_worker&)> command, std::function<void(command_result)> on_result)
        -> void;
    /** @brief Schedules an event that is dropped if the term ends before. */
    auto schedule_in_term(time_point at, std::function<void()> event) -> void;

    soak_simulation& m_simulation;
    soak_random* m_random;
    std::optional<soak_cut> m_cut;
    scheduler_state m_state;
    time_point m_last_renewal{};
    std::map<worker_index, renewal> m_renewals;
    std::set<worker_id> m_changed_entries;
    std::set<job_id> m_new_jobs;
    std::set<job_id> m_new_cancels;
    /** @brief Revision of the last write of the term. */
    std::uint64_t m_revision;
    bool m_writing{false};
    time_point m_leases_listed_at{};
};

} // namespace cicadalug::test

#endif
