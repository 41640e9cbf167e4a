#ifndef CICADALUG_SCHEDULER_TEST_SOAK_CHECKS_HPP
#define CICADALUG_SCHEDULER_TEST_SOAK_CHECKS_HPP

#include "soak_simulation.hpp"

#include <map>
#include <string>
#include <vector>

namespace cicadalug::test {

/** @brief What the checks have found. */
struct soak_findings {
    std::vector<std::string> m_violations;
    /** @brief Longest time that a long-running task waited in calm beside a worker with room for it. */
    milliseconds m_longest_wait{0};
};

/** @brief State of the checks of a simulation. */
struct soak_checks {
    struct wait {
        time_point m_last_run{};
        /** @brief Since when the task has not run although a worker had room for it. */
        time_point m_room_since{};
        bool m_reported{false};
    };
    /** @brief What is known of the wait of a task whatever happens meanwhile. */
    struct long_wait {
        /** @brief Worker of the last run. */
        worker_id m_worker;
        /** @brief Until when a run may last, or be begun by a late call. */
        time_point m_possible_until{};
        time_point m_room_since{};
        bool m_reported{false};
    };
    std::map<task_ref, wait> m_waits;
    std::map<task_ref, long_wait> m_long_waits;
    std::map<task_ref, bool> m_run_twice;
    bool m_inconsistent{false};
    soak_findings m_findings;
};

/**
 * @brief Checks the platform's rules LOST and TWICE, takes over the rules that commands have broken, and checks the
 * consistency of the scheduler's state after a step.
 * @param checks State of the checks, updated.
 * @param simulation The simulation.
 * @param calm_since When the last disruption ended.
 */
auto check_step(soak_checks& checks, soak_simulation& simulation, time_point calm_since) -> void;

/**
 * @brief Checks that no long-running task waits for over 9 s beside a worker with room for it, whether there is calm or
 * not. Longer waits are known after a restart of the worker of its last run, and after a start without an answer: a
 * late call may bring a lease or a run until later, and the 9 s are counted from then on.
 */
auto check_long_waits(soak_checks& checks, const soak_simulation& simulation) -> void;

/** @brief Checks at the end of a soak that no job of short tasks waits beside idle workers. */
auto check_end(soak_checks& checks, const soak_simulation& simulation, time_point calm_since) -> void;

} // namespace cicadalug::test

#endif
