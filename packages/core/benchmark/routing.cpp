// Simulates the surge of the design page under several policies, and measures the CPU time per routing decision.

#include "surge_simulation.hpp"

#include <cicadalug/routing/deadline_rule.hpp>
#include <cicadalug/routing/overflow.hpp>
#include <cicadalug/routing/router.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace {

using namespace cicadalug;
using namespace cicadalug::surge;

constexpr std::size_t spare_pool = pool_count - 1;
constexpr int promised_vms = 6;
constexpr milliseconds gossip_interval{100};
constexpr double message_loss = 0.01;
constexpr std::uint32_t default_seed = 20261204;

/** @brief Returns the VMs of a pool in one zone, or in all zones if zone is zone_count. */
[[nodiscard]] auto vms_of(const std::size_t pool, const std::size_t zone) -> std::vector<std::size_t>
{
    std::vector<std::size_t> vms;
    for (auto vm = pool * vms_per_pool; vm < (pool + 1) * vms_per_pool; ++vm) {
        if (zone == zone_count || vm % zone_count == zone) {
            vms.push_back(vm);
        }
    }
    return vms;
}

/** @brief Sends to the less used of two random upstreams of the pool, up to three times, without queue and overflow. */
struct power_of_two_choices {
    simulation& m_simulation;
    std::vector<vm_counts> m_used{std::vector<vm_counts>(m_simulation.m_entries)};

    auto send(const std::size_t number, const int tries) -> void
    {
        const auto& entry = m_simulation.m_jobs[number];
        if (tries == 3 || m_simulation.m_now >= entry.m_deadline) {
            m_simulation.record_outcome(number, outcome_kind::not_run);
            return;
        }
        auto& used = m_used[entry.m_entry];
        const auto vms = vms_of(entry.m_pool, entry.m_entry % zone_count);
        const auto first = vms[m_simulation.m_random() % vms.size()];
        const auto second = vms[m_simulation.m_random() % vms.size()];
        const auto vm = used[first] <= used[second] ? first : second;
        ++used[vm];
        m_simulation.call(vm, number, [this, &used, vm, number, tries](const attempt_outcome outcome) {
            --used[vm];
            outcome == attempt_outcome::answered ? m_simulation.record_outcome(number, outcome_kind::answered)
                                                 : send(number, tries + 1);
        });
    }
};

/** @brief Queue of one or of all entry VMs, with the ordering, deadline and overflow rules of the routing code. */
struct entry_vm_queue {
    simulation& m_simulation;
    std::size_t m_zone{zone_count};
    /** @brief Number of entry VMs that share the slots, including the surplus of the spare pool. */
    int m_sharers{1};
    std::array<admission_queue, pool_count> m_queues{};
    vm_counts m_used{};
    /** @brief Slots in use by peers, as last reported. */
    vm_counts m_peers_used{};
    int m_overflow{0};
    run_time_histogram m_times{make_run_time_histogram(milliseconds{100})};

    [[nodiscard]] auto least_used(const std::size_t pool) const -> std::size_t
    {
        const auto used = [this](const std::size_t vm) {
            return m_used[vm] + m_peers_used[vm];
        };
        const auto vms = vms_of(pool, m_zone);
        const auto best = *std::min_element(
            vms.begin(), vms.end(), [&](const auto left, const auto right) { return used(left) < used(right); });
        return used(best) < slots_per_vm ? best : vm_count;
    }

    [[nodiscard]] auto can_overflow(const std::size_t pool) const -> bool
    {
        const auto slots = static_cast<int>(vms_of(spare_pool, m_zone).size()) * slots_per_vm;
        const auto waiting = static_cast<int>(m_queues[spare_pool].m_requests.size());
        return pool != spare_pool && is_overflow_allowed({slots, promised_slots(slots, promised_vms, vms_per_pool),
                                                          (m_overflow + 1) * m_sharers - 1, waiting});
    }

    auto dispatch(const std::size_t pool) -> void
    {
        while (const auto next = next_request(m_queues[pool], {})) {
            const auto number = static_cast<std::size_t>(next->m_number - 1);
            if (m_simulation.m_now + needed_time(m_times, deadline) >= m_simulation.m_jobs[number].m_deadline) {
                dequeue(m_queues[pool], next->m_number);
                m_simulation.record_outcome(number, outcome_kind::not_run);
                continue;
            }
            auto vm = least_used(pool);
            const auto overflows = vm == vm_count && can_overflow(pool);
            vm = overflows ? least_used(spare_pool) : vm;
            if (vm == vm_count) {
                return;
            }
            dequeue(m_queues[pool], next->m_number);
            ++m_used[vm];
            m_overflow += overflows ? 1 : 0;
            m_simulation.call(vm, number,
                              [this, place = *next, number, vm, pool, overflows](const attempt_outcome outcome) {
                                  --m_used[vm];
                                  m_overflow -= overflows ? 1 : 0;
                                  if (outcome == attempt_outcome::answered) {
                                      record_run_time(m_times, m_simulation.m_jobs[number].m_run_time);
                                      m_simulation.record_outcome(number, outcome_kind::answered);
                                  }
                                  else {
                                      // The upstream is full: its other slots count as used by peers until the next
                                      // gossip round.
                                      m_peers_used[vm] = slots_per_vm - m_used[vm];
                                      enqueue(m_queues[pool], place);
                                  }
                                  dispatch_all();
                              });
        }
    }

