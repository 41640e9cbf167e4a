#include <cicadalug/scheduler/permits.hpp>
#include <cicadalug/scheduler/placement.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Score bonus of a worker on the rack of the data, in thousandths of a core of free capacity. */
constexpr std::int64_t data_rack_bonus{1'000'000};

/** @brief Score bonus of a worker with long-running tasks. */
constexpr std::int64_t shared_worker_bonus{1'000'000};

/** @brief Score penalty for each task of the same step on a worker. Maintenance of a VM with more of them than the
 * disruption budget has to wait until some have been moved to other workers. */
constexpr std::int64_t same_step_penalty{10'000'000};

/** @brief Score penalty of a worker on which the task has failed, as the worker may be the cause. Outweighs all other
 * terms of the score. */
constexpr std::int64_t failed_worker_penalty{1'000'000'000};

[[nodiscard]] auto slot_of(const scheduler_state& state, const worker_index index) -> const worker_slot&
{
    return state.m_workers[static_cast<std::size_t>(index)];
}

[[nodiscard]] auto free_of(const worker_slot& worker) -> resources
{
    return worker.m_entry.m_capacity - worker.m_used;
}

[[nodiscard]] auto has_label(const worker_slot& worker, const std::string& label) -> bool
{
    const auto& labels = worker.m_entry.m_labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

[[nodiscard]] auto has_long_running_task(const worker_slot& worker) -> bool
{
    return std::any_of(worker.m_runs.begin(), worker.m_runs.end(),
                       [](const placed_run& run) { return run.m_long_running; });
}

/** @brief Returns the position of a worker's group in the index. */
[[nodiscard]] auto group_of(const worker_slot& worker) -> std::size_t
{
    return has_long_running_task(worker) ? 0 : 1;
}

/** @brief Returns what rules out a worker that accepts new work for a task, or none. */
[[nodiscard]] auto find_task_obstacle(const worker_slot& worker, const worker_index index, const resources& demand,
                                      const placement_request& request, const time_point now) -> worker_obstacle
{
    const auto& spec = *request.m_spec;
    if (!fits(demand, free_of(worker))) {
        return worker_obstacle::no_capacity;
    }
    if (!has_required_label(spec, worker)) {
        return worker_obstacle::no_label;
    }
    if (request.m_permits != nullptr && !has_permit(*request.m_permits, worker, index, now)) {
        return worker_obstacle::no_permit;
    }
    if (request.m_avoids_stale_leases && worker.m_stale_until_ms > 0) {
        return worker_obstacle::stale_lease;
    }
    const bool below_limit =
        spec.m_max_per_worker <= 0 || tasks_of_step(worker, request.m_task) < spec.m_max_per_worker;
    return below_limit ? worker_obstacle::none : worker_obstacle::step_limit;
}

/** @brief Returns the capacity that is free when all runs have ended but those of long-running tasks. */
[[nodiscard]] auto capacity_beside_long_running(const worker_slot& worker) -> resources
{
    auto left = worker.m_entry.m_capacity;
    for (const auto& run : worker.m_runs) {
        if (run.m_long_running) {
            left = left - run.m_demand;
        }
    }
    return left;
}

[[nodiscard]] auto can_hold(const worker_slot& worker, const worker_index index, const resources& demand,
                            const placement_request& request, const time_point now) -> bool
{
    return find_task_obstacle(worker, index, demand, request, now) == worker_obstacle::none;
}

[[nodiscard]] auto is_unplaceable(const placement_index& index, const resources& demand) -> bool
{
    return std::any_of(index.m_unplaceable.begin(), index.m_unplaceable.end(),
                       [&demand](const resources& known) { return fits(known, demand); });
}

/** @brief Records that no worker has free capacity for a demand. */
auto record_unplaceable(placement_index& index, const resources& demand) -> void
{
    std::erase_if(index.m_unplaceable, [&demand](const resources& known) { return fits(demand, known); });
    index.m_unplaceable.push_back(demand);
}

[[nodiscard]] auto choose_by_free_cpu(const placement_index& index, const scheduler_state& state,
                                      const placement_request& request, const resources& demand, const time_point now)
    -> worker_index
{
    for (const auto& group : index.m_by_free_cpu) {
        const placement_entry least{demand.m_cpu.value(), no_worker};
        for (auto entry = std::lower_bound(group.begin(), group.end(), least); entry != group.end(); ++entry) {
            if (can_hold(slot_of(state, entry->m_worker), entry->m_worker, demand, request, now)) {
                return entry->m_worker;
            }
        }
    }
    return no_worker;
}

[[nodiscard]] auto choose_by_score(const placement_index& index, const scheduler_state& state,
                                   const placement_request& request, const resources& demand, const time_point now)
    -> worker_index
{
    const auto& spec = *request.m_spec;
    const auto& failed = *request.m_failed_workers;
    auto best = no_worker;
    std::int64_t best_score{0};
    for (const auto candidate : index.m_candidates) {
        const auto& worker = slot_of(state, candidate);
        if (!can_hold(worker, candidate, demand, request, now)) {
            continue;
        }
        auto score = -free_of(worker).m_cpu.value();
        if (!spec.m_data_rack.empty() && has_label(worker, spec.m_data_rack)) {
            score += data_rack_bonus;
        }
        if (has_long_running_task(worker)) {
            score += shared_worker_bonus;
        }
        if (std::find(failed.begin(), failed.end(), candidate) != failed.end()) {
            score -= failed_worker_penalty;
        }
        if (spec.m_disruption_budget > 0) {
            score -= same_step_penalty * tasks_of_step(worker, request.m_task);
        }
        if (best == no_worker || score > best_score) {
            best = candidate;
            best_score = score;
        }
    }
    return best;
}

} // namespace

auto make_placement_index(const scheduler_state& state, std::vector<worker_index> candidates) -> placement_index
{
    placement_index index;
    index.m_candidates = std::move(candidates);
    for (const auto candidate : index.m_candidates) {
        const auto& worker = slot_of(state, candidate);
        index.m_by_free_cpu[group_of(worker)].push_back({free_of(worker).m_cpu.value(), candidate});
    }
    for (auto& group : index.m_by_free_cpu) {
        std::sort(group.begin(), group.end());
    }
    return index;
}

auto update_placement(placement_index& index, const scheduler_state& state, const worker_index worker,
                      const millicores free_cpu_before) -> void
{
    const placement_entry before{free_cpu_before.value(), worker};
    for (auto& group : index.m_by_free_cpu) {
        const auto entry = std::lower_bound(group.begin(), group.end(), before);
        if (entry != group.end() && *entry == before) {
            group.erase(entry);
        }
    }
    const auto& changed = slot_of(state, worker);
    auto& group = index.m_by_free_cpu[group_of(changed)];
    const placement_entry after{free_of(changed).m_cpu.value(), worker};
    group.insert(std::lower_bound(group.begin(), group.end(), after), after);
}

auto choose_worker(placement_index& index, const scheduler_state& state, const placement_request& request,
                   const time_point now) -> worker_index
{
    const auto& spec = *request.m_spec;
    const auto demand = reserved_demand(spec);
    if (is_unplaceable(index, demand)) {
        return no_worker;
    }
    const bool by_capacity_only =
        spec.m_data_rack.empty() && request.m_failed_workers->empty() && spec.m_disruption_budget <= 0;
    const auto worker = by_capacity_only ? choose_by_free_cpu(index, state, request, demand, now)
                                         : choose_by_score(index, state, request, demand, now);
    const bool others_ruled_out = request.m_permits != nullptr || !spec.m_required_label.empty() ||
                                  spec.m_max_per_worker > 0 || request.m_avoids_stale_leases;
    if (worker == no_worker && !others_ruled_out) {
        record_unplaceable(index, demand);
    }
    return worker;
}

auto choose_worker_to_free(const placement_index& index, const scheduler_state& state, const placement_request& request,
                           const std::vector<worker_index>& kept, const time_point now) -> worker_index
{
    const auto demand = reserved_demand(*request.m_spec);
    auto best = no_worker;
    auto most_free = millicores{0};
    for (const auto candidate : index.m_candidates) {
        const auto& worker = slot_of(state, candidate);
        const auto free_cpu = free_of(worker).m_cpu;
        if ((best == no_worker || free_cpu > most_free) &&
            std::find(kept.begin(), kept.end(), candidate) == kept.end() &&
            fits(demand, capacity_beside_long_running(worker)) &&
            find_task_obstacle(worker, candidate, {}, request, now) == worker_obstacle::none) {
            best = candidate;
            most_free = free_cpu;
        }
    }
    return best;
}

auto remove_candidate(placement_index& index, const scheduler_state& state, const worker_index worker) -> void
{
    std::erase(index.m_candidates, worker);
    const placement_entry removed{free_of(slot_of(state, worker)).m_cpu.value(), worker};
    for (auto& group : index.m_by_free_cpu) {
        std::erase(group, removed);
    }
}

auto find_placement_obstacle(const scheduler_state& state, const worker_index worker, const placement_request& request,
                             const time_point now) -> worker_obstacle
{
    return find_task_obstacle(slot_of(state, worker), worker, reserved_demand(*request.m_spec), request, now);
}

auto tasks_of_step(const worker_slot& worker, const task_ref& task) -> std::int64_t
{
    return std::count_if(worker.m_runs.begin(), worker.m_runs.end(), [&task](const placed_run& run) {
        return run.m_task.m_job == task.m_job && run.m_task.m_occurrence == task.m_occurrence &&
               run.m_task.m_step == task.m_step;
    });
}

auto count_places(const scheduler_state& state, const worker_index worker, const placement_request& request,
                  const time_point now) -> std::int64_t
{
    if (!can_place(state, worker, request, now)) {
        return 0;
    }
    const auto& slot = slot_of(state, worker);
    const auto& spec = *request.m_spec;
    const auto demand = reserved_demand(spec);
    const auto free = free_of(slot);
    auto places = spec.m_count;
    if (demand.m_cpu > millicores{0}) {
        places = std::min(places, free.m_cpu.value() / demand.m_cpu.value());
    }
    if (demand.m_memory > mebibytes{0}) {
        places = std::min(places, free.m_memory.value() / demand.m_memory.value());
    }
    if (demand.m_accelerators > 0) {
        places = std::min(places, free.m_accelerators / demand.m_accelerators);
    }
    if (spec.m_max_per_worker > 0) {
        places = std::min(places, spec.m_max_per_worker - tasks_of_step(slot, request.m_task));
    }
    return places;
}

auto can_place(const scheduler_state& state, const worker_index worker, const placement_request& request,
               const time_point now) -> bool
{
    return find_placement_obstacle(state, worker, request, now) == worker_obstacle::none;
}

} // namespace cicadalug
