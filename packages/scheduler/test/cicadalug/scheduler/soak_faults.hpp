#ifndef CICADALUG_SCHEDULER_TEST_SOAK_FAULTS_HPP
#define CICADALUG_SCHEDULER_TEST_SOAK_FAULTS_HPP

#include "soak_checks.hpp"

#include <cstdint>
#include <set>
#include <string_view>

namespace cicadalug::test {

/** @brief Kinds of faults in a soak. */
enum class soak_fault : std::uint8_t {
    smaller_capacity,
    less_memory,
    no_capacity,
    other_labels,
    cut_from_decider,
    cut_from_store,
    cut_off,
    restarted,
    clock_ahead,
    clock_back,
    replaced,
    late_commands,
    failing_workers,
    failing_tasks,
    rack_lost,
    vm_removed,
    vm_added,
    draining,
    store_down,
    job_watch_stalled,
    worker_watch_stalled,
    takeover,
    two_takeovers,
    handover,
    deadly_tasks,
    /** @brief The first of the kinds that were added later, and strike at times of their own. */
    decider_cut_off,
    /** @brief The first of the kinds that strike only where they are chosen by name. */
    restarted_with_late_renewals,
    restarted_with_late_calls,
    takeover_series,
};

inline constexpr std::size_t soak_faults{static_cast<std::size_t>(soak_fault::takeover_series) + 1};

/** @brief Number of the kinds that strike if none is chosen. The seeds of soaks with these keep their meaning when
 * kinds are added. */
inline constexpr std::size_t common_soak_faults{static_cast<std::size_t>(soak_fault::decider_cut_off) + 1};

/** @brief Number of the first kinds. The seeds of soaks with only these keep their meaning when kinds are added. */
inline constexpr std::size_t first_soak_faults{static_cast<std::size_t>(soak_fault::deadly_tasks) + 1};

/** @brief What the jobs of a soak need besides workers. */
enum class soak_feature : std::uint8_t { gangs };

[[nodiscard]] auto name_of(soak_fault fault) noexcept -> std::string_view;

/** @brief A soak: which faults strike, and for how long. */
struct soak_settings {
    std::uint64_t m_seed{1};
    std::set<soak_fault> m_faults;
    std::set<soak_feature> m_features;
    /** @brief Longest lease that workers take on. */
    milliseconds m_longest_lease{6'000};
    /** @brief Time in which faults begin, and calm after it. */
    milliseconds m_faulty{40'000};
    milliseconds m_calm{20'000};
    /** @brief Mean number of steps between two jobs of short tasks of a pool. */
    std::int64_t m_steps_per_job{15};
    /** @brief Prints each fault. */
    bool m_verbose{false};
};

/** @brief Simulates a load of short and long-running jobs with faults at random times, and checks each step. */
[[nodiscard]] auto run_soak(const soak_settings& settings) -> soak_findings;

} // namespace cicadalug::test

#endif
