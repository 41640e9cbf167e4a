#include <cicadalug/fleet/budget.hpp>
#include <cicadalug/fleet/planner.hpp>
#include <cicadalug/fleet/zone_control_step.hpp>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

// Compares the planner and its waves with two baselines, then measures the cost of a control step.

namespace {

using namespace cicadalug;

constexpr int pools = 5;
constexpr int vms_per_pool = 10;
constexpr int promised_vms = 8;
constexpr seconds drain_time{30};
constexpr seconds reboot_time{120};
constexpr seconds horizon{4 * 3'600};
constexpr seconds wave_start{1'800};
constexpr seconds surge_length{10};
constexpr seconds surge_interval{120};
/**
 * @brief Demand during a surge and between surges, as a fraction of a pool. A pool surges for 10 s in every 600 s, so
 * the mean is about 3 % of the pool, except for the pool whose demand grows permanently in the second half.
 */
constexpr double surge_demand = 1.25;
constexpr double base_demand = 0.0125;

enum class strategy : std::uint8_t { planned, fixed_reserve, greedy };

struct deployment {
    const char* m_name;
    int m_zones;
    planning_policy m_policy;
};

struct benchmark_result {
    double m_buffer_vms{0.0};
    double m_roll_out_s{0.0};
    std::uint64_t m_moves{0};
    int m_violations{0};
    double m_moving_vms{0.0};
    double m_unserved_vm_s{0.0};
    std::uint64_t m_writes{0};
};

[[nodiscard]] auto pool_name(const int index) -> pool_id
{
    return pool_id{index == 0 ? "spare" : "pool-" + std::to_string(index)};
}

[[nodiscard]] auto make_service(const int index, const int promised) -> service
{
    service made;
    made.m_id = service_id{"service-" + std::to_string(index)};
    made.m_pool = pool_name(index);
    made.m_promised_vms = promised;
    return made;
}

/**
 * @brief One zone: its control state, its part of the VM list of the platform, the times at which VMs were announced,
 * and the times at which their reboots end.
 */
struct zone_model {
    zone_control_state m_state;
    std::map<vm_id, listed_vm> m_listed;
    std::map<vm_id, std::pair<version, time_point>> m_announced;
    std::map<vm_id, time_point> m_booted_at;
    planner_state m_planner;
    std::map<vm_id, pool_id> m_moves;
};

class fleet_model {
public:
    fleet_model(const deployment& deployed, const strategy chosen) : m_deployment{deployed}, m_strategy{chosen}
    {
        for (int index = 0; index < pools; ++index) {
            m_view.m_pools.emplace(pool_name(index), pool{pool_name(index), index == 0});
            const auto made = make_service(index, promised_vms);
            m_view.m_services.emplace(made.m_id, made);
        }
        m_zones.resize(static_cast<std::size_t>(deployed.m_zones));
        for (std::size_t zone = 0; zone < m_zones.size(); ++zone) {
            m_zones[zone].m_state.m_availability_zone = availability_zone_id{"z" + std::to_string(zone)};
        }
        for (int number = 0; number < pools * vms_per_pool; ++number) {
            auto& zone = m_zones[static_cast<std::size_t>(number / pools) % m_zones.size()];
            listed_vm listed;
            listed.m_vm = vm_id{"vm-" + std::to_string(number)};
            listed.m_availability_zone = zone.m_state.m_availability_zone;
            listed.m_rack = rack_id{"rack-" + std::to_string(number / 4)};
            listed.m_pool = pool_name(number % pools);
            zone.m_listed.emplace(listed.m_vm, listed);
        }
    }

    [[nodiscard]] auto run() -> benchmark_result
    {
        for (m_now = time_point{}; m_now < time_point{horizon}; m_now += seconds{1}) {
            if (m_now == time_point{wave_start}) {
                start_wave();
            }
            for (auto& zone : m_zones) {
                step(zone);
            }
            observe();
            if (m_result.m_roll_out_s == 0.0 && m_now > time_point{wave_start} && wave_has_ended()) {
                m_result.m_roll_out_s = std::chrono::duration<double>(m_now - time_point{wave_start}).count();
            }
        }
        m_result.m_buffer_vms /= static_cast<double>(horizon.count());
        m_result.m_moving_vms /= static_cast<double>(horizon.count());
        return m_result;
    }

private:
    auto start_wave() -> void
    {
        wave all;
        all.m_id = wave_id{"night"};
        for (int index = 0; index < pools; ++index) {
            all.m_pools.push_back(pool_name(index));
        }
        all.m_batch_limit = m_strategy == strategy::planned ? 0 : 1;
        m_view.m_waves.emplace(all.m_id, all);
    }

    [[nodiscard]] auto wave_has_ended() const -> bool
    {
        return std::all_of(m_zones.begin(), m_zones.end(), [](const auto& zone) {
            const auto& waves = zone.m_state.m_waves;
            return !waves.empty() && waves.begin()->second.m_value.m_finished;
        });
    }

    /** @brief Returns the demand of a pool as a fraction of its original size. The pools surge one after the other. */
    [[nodiscard]] auto demand(const int index) const -> double
    {
        const auto in_turn = m_now.time_since_epoch() % (surge_interval * pools) - surge_interval * index;
        if (in_turn >= seconds{0} && in_turn < surge_length) {
            return surge_demand;
        }
        // One queue grows permanently in the second half.
        return index == 1 && m_now > time_point{horizon / 2} ? 1.0 : base_demand;
    }

    [[nodiscard]] static auto members(const zone_model& zone, const pool_id& pool) -> int
    {
        int count = 0;
        for (const auto& [number, shard] : zone.m_state.m_shards) {
            for (const auto& [id, record] : shard.m_value.m_vms) {
                count += record.m_pool == pool ? 1 : 0;
            }
        }
        return count;
    }

    [[nodiscard]] auto needed(const int index) const -> double
    {
        return demand(index) * vms_per_pool / m_deployment.m_zones;
    }

    [[nodiscard]] auto demand_of(const zone_model& zone, const int index) const -> pool_demand
    {
        const auto ledger = zone.m_state.m_ledgers.find(make_service(index, 0).m_id);
        const auto spare = ledger == zone.m_state.m_ledgers.end() ? 0 : std::max(0, spare_vms(ledger->second.m_value));
        return {needed(index), members(zone, pool_name(index)), spare, promised_vms / m_deployment.m_zones};
    }

    auto plan(zone_model& zone) -> void
    {
        std::map<pool_id, pool_demand> others;
        for (int index = 1; index < pools; ++index) {
            others.emplace(pool_name(index), demand_of(zone, index));
        }
        const auto spare = demand_of(zone, 0);
        move_plan moves;
        if (m_strategy == strategy::planned) {
            moves = plan_moves(zone.m_planner, others, pool_name(0), spare, m_deployment.m_policy, m_now);
            m_result.m_buffer_vms += std::max(0, moves.m_spare_size - spare.m_promised);
        }
        else if (m_strategy == strategy::greedy) {
            moves = plan_greedily(others, spare);
        }
        else {
            // Each pool has its own reserve for the highest surge.
            m_result.m_buffer_vms += pools * std::ceil((surge_demand - 1.0) * vms_per_pool / m_deployment.m_zones);
        }
        std::map<vm_id, const vm_record*> vms;
        for (const auto& [number, shard] : zone.m_state.m_shards) {
            for (const auto& [id, record] : shard.m_value.m_vms) {
                vms.emplace(id, &record);
            }
        }
        zone.m_moves = choose_moves(zone.m_planner, moves, vms, m_now);
    }

    /** @brief Plans moves of VMs to each surging pool, and back after the surge. */
    auto plan_greedily(const std::map<pool_id, pool_demand>& others, const pool_demand& spare) -> move_plan
    {
        move_plan moves;
        const auto original = 1.0 * vms_per_pool / m_deployment.m_zones;
        for (const auto& [id, pool] : others) {
            const auto missing = static_cast<int>(std::ceil(pool.m_needed)) - pool.m_members;
            if (missing > 0 && spare.m_movable > 0) {
                moves.m_transfers.push_back({pool_name(0), id, std::min(missing, spare.m_movable)});
            }
            else if (pool.m_members > std::ceil(std::max(original, pool.m_needed))) {
                moves.m_transfers.push_back({id, pool_name(0), 1});
            }
        }
        m_result.m_buffer_vms += std::ceil((surge_demand - 1.0) * original);
        return moves;
    }

    auto step(zone_model& zone) -> void
    {
        plan(zone);
        simulate_vms(zone);
        zone_control_inputs inputs;
        inputs.m_view = &m_view;
        inputs.m_listed = zone.m_listed;
        inputs.m_entry_vms = {{entry_vm_id{"e"}, incarnation{1}, false}};
        inputs.m_moves = zone.m_moves;
        for (int index = 0; index < pools; ++index) {
            const auto required = static_cast<int>(std::ceil(needed(index) - 0.001));
            inputs.m_needed_vms[pool_name(index)] = std::min(required, members(zone, pool_name(index)));
        }
        for (const auto& [key, entry] : m_store) {
            std::ignore = apply_change(zone.m_state, key, entry.first, entry.second);
        }
        // If another zone wrote a ledger in the same second, the ledger is read again and the write is retried in the
        // next one.
        auto effects = zone_control_step(zone.m_state, inputs, m_now);
        for (const auto& write : effects.m_writes) {
            ++m_result.m_writes;
            auto& held = m_store[write.m_key];
            if (held.first == write.m_expected) {
                held = {version{++m_revision}, write.m_value};
            }
            std::ignore = apply_value(zone.m_state, write.m_key, held.first, held.second);
        }
        for (const auto& request : effects.m_reboots) {
            zone.m_booted_at.try_emplace(request.m_vm, m_now + reboot_time);
        }
    }

    auto simulate_vms(zone_model& zone) -> void
    {
        for (const auto& [number, shard] : zone.m_state.m_shards) {
            for (const auto& [id, record] : shard.m_value.m_vms) {
                if (record.m_phase == vm_phase::announced) {
                    auto& seen = zone.m_announced[id];
                    if (seen.first != record.m_announcement) {
                        seen = {record.m_announcement, m_now};
                    }
                    const drain_confirmation drained{entry_vm_id{"e"}, incarnation{1}, id, record.m_announcement};
                    if (m_now - seen.second >= drain_time) {
                        receive_confirmation(zone.m_state.m_confirmations, drained);
                    }
                }
            }
        }
        std::erase_if(zone.m_booted_at, [&](const auto& item) {
            const auto over = item.second <= m_now;
            zone.m_listed[item.first].m_boot += over ? 1 : 0;
            return over;
        });
    }

    auto observe() -> void
    {
        double free = 0.0;
        double overflow = 0.0;
        m_result.m_moves = 0;
        for (const auto& zone : m_zones) {
            for (int index = 0; index < pools; ++index) {
                int serving = 0;
                for (const auto& [number, shard] : zone.m_state.m_shards) {
                    for (const auto& [id, record] : shard.m_value.m_vms) {
                        m_result.m_moves += index == 0 ? record.m_generation : 0;
                        m_result.m_moving_vms += index == 0 && !record.m_target_pool.empty() ? 1.0 : 0.0;
                        serving += record.m_pool == pool_name(index) && accepts_new_work(record) ? 1 : 0;
                    }
                }
                const auto left = serving - needed(index);
                overflow += std::max(0.0, -left);
                free += index == 0 ? std::max(0.0, left) : 0.0;
            }
        }
        m_result.m_unserved_vm_s += std::max(0.0, overflow - free);
        for (const auto& [key, entry] : m_store) {
            if (key.starts_with("budget/") && m_now > time_point{seconds{30}}) {
                const auto ledger = parse_budget_ledger(entry.second);
                m_result.m_violations += spare_vms(ledger.assume_value()) < 0 ? 1 : 0;
            }
        }
    }

    deployment m_deployment;
    strategy m_strategy;
    fleet_view m_view;
    std::vector<zone_model> m_zones;
    std::map<std::string, std::pair<version, nlohmann::json>> m_store;
    std::uint64_t m_revision{0};
    time_point m_now;
    benchmark_result m_result;
};

auto compare(const deployment& deployed) -> void
{
    const auto rounds = static_cast<double>(vms_per_pool) / (vms_per_pool - promised_vms);
    const auto bound = std::ceil(rounds) * static_cast<double>((drain_time + reboot_time).count());
    std::printf("%s: roll-out bound %.0f s\n", deployed.m_name, bound);
    const std::pair<strategy, const char*> all[]{
        {strategy::planned, "planned"}, {strategy::fixed_reserve, "fixed reserve"}, {strategy::greedy, "greedy"}};
    for (const auto& [chosen, name] : all) {
        const auto result = fleet_model{deployed, chosen}.run();
        std::printf(
            "  %-14s buffer %5.2f + %.2f moving VMs  roll-out %5.0f s (%.2f of bound)  moves %4llu  violations %d  "
            "unserved %6.0f VM*s  writes %llu\n",
            name, result.m_buffer_vms, result.m_moving_vms, result.m_roll_out_s, result.m_roll_out_s / bound,
            static_cast<unsigned long long>(result.m_moves), result.m_violations, result.m_unserved_vm_s,
            static_cast<unsigned long long>(result.m_writes));
    }
}

[[nodiscard]] auto heap_kb() -> std::size_t
{
    return mallinfo2().uordblks / 1'024;
}

/** @brief Measures one zone that contains all workers: steps without work, then the steps of a wave. */
auto measure_step(const int workers) -> void
{
    const auto before = heap_kb();
    fleet_view view;
    zone_control_state state;
    state.m_availability_zone = availability_zone_id{"z"};
    zone_control_inputs inputs;
    inputs.m_view = &view;
    inputs.m_listed.emplace();
    inputs.m_entry_vms = {{entry_vm_id{"e"}, incarnation{1}, false}};
    wave all;
    all.m_id = wave_id{"w"};
    for (int number = 0; number < workers; ++number) {
        const auto index = number / 40;
        listed_vm listed;
        listed.m_vm = vm_id{"vm-" + std::to_string(number)};
        listed.m_availability_zone = state.m_availability_zone;
        listed.m_rack = rack_id{"rack-" + std::to_string(number / 4)};
        listed.m_pool = pool_name(index);
        inputs.m_listed->emplace(listed.m_vm, listed);
        if (view.m_pools.emplace(listed.m_pool, pool{listed.m_pool}).second) {
            all.m_pools.push_back(listed.m_pool);
            const auto made = make_service(index, 30);
            view.m_services.emplace(made.m_id, made);
        }
    }
    std::uint64_t revision = 0;
    std::size_t writes = 0;
    time_point now;
    const auto step = [&] {
        const auto start = std::clock();
        const auto effects = zone_control_step(state, inputs, now += milliseconds{500});
        const auto spent = 1'000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
        for (const auto& write : effects.m_writes) {
            ++writes;
            std::ignore = apply_value(state, write.m_key, version{++revision}, write.m_value);
        }
        return spent;
    };
    step(), step(), step(), step();
    writes = 0;
    double idle = 0.0;
    for (int count = 0; count < 20; ++count) {
        idle += step() / 20;
    }
    view.m_waves.emplace(all.m_id, all);
    const auto busiest = std::max({step(), step(), step(), step()});
    std::printf("  %6d workers: idle step %.3f ms; busiest step of a wave %.3f ms, %zu writes in 4 steps; "
                "memory %zu KB\n",
                workers, idle, busiest, writes, heap_kb() - before);
}

} // namespace

auto main() -> int
{
    compare({"co-operative, 3 zones, roll-out weighs most", 3, {1.0, 4.0, 1.0}});
    compare({"samahang, 4 zones, moves weigh most", 4, {1.0, 1.0, 4.0}});
    compare({"co-operative, 3 zones, moves weigh most", 3, {1.0, 1.0, 4.0}});
    compare({"samahang, 4 zones, roll-out weighs most", 4, {1.0, 4.0, 1.0}});
    std::printf("one control step, all workers in one zone\n");
    for (const auto workers : {50, 500, 5'000, 15'000}) {
        measure_step(workers);
    }
}
