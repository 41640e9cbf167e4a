#include <cicadalug/routing/overflow.hpp>
#include <cicadalug/routing/router.hpp>
#include <cicadalug/routing/routing_steps.hpp>

#include <algorithm>
#include <bit>
#include <limits>

namespace cicadalug {

namespace {

using namespace internal;

/** @brief Returns the table index of an id, adding an entry to the table if the id is new. */
template<typename Id, typename Entry>
[[nodiscard]] auto intern(id_numbers<Id>& numbers, std::vector<Entry>& table, const Id& id) -> std::uint32_t
{
    const auto [place, added] = numbers.try_emplace(id, static_cast<std::uint32_t>(table.size()));
    if (added) {
        table.emplace_back();
    }
    return place->second;
}

[[nodiscard]] auto intern_pool(routing_state& state, const pool_id& id) -> pool_index
{
    const auto number = intern(state.m_pool_numbers, state.m_pools, id);
    state.m_pools[number].m_id = id;
    return number;
}

/** @brief Initializes the members with this entry VM alone until the peers are known. */
auto ensure_members(routing_state& state) -> void
{
    if (state.m_members.m_hashes.empty()) {
        state.m_ledger.m_self = state.m_settings.m_self;
        state.m_ledger.m_incarnation = state.m_settings.m_incarnation;
        state.m_members = make_share_members({}, state.m_settings.m_self);
    }
}

auto apply_pools(routing_state& state, const fleet_view& view) -> void
{
    for (auto& pool : state.m_pools) {
        pool.m_spare = false;
        pool.m_all_members = 0;
        pool.m_promised_vms = 0;
        pool.m_serving = 0;
        pool.m_longest_deadline = milliseconds{0};
    }
    state.m_spare_pool.reset();
    for (const auto& [id, pool] : view.m_pools) {
        const auto number = intern_pool(state, id);
        state.m_pools[number].m_spare = pool.m_spare;
        if (pool.m_spare) {
            state.m_spare_pool = number;
        }
    }
}

/** @brief Moves the waiting requests of a service to the queue of its new pool. */
auto move_waiting_requests(routing_state& state, const service_index service, const pool_index pool) -> void
{
    for (auto& [number, live] : state.m_requests) {
        if (live.m_service == service && live.m_waiting) {
            auto& old = state.m_pools[live.m_pool];
            dequeue(old.m_queue, number);
            if (old.m_queue.m_requests.empty()) {
                state.m_waiting_pools.erase(live.m_pool);
            }
            --state.m_services[service].m_waiting;
            live.m_pool = pool;
            queue_request(state, number);
        }
    }
}

auto apply_services(routing_state& state, const fleet_view& view) -> void
{
    for (auto& service : state.m_services) {
        service.m_known = false;
    }
    for (const auto& [id, service] : view.m_services) {
        const auto pool = intern_pool(state, service.m_pool);
        const auto is_new = !state.m_service_numbers.contains(id);
        const auto number = intern(state.m_service_numbers, state.m_services, id);
        auto& entry = state.m_services[number];
        auto& pool_entry = state.m_pools[pool];
        if (is_new) {
            entry.m_run_time = make_run_time_histogram(service.m_declared_run_time);
        }
        if (pool_entry.m_run_time.m_total == 0) {
            pool_entry.m_run_time = make_run_time_histogram(service.m_declared_run_time);
        }
        entry.m_service = service;
        entry.m_known = true;
        if (!is_new && entry.m_pool != pool) {
            move_waiting_requests(state, number, pool);
        }
        entry.m_pool = pool;
        pool_entry.m_promised_vms += service.m_promised_vms;
        pool_entry.m_longest_deadline = std::max(pool_entry.m_longest_deadline, service.m_default_deadline);
    }
}

auto update_own_share(routing_state& state, const upstream_index upstream) -> void
{
    state.m_ledger.m_slots[upstream].m_owned =
        own_share(state.m_members, state.m_ledger.m_vms[upstream], state.m_upstreams[upstream].m_slot_count);
}

/** @brief Removes an upstream from its pool, the counts of the pool, and its rack. */
auto detach_upstream(routing_state& state, const upstream_index upstream) -> void
{
    auto& entry = state.m_upstreams[upstream];
    entry.m_serving = false;
    refresh_upstream(state, upstream);
    std::erase(state.m_pools[entry.m_pool].m_upstreams, upstream);
    std::erase(state.m_racks[entry.m_rack], upstream);
}

auto apply_vm(routing_state& state, const vm_record& record, const bool leaving) -> void
{
    const auto pool = intern_pool(state, record.m_pool);
    const auto rack = intern(state.m_rack_numbers, state.m_racks, record.m_rack);
    const auto upstream = intern_upstream(state.m_ledger, record.m_vm);
    const auto is_new = upstream == state.m_upstreams.size();
    if (is_new) {
        state.m_upstreams.emplace_back();
        state.m_places.emplace_back();
    }
    auto& entry = state.m_upstreams[upstream];
    if (is_new || entry.m_slot_count < 0 || entry.m_pool != pool || entry.m_rack != rack) {
        if (!is_new && entry.m_slot_count >= 0) {
            detach_upstream(state, upstream);
        }
        entry.m_pool = pool;
        entry.m_rack = rack;
        state.m_pools[pool].m_upstreams.push_back(upstream);
        state.m_racks[rack].push_back(upstream);
    }
    if (entry.m_slot_count != record.m_slots) {
        entry.m_slot_count = std::max(0, record.m_slots);
        update_own_share(state, upstream);
    }
    entry.m_serving = accepts_new_work(record) && !leaving;
    state.m_pools[pool].m_serving += entry.m_serving ? 1 : 0;
}

auto apply_vms(routing_state& state, const fleet_view& view) -> void
{
    std::vector<bool> seen(state.m_upstreams.size(), false);
    for (const auto& [id, record] : view.m_vms) {
        if (record.m_availability_zone == state.m_settings.m_availability_zone) {
            apply_vm(state, record, view.m_leaving.contains(id));
            const auto upstream = state.m_ledger.m_indices.find(id)->second;
            if (upstream < seen.size()) {
                seen[upstream] = true;
            }
        }
        ++state.m_pools[intern_pool(state, record.m_pool)].m_all_members;
    }
    for (upstream_index upstream = 0; upstream < seen.size(); ++upstream) {
        auto& entry = state.m_upstreams[upstream];
        if (!seen[upstream] && entry.m_slot_count >= 0) {
            detach_upstream(state, upstream);
            // Marks an upstream that is in no pool. It keeps its index, because attempts may still refer to it.
            entry.m_slot_count = -1;
        }
    }
}

auto apply_teams(routing_state& state, const fleet_view& view) -> void
{
    // Index 0 stands for requests without a quota.
    if (state.m_team_shares.empty()) {
        state.m_team_shares.push_back(1.0);
    }
    std::fill(state.m_team_shares.begin(), state.m_team_shares.end(), 1.0);
    for (const auto& [id, team] : view.m_teams) {
        state.m_team_shares[intern(state.m_team_numbers, state.m_team_shares, id)] = team.m_share;
    }
}

/** @brief Computes the part of the spare pool's promised capacity that falls on the own share. */
auto update_spare_pool(routing_state& state) -> void
{
    auto& pool = state.m_pools[*state.m_spare_pool];
    auto before = 0;
    auto all = 0;
    auto members = state.m_members;
    for (const auto member : state.m_members.m_hashes) {
        members.m_self = member;
        for (const auto upstream : pool.m_upstreams) {
            const auto slots = std::popcount(
                own_share(members, state.m_ledger.m_vms[upstream], state.m_upstreams[upstream].m_slot_count));
            all += slots;
            before += member < state.m_members.m_self ? slots : 0;
        }
    }
    pool.m_promised_slots =
        promised_share(before, pool.m_share_slots, all, promised_slots(all, pool.m_promised_vms, pool.m_all_members));
}

/** @brief Updates everything that depends on the own share or on the members of the pools. */
auto update_pools(routing_state& state, const time_point now) -> void
{
    for (pool_index number = 0; number < state.m_pools.size(); ++number) {
        auto& pool = state.m_pools[number];
        pool.m_share_slots = 0;
        for (const auto upstream : pool.m_upstreams) {
            pool.m_share_slots += std::popcount(state.m_ledger.m_slots[upstream].m_owned);
        }
        pool.m_teams.m_in_use.resize(state.m_team_shares.size(), 0);
        pool.m_teams.m_quota.resize(state.m_team_shares.size());
        for (std::size_t team = 0; team < state.m_team_shares.size(); ++team) {
            const auto share = state.m_team_shares[team];
            pool.m_teams.m_quota[team] = share >= 1.0 ? std::numeric_limits<int>::max()
                                                      : std::max(1, static_cast<int>(share * pool.m_share_slots));
        }
        update_ejections(state, number, now);
    }
    if (state.m_spare_pool) {
        update_spare_pool(state);
    }
}

auto dispatch_all(routing_state& state, const time_point now, routing_effects& effects) -> void
{
    const std::vector<pool_index> waiting{state.m_waiting_pools.begin(), state.m_waiting_pools.end()};
    for (const auto pool : waiting) {
        dispatch_pool(state, pool, now, effects);
    }
    state.m_freed_pools.clear();
}

} // namespace

auto apply_view(routing_state& state, const fleet_view& view, const time_point now) -> routing_effects
{
    routing_effects effects;
    ensure_members(state);
    apply_pools(state, view);
    apply_services(state, view);
    apply_vms(state, view);
    apply_teams(state, view);
    update_pools(state, now);
    dispatch_all(state, now, effects);
    return effects;
}

auto apply_peers(routing_state& state, const std::vector<routing_peer>& peers, const time_point now) -> routing_effects
{
    routing_effects effects;
    ensure_members(state);
    state.m_peers.clear();
    std::vector<entry_vm_id> live;
    for (const auto& peer : peers) {
        if (peer.m_id != state.m_settings.m_self) {
            state.m_peers[peer.m_id] = peer.m_incarnation;
            live.push_back(peer.m_id);
        }
    }
    state.m_members = make_share_members(live, state.m_settings.m_self);
    for (upstream_index upstream = 0; upstream < state.m_upstreams.size(); ++upstream) {
        update_own_share(state, upstream);
    }
    for (const auto key : drop_orphaned_loans(state.m_ledger, state.m_peers)) {
        refresh_upstream(state, key.m_upstream);
    }
    update_pools(state, now);
    dispatch_all(state, now, effects);
    return effects;
}

auto in_flight(const routing_state& state, const vm_id& vm) -> int
{
    const auto found = state.m_ledger.m_indices.find(vm);
    return found == state.m_ledger.m_indices.end() ? 0 : state.m_upstreams[found->second].m_running;
}

auto ejected_vms(const routing_state& state) -> std::vector<vm_id>
{
    std::vector<vm_id> vms;
    for (upstream_index index = 0; index < state.m_upstreams.size(); ++index) {
        if (state.m_upstreams[index].m_ejected) {
            vms.push_back(state.m_ledger.m_vms[index]);
        }
    }
    return vms;
}

auto pool_usages(const routing_state& state) -> std::vector<pool_usage>
{
    std::vector<pool_usage> usages;
    for (const auto& pool : state.m_pools) {
        usages.push_back(
            {pool.m_id, pool.m_slots, pool.m_slots - pool.m_free, static_cast<int>(pool.m_queue.m_requests.size())});
    }
    return usages;
}

} // namespace cicadalug
