#ifndef CICADALUG_BENCHMARK_SURGE_SIMULATION_HPP
#define CICADALUG_BENCHMARK_SURGE_SIMULATION_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/routing/attempt_outcome.hpp>
#include <cicadalug/routing/routing_effects.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

/** @brief Discrete-event simulation of the surge of the design page: callers, upstreams and time. */
namespace cicadalug::surge {

inline constexpr std::size_t pool_count = 5;
inline constexpr std::size_t zone_count = 3;
inline constexpr int vms_per_pool = 10;
inline constexpr std::size_t vm_count = pool_count * vms_per_pool;
inline constexpr int slots_per_vm = 8;
inline constexpr microseconds latency{500};
inline constexpr microseconds surge_time = seconds{6};
inline constexpr double mean_run_time_s = 0.1;
inline constexpr double run_time_sigma = 0.8;
// Mean demand as a share of the slots of a pool; the surge of 5 times the mean is then twice the capacity of the pool.
inline constexpr double mean_demand = 0.4;
inline constexpr milliseconds deadline{1'000};

using vm_counts = std::array<int, vm_count>;

/** @brief Request and its outcome. */
struct job {
    std::size_t m_pool{0};
    std::size_t m_entry{0};
    bool m_urgent{false};
    bool m_idempotent{false};
    time_point m_submitted;
    time_point m_deadline;
    microseconds m_run_time{0};
    int m_runs{0};
    int m_outcomes{0};
    outcome_kind m_kind{outcome_kind::unknown};
    time_point m_answered;
};

/** @brief Upstreams, jobs and time. VM n is in pool n / 10 and in zone n % 3; entry VM n is in zone n % 3. */
struct simulation {
    std::mt19937 m_random;
    std::size_t m_entries{0};
    std::multimap<time_point, std::function<void()>> m_events;
    time_point m_now{seconds{1}};
    std::vector<job> m_jobs;
    vm_counts m_busy{};
    std::size_t m_calls{0};
    std::size_t m_rejected{0};

    auto after(const microseconds delay, std::function<void()> run) -> void
    {
        m_events.emplace(m_now + delay, std::move(run));
    }

    auto every(const microseconds interval, const std::function<void()>& run) -> void
    {
        after(interval, [this, interval, run] {
            run();
            every(interval, run);
        });
    }

    /** @brief Sends a job to an upstream and reports the outcome when it reaches the entry VM. */
    auto call(const std::size_t vm, const std::size_t number, const std::function<void(attempt_outcome)>& end) -> void
    {
        ++m_calls;
        after(latency, [this, vm, number, end] {
            if (m_busy[vm] == slots_per_vm) {
                ++m_rejected;
                after(latency, [end] { end(attempt_outcome::no_slot); });
                return;
            }
            ++m_busy[vm];
            ++m_jobs[number].m_runs;
            after(m_jobs[number].m_run_time, [this, vm, end] {
                --m_busy[vm];
                after(latency, [end] { end(attempt_outcome::answered); });
            });
        });
    }

    auto record_outcome(const std::size_t number, const outcome_kind kind) -> void
    {
        ++m_jobs[number].m_outcomes;
        m_jobs[number].m_kind = kind;
        m_jobs[number].m_answered = m_now;
    }
};

/** @brief Handles an arriving job. */
using policy = std::function<void(std::size_t)>;

/** @brief Adds the jobs of one pool. The pools surge one after the other. */
inline auto add_jobs(simulation& state, const std::size_t pool, const policy& submit_job) -> void
{
    const auto mean_log = std::log(mean_run_time_s) - run_time_sigma * run_time_sigma / 2;
    std::lognormal_distribution<double> run_time{mean_log, run_time_sigma};
    const auto surge = state.m_now + pool * surge_time;
    for (auto time = state.m_now; time < state.m_now + pool_count * surge_time;) {
        const auto factor = time >= surge && time < surge + surge_time ? 5.0 : 0.05;
        std::exponential_distribution<double> gap{vms_per_pool * slots_per_vm / mean_run_time_s * mean_demand * factor};
        time += microseconds{1 + static_cast<std::int64_t>(1e6 * gap(state.m_random))};
        job entry;
        entry.m_pool = pool;
        entry.m_entry = state.m_random() % state.m_entries;
        entry.m_urgent = state.m_random() % 10 == 0;
        entry.m_idempotent = state.m_random() % 2 == 0;
        entry.m_submitted = time;
        entry.m_deadline = time + deadline;
        entry.m_run_time = microseconds{1 + static_cast<std::int64_t>(1e6 * run_time(state.m_random))};
        state.m_events.emplace(time, [submit_job, number = state.m_jobs.size()] { submit_job(number); });
        state.m_jobs.push_back(entry);
    }
}

/** @brief Prints the results of one policy as a line of the table. */
inline auto report(const char* name, const simulation& state) -> void
{
    std::size_t good{0};
    std::size_t refused{0};
    std::size_t wrong{0};
    std::vector<microseconds> urgent;
    for (const auto& entry : state.m_jobs) {
        const auto is_answered = entry.m_kind == outcome_kind::answered;
        const auto is_refused = entry.m_kind == outcome_kind::not_run;
        const auto ran_twice = !entry.m_idempotent && entry.m_runs > 1;
        good += is_answered && entry.m_answered <= entry.m_deadline ? 1U : 0U;
        refused += is_refused ? 1U : 0U;
        wrong += entry.m_outcomes != 1 || (is_refused && entry.m_runs > 0) || ran_twice ? 1U : 0U;
        if (entry.m_urgent && is_answered) {
            urgent.push_back(entry.m_answered - entry.m_submitted);
        }
    }
    std::sort(urgent.begin(), urgent.end());
    const auto percent = [](const std::size_t part, const std::size_t all) {
        return 100.0 * static_cast<double>(part) / static_cast<double>(all);
    };
    const auto urgent_ms = [&urgent](const std::size_t share) {
        return std::chrono::duration<double, std::milli>(urgent[urgent.size() * share / 100]).count();
    };
    const auto duration_s = std::chrono::duration<double>(pool_count * surge_time).count();
    std::printf("%-24s %10.1f %9.2f %11.2f %10.1f %10.1f %6zu\n", name, static_cast<double>(good) / duration_s,
                percent(refused, state.m_jobs.size()), percent(state.m_rejected, state.m_calls), urgent_ms(50),
                urgent_ms(99), wrong);
}

/** @brief Simulates the surge under one policy. */
inline auto run(const char* name, const std::uint32_t seed, const std::size_t entries,
                const std::function<policy(simulation&)>& make_policy) -> void
{
    simulation state;
    state.m_random.seed(seed);
    state.m_entries = entries;
    const auto submit_job = make_policy(state);
    for (std::size_t pool = 0; pool < pool_count; ++pool) {
        add_jobs(state, pool, submit_job);
    }
    for (const auto end = state.m_now + pool_count * surge_time + seconds{30};
         !state.m_events.empty() && state.m_now < end;) {
        const auto next = state.m_events.extract(state.m_events.begin());
        state.m_now = next.key();
        next.mapped()();
    }
    report(name, state);
}

} // namespace cicadalug::surge

#endif
