#include "soak_series.hpp"

#include <array>
#include <utility>

namespace cicadalug::test {

namespace {

/** @brief The longest times that a worker is down, drains or is cut off, each of which may follow another. */
constexpr std::int64_t longest_down_ms{4'000};
constexpr std::int64_t longest_drain_ms{2'000};
constexpr std::int64_t longest_cut_ms{10'000};

enum class worker_change : std::uint8_t {
    leaves,
    crashes_for_good,
    removed_with_vm,
    restarted,
    replaced,
    cut_off,
    cut_from_decider,
};

constexpr std::int64_t worker_changes{static_cast<std::int64_t>(worker_change::cut_from_decider) + 1};

/** @brief Applies a change to a worker at a time, unless the worker is gone by then. */
template<typename Change>
auto change_at(soak_simulation& simulation, const milliseconds delay, const worker_id& id, Change change) -> void
{
    simulation.schedule(simulation.now() + delay, [&simulation, id, change = std::move(change)] {
        if (const auto found = simulation.m_workers.find(id); found != simulation.m_workers.end()) {
            change(found->second);
        }
    });
}

/** @brief Returns a worker that no other change is in progress for; an empty id if the random choice falls on none. */
[[nodiscard]] auto choose_worker(soak_simulation& simulation) -> worker_id
{
    auto& random = simulation.m_later_random;
    const auto chosen =
        std::next(simulation.m_workers.begin(), random.number(static_cast<std::int64_t>(simulation.m_workers.size())));
    const auto& worker = chosen->second;
    const bool unchanged = worker.m_alive && worker.m_reaches_decider && worker.m_reaches_store &&
                           worker.m_entry.m_state == worker_state::ready;
    return unchanged ? chosen->first : worker_id{};
}

/** @brief Adds a VM like that of a worker after a while, so that the pools do not run empty. */
auto add_substitute(soak_simulation& simulation, const worker_entry& lost) -> void
{
    auto& random = simulation.m_later_random;
    if (random.number(4) == 0) {
        return;
    }
    simulation.schedule(simulation.now() + random.time(0, 4'000), [&simulation, lost] {
        const auto id = simulation.add_vm(lost.m_service.str(), {}, milliseconds{0});
        simulation.m_workers.at(id).m_entry.m_labels = lost.m_labels;
    });
}

auto cut_off(soak_simulation& simulation, const worker_id& id, const bool from_store) -> void
{
    auto& worker = simulation.m_workers.at(id);
    worker.m_reaches_decider = false;
    worker.m_reaches_store = !from_store;
    change_at(simulation, simulation.m_later_random.time(1'000, longest_cut_ms), id,
              [](soak_worker& changed) { changed.m_reaches_decider = changed.m_reaches_store = true; });
}

/** @brief Crashes a worker, and starts it again under its id, or another one on its VM. */
auto restart(soak_simulation& simulation, const worker_id& id, const bool keep_id) -> void
{
    auto& random = simulation.m_later_random;
    simulation.crash(id);
    const auto down = random.time(50, longest_down_ms);
    const auto entry_delay = random.number(2) == 0 ? milliseconds{0} : random.time(0, 2'000);
    change_at(simulation, down, id, [&simulation, id, keep_id, entry_delay](soak_worker& worker) {
        if (keep_id) {
            simulation.restart(id, milliseconds{0}, entry_delay);
        }
        else {
            worker.m_late_renewal_percent = worker.m_late_command_percent = 0;
            simulation.replace(id);
        }
    });
}

auto drain(soak_simulation& simulation, const worker_id& id) -> void
{
    auto& random = simulation.m_later_random;
    simulation.m_workers.at(id).m_entry.m_state = worker_state::draining;
    const auto drained = random.time(0, longest_drain_ms);
    change_at(simulation, drained, id, [&simulation, id](soak_worker&) { simulation.crash(id); });
    if (random.number(2) == 0) {
        const auto removed = drained + random.time(0, longest_down_ms);
        change_at(simulation, removed, id, [&simulation, id](soak_worker&) { simulation.m_workers.erase(id); });
    }
}

auto change_worker(soak_simulation& simulation) -> void
{
    const auto id = choose_worker(simulation);
    if (id.empty()) {
        return;
    }
    const auto change = static_cast<worker_change>(simulation.m_later_random.number(worker_changes));
    if (change <= worker_change::removed_with_vm) {
        add_substitute(simulation, simulation.m_workers.at(id).m_entry);
    }
    switch (change) {
    case worker_change::leaves:
        return drain(simulation, id);
    case worker_change::crashes_for_good:
        return simulation.crash(id);
    case worker_change::removed_with_vm:
        simulation.m_workers.erase(id);
        return;
    case worker_change::restarted:
        return restart(simulation, id, true);
    case worker_change::replaced:
        return restart(simulation, id, false);
    case worker_change::cut_off:
        return cut_off(simulation, id, true);
    case worker_change::cut_from_decider:
        return cut_off(simulation, id, false);
    }
}

/** @brief Lets a share of the calls to some workers get no answer, and be carried out late. */
auto delay_calls(soak_simulation& simulation) -> void
{
    auto& random = simulation.m_later_random;
    for (auto& [id, worker] : simulation.m_workers) {
        if (random.number(3) == 0) {
            worker.m_late_renewal_percent = random.number(101);
            worker.m_late_command_percent = random.number(101);
            change_at(simulation, random.time(1'000, 8'000), id, [](soak_worker& changed) {
                changed.m_late_renewal_percent = changed.m_late_command_percent = 0;
            });
        }
    }
}

} // namespace

auto begin_takeover_series(soak_simulation& simulation, const bool late_calls) -> time_point
{
    auto& random = simulation.m_later_random;
    constexpr std::array<std::int64_t, 3> longest_terms_ms{1'500, 4'000, 8'000};
    const auto longest_term_ms = longest_terms_ms[static_cast<std::size_t>(random.number(3))];
    auto end = simulation.now();
    if (late_calls) {
        delay_calls(simulation);
    }
    // The first takeover ends the term that precedes the series.
    for (auto terms = 1 + random.number(6); terms >= 0; --terms) {
        const auto gap = random.time(100, 1'400);
        simulation.schedule(end, [&simulation, gap] { simulation.take_over(gap); });
        const auto term = terms == 0 ? milliseconds{0} : random.time(200, longest_term_ms);
        for (auto changes = random.number(4); changes > 0; --changes) {
            simulation.schedule(end + random.time(0, (gap + term).count()),
                                [&simulation] { change_worker(simulation); });
        }
        end += gap + term;
    }
    return end + milliseconds{longest_cut_ms};
}

} // namespace cicadalug::test
