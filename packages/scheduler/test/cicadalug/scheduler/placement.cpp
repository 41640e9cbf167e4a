#include <cicadalug/scheduler/placement.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace cicadalug::test {

namespace {

constexpr time_point now{milliseconds{100'000}};

/** @brief Adds a worker with the given capacity and a run that uses a part of it. */
auto add_worker(scheduler_state& state, const std::int64_t cpu, const std::int64_t used, const bool long_running)
    -> worker_index
{
    worker_slot worker;
    worker.m_entry.m_id = worker_id{std::to_string(state.m_workers.size())};
    worker.m_entry.m_capacity = {millicores{cpu}, mebibytes{cpu}, 0};
    worker.m_used = {millicores{used}, mebibytes{used}, 0};
    placed_run run;
    run.m_long_running = long_running;
    worker.m_runs.push_back(run);
    state.m_workers.push_back(worker);
    return static_cast<worker_index>(state.m_workers.size() - 1);
}

[[nodiscard]] auto make_step(const std::int64_t cpu) -> step_spec
{
    step_spec spec;
    spec.m_count = 1;
    spec.m_demand = {millicores{cpu}, mebibytes{1}, 0};
    return spec;
}

/** @brief Selects a worker as specified, by a look at all of them. */
[[nodiscard]] auto choose_naively(const scheduler_state& state, const std::int64_t cpu) -> std::int64_t
{
    auto best = -1;
    auto best_score = std::pair<bool, std::int64_t>{};
    for (std::size_t index = 0; index < state.m_workers.size(); ++index) {
        const auto& worker = state.m_workers[index];
        const auto free = (worker.m_entry.m_capacity - worker.m_used).m_cpu.value();
        const std::pair<bool, std::int64_t> score{worker.m_runs.front().m_long_running, -free};
        if (free >= cpu && (best == -1 || score > best_score)) {
            best = static_cast<int>(index);
            best_score = score;
        }
    }
    return best;
}

} // namespace

// Guards against an index that finds another worker than a search of all of them, or none though there is one.
RC_GTEST_PROP(placement, finds_the_same_worker_as_a_search_of_all, ())
{
    scheduler_state state;
    std::vector<worker_index> candidates;
    for (auto count = *rc::gen::inRange(0, 12); count > 0; --count) {
        const auto cpu = *rc::gen::inRange<std::int64_t>(1, 40);
        candidates.push_back(
            add_worker(state, cpu, *rc::gen::inRange<std::int64_t>(0, cpu + 1), *rc::gen::arbitrary<bool>()));
    }
    auto index = make_placement_index(state, candidates);
    const std::vector<worker_index> none;
    for (int round = 0; round < 20; ++round) {
        const auto spec = make_step(*rc::gen::inRange<std::int64_t>(1, 40));
        const auto expected = choose_naively(state, spec.m_demand.m_cpu.value());
        const auto chosen = choose_worker(index, state, {&spec, {}, &none, nullptr}, now);
        RC_ASSERT(static_cast<std::int64_t>(chosen) == expected);
        if (chosen != no_worker) {
            auto& worker = state.m_workers[static_cast<std::size_t>(chosen)];
            const auto before = (worker.m_entry.m_capacity - worker.m_used).m_cpu;
            worker.m_used = worker.m_used + spec.m_demand;
            update_placement(index, state, chosen, before);
        }
    }
}

// Guards against a label that rules out workers and thereby ends the search for tasks without it.
TEST(placement, a_label_does_not_make_the_demand_of_others_unplaceable)
{
    scheduler_state state;
    auto index = make_placement_index(state, {add_worker(state, 10, 0, false)});
    const std::vector<worker_index> none;
    auto labelled = make_step(5);
    labelled.m_required_label = "fast";
    EXPECT_EQ(choose_worker(index, state, {&labelled, {}, &none, nullptr}, now), no_worker);
    const auto plain = make_step(5);
    EXPECT_EQ(choose_worker(index, state, {&plain, {}, &none, nullptr}, now), 0);
}

// Guards against a task that fails on one worker again and again while another one has free capacity.
TEST(placement, workers_on_which_the_task_has_failed_are_used_last)
{
    scheduler_state state;
    const auto full = add_worker(state, 10, 4, false);
    const auto empty = add_worker(state, 10, 0, false);
    auto index = make_placement_index(state, {full, empty});
    const std::vector<worker_index> failed{full};
    const auto spec = make_step(5);
    EXPECT_EQ(choose_worker(index, state, {&spec, {}, &failed, nullptr}, now), empty);
}

} // namespace cicadalug::test