    auto dispatch_all() -> void
    {
        for (std::size_t pool = 0; pool < pool_count; ++pool) {
            dispatch(pool);
        }
    }

    auto arrive(const std::size_t number) -> void
    {
        const auto& entry = m_simulation.m_jobs[number];
        auto& waiting = m_queues[entry.m_pool];
        const queue_place place{!entry.m_urgent, entry.m_deadline, number + 1};
        const auto slots = static_cast<int>(vms_of(entry.m_pool, m_zone).size()) * slots_per_vm;
        const auto wait = estimated_wait(count_before(waiting, place), slots, m_times.m_mean);
        if (!waiting.m_requests.empty() && wait + needed_time(m_times, deadline) > deadline) {
            m_simulation.record_outcome(number, outcome_kind::not_run);
            return;
        }
        enqueue(waiting, {place, number + 1, 0, 0});
        dispatch(entry.m_pool);
    }
};

[[nodiscard]] auto make_gossip_policy(simulation& state) -> policy
{
    auto queues = std::make_shared<std::vector<entry_vm_queue>>();
    for (std::size_t entry = 0; entry < state.m_entries; ++entry) {
        queues->push_back({state, entry % zone_count, static_cast<int>(state.m_entries / zone_count)});
    }
    state.every(gossip_interval, [queues] {
        vm_counts all{};
        for (std::size_t place = 0; place < queues->size() * vm_count; ++place) {
            all[place % vm_count] += (*queues)[place / vm_count].m_used[place % vm_count];
        }
        for (auto& queue : *queues) {
            std::transform(all.begin(), all.end(), queue.m_used.begin(), queue.m_peers_used.begin(), std::minus<>{});
        }
        std::for_each(queues->begin(), queues->end(), [](entry_vm_queue& queue) { queue.dispatch_all(); });
    });
    return [&state, queues](const std::size_t number) {
        (*queues)[state.m_jobs[number].m_entry].arrive(number);
    };
}

[[nodiscard]] auto make_view(const std::size_t vms, const std::size_t pools, const std::size_t zones) -> fleet_view
{
    fleet_view view;
    for (std::size_t pool = 0; pool < pools; ++pool) {
        const pool_id name{std::to_string(pool)};
        const service_id service_name{std::to_string(pool)};
        view.m_pools[name] = {name, pool == pools - 1};
        view.m_services[service_name] = {service_name, name, promised_vms, deadline, 256, 0.1, milliseconds{100}, {}};
    }
    for (std::size_t vm = 0; vm < vms; ++vm) {
        vm_record record;
        record.m_vm = vm_id{std::to_string(vm)};
        record.m_availability_zone = availability_zone_id{std::to_string(vm % zones)};
        record.m_rack = rack_id{std::to_string(vm / 4)};
        record.m_pool = pool_id{std::to_string(vm * pools / vms)};
        view.m_vms[record.m_vm] = record;
    }
    return view;
}

/** @brief Entry VMs of all zones, each with a state of the production routing code. */
struct routed_simulation {
    simulation& m_simulation;
    std::vector<routing_state> m_states{};

    auto apply(const std::size_t entry, const routing_effects& effects) -> void
    {
        for (const auto& outcome : effects.m_outcomes) {
            m_simulation.record_outcome(std::stoul(outcome.m_request.str()), outcome.m_kind);
        }
        for (const auto& started : effects.m_starts) {
            const auto end = [this, entry, attempt = started.m_attempt](const attempt_outcome outcome) {
                apply(entry, complete(m_states[entry], attempt, outcome, m_simulation.m_now));
            };
            m_simulation.call(std::stoul(started.m_vm.str()), std::stoul(started.m_request.str()), end);
            m_simulation.after(started.m_timeout_at - m_simulation.m_now, [end] { end(attempt_outcome::timed_out); });
        }
        for (const auto& probe : effects.m_probes) {
            apply(entry, complete(m_states[entry], probe.m_attempt, attempt_outcome::answered, m_simulation.m_now));
        }
        for (const auto& message : effects.m_messages) {
            if (!std::bernoulli_distribution{message_loss}(m_simulation.m_random)) {
                m_simulation.after(latency, [this, message, peer = std::stoul(message.m_to.str())] {
                    apply(peer, receive(m_states[peer], message.m_message, m_simulation.m_now));
                });
            }
        }
    }
};

