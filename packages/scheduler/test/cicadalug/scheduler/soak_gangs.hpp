#ifndef CICADALUG_SCHEDULER_TEST_SOAK_GANGS_HPP
#define CICADALUG_SCHEDULER_TEST_SOAK_GANGS_HPP

#include "soak_random.hpp"
#include "soak_worker.hpp"

#include <map>
#include <vector>

namespace cicadalug::test {

/** @brief A run whose gang was not complete in time. */
struct lonely_run {
    task_ref m_task;
    time_point m_begin{};
};

/** @brief Gangs that have members on workers. */
struct soak_gangs {
    /** @brief Most members that were present at a time, by the first task of the step and the run. */
    std::map<std::pair<task_ref, run_number>, std::int64_t> m_present;
    /** @brief Runs that have ended alone since the last look. */
    std::vector<lonely_run> m_lonely;
};

/**
 * @brief Begins the work of gangs that are complete, and ends the runs of those that have lost a member or are not
 * complete in time.
 * @param gangs The gangs, updated.
 * @param workers All workers.
 * @param random Determines which gangs fail.
 * @param now Current time.
 */
auto advance_gangs(soak_gangs& gangs, std::map<worker_id, soak_worker>& workers, soak_random& random, time_point now)
    -> void;

} // namespace cicadalug::test

#endif