[[nodiscard]] auto make_routed_policy(simulation& state, const bool borrowing) -> policy
{
    auto routed = std::make_shared<routed_simulation>(routed_simulation{state});
    const auto view = make_view(vm_count, pool_count, zone_count);
    for (std::size_t entry = 0; entry < state.m_entries; ++entry) {
        const auto zone = entry % zone_count;
        std::vector<routing_peer> peers;
        for (auto peer = zone; peer < state.m_entries; peer += zone_count) {
            peers.push_back({entry_vm_id{std::to_string(peer)}, incarnation{1}});
        }
        auto& added =
            routed->m_states.emplace_back(routing_state{{entry_vm_id{std::to_string(entry)}, incarnation{1},
                                                         availability_zone_id{std::to_string(zone)}, borrowing}});
        std::ignore = apply_view(added, view, state.m_now);
        std::ignore = apply_peers(added, peers, state.m_now);
    }
    state.every(milliseconds{10}, [routed] {
        for (std::size_t entry = 0; entry < routed->m_states.size(); ++entry) {
            routed->apply(entry, tick(routed->m_states[entry], routed->m_simulation.m_now));
        }
    });
    return [&state, routed](const std::size_t number) {
        const auto& entry = state.m_jobs[number];
        const service_id service{std::to_string(entry.m_pool)};
        const routing_request request{
            request_id{std::to_string(number)}, service, {}, entry.m_urgent, entry.m_idempotent, entry.m_deadline};
        routed->apply(entry.m_entry, submit(routed->m_states[entry.m_entry], request, state.m_now));
    };
}

/** @brief Measures the decisions of one of three entry VMs, with about half of the requests waiting in a queue. */
auto measure_decisions(const std::size_t vms, const std::size_t pools) -> void
{
    routing_state state{{entry_vm_id{"a"}, incarnation{1}, availability_zone_id{"0"}}};
    const auto view = make_view(vms, pools, 1);
    time_point now{seconds{1}};
    std::ignore = apply_peers(state, {{entry_vm_id{"b"}, incarnation{1}}, {entry_vm_id{"c"}, incarnation{1}}}, now);
    std::ignore = apply_view(state, view, now);
    const auto view_start = std::clock();
    std::ignore = apply_view(state, view, now);
    const auto start = std::clock();
    std::queue<attempt_id> running;
    std::size_t decisions{0};
    const auto apply = [&](const routing_effects& effects) {
        ++decisions;
        std::for_each(effects.m_starts.begin(), effects.m_starts.end(),
                      [&](const start_attempt& started) { running.push(started.m_attempt); });
    };
    for (std::size_t number = 0; number < 200'000; ++number) {
        now += microseconds{20};
        const service_id service{std::to_string(number % pools)};
        apply(submit(
            state, {request_id{std::to_string(number)}, service, {}, number % 10 == 0, true, now + seconds{10}}, now));
        if (running.size() > vms * 2) {
            apply(complete(state, running.front(), attempt_outcome::answered, now));
            running.pop();
        }
        if (number % 500 == 0) {
            apply(tick(state, now));
        }
    }
    const auto cpu_us = [](const std::clock_t time) {
        return 1e6 * static_cast<double>(time) / CLOCKS_PER_SEC;
    };
    std::printf("%zu workers in %zu pools: %.2f us CPU per decision (%zu decisions), %.1f ms per unchanged view\n", vms,
                pools, cpu_us(std::clock() - start) / static_cast<double>(decisions), decisions,
                cpu_us(start - view_start) / 1e3);
}

} // namespace

// The optional first argument is the seed.
auto main(const int count, const char* const* arguments) -> int
{
    const auto seed = count > 1 ? static_cast<std::uint32_t>(std::stoul(arguments[1])) : default_seed;
    for (const std::size_t entries : {2 * zone_count, 3 * zone_count}) {
        std::printf("%zu entry VMs per zone, %zu zones\n%-24s %10s %9s %11s %10s %10s %6s\n", entries / zone_count,
                    zone_count, "policy", "goodput/s", "refused%", "rejected%", "urgent p50", "p99 ms", "wrong");
        run("choice of two", seed, entries, [](simulation& state) -> policy {
            auto choice = std::make_shared<power_of_two_choices>(power_of_two_choices{state});
            return [choice](const std::size_t number) {
                choice->send(number, 0);
            };
        });
        run("occupancy gossip", seed, entries, make_gossip_policy);
        run("disjoint shares", seed, entries, [](simulation& state) { return make_routed_policy(state, false); });
        run("shares with borrowing", seed, entries, [](simulation& state) { return make_routed_policy(state, true); });
        run("perfect global queue", seed, entries, [](simulation& state) -> policy {
            auto queue = std::make_shared<entry_vm_queue>(entry_vm_queue{state});
            state.every(seconds{1}, [queue] { queue->dispatch_all(); });
            return [queue](const std::size_t number) {
                queue->arrive(number);
            };
        });
    }
    measure_decisions(vm_count, pool_count);
    measure_decisions(15'000, 377);
}
