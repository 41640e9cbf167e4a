#include <cicadalug/membership/membership_state.hpp>

#include <algorithm>

namespace cicadalug {

namespace {

/** @brief Returns whether an entry of the table is that of the entry VM that owns the table. */
[[nodiscard]] auto is_self(const membership_state& state, const entry_vm_entry& entry) -> bool
{
    return entry.m_info.m_id == state.m_self;
}

/**
 * @brief Returns the factor by which the heartbeat timeouts of an entry VM are extended. An entry VM of another zone
 * sends to the entry VMs of this zone in round-robin order, so each of them receives its heartbeats less often than its
 * own zone does.
 */
[[nodiscard]] auto timeout_factor(const membership_state& state, const entry_vm_entry& entry) -> int
{
    const auto& own_zone = state.m_entry_vms.at(state.m_self).m_info.m_availability_zone;
    if (entry.m_info.m_availability_zone == own_zone) {
        return 1;
    }
    const auto receivers = std::count_if(state.m_entry_vms.begin(), state.m_entry_vms.end(), [&](const auto& item) {
        return item.second.m_info.m_availability_zone == own_zone;
    });
    return static_cast<int>(receivers) * static_cast<int>(zone_heartbeat_interval / heartbeat_interval);
}

[[nodiscard]] auto state_at(const membership_state& state, const entry_vm_entry& entry, const time_point now)
    -> entry_vm_state
{
    if (is_self(state, entry)) {
        return entry_vm_state::live;
    }
    if (entry.m_unlisted) {
        return entry_vm_state::gone;
    }
    if (entry.m_heartbeat.m_incarnation == incarnation{}) {
        return entry_vm_state::unreachable;
    }
    const auto elapsed = now - entry.m_last_heartbeat_time;
    const auto factor = timeout_factor(state, entry);
    if (elapsed >= unreachable_after * factor) {
        return entry_vm_state::unreachable;
    }
    return elapsed >= suspect_after * factor ? entry_vm_state::suspect : entry_vm_state::live;
}

/** @brief Updates the state of an entry for the current time and appends the change, if any. */
auto update_state(const membership_state& state, entry_vm_entry& entry, const time_point now, const incarnation ended,
                  std::vector<membership_change>& changes) -> void
{
    const auto before = entry.m_state;
    entry.m_state = state_at(state, entry, now);
    if (entry.m_state != before || ended != incarnation{}) {
        changes.push_back({entry.m_info.m_id, before, entry.m_state, ended});
    }
}

} // namespace

auto to_string(const entry_vm_state state) noexcept -> const char*
{
    switch (state) {
    case entry_vm_state::live:
        return "live";
    case entry_vm_state::suspect:
        return "suspect";
    case entry_vm_state::unreachable:
        return "unreachable";
    case entry_vm_state::gone:
        break;
    }
    return "gone";
}

auto make_membership(const entry_vm_id& self, const incarnation own_incarnation,
                     const std::vector<entry_vm_info>& configured) -> membership_state
{
    membership_state state{self, {}};
    for (const auto& info : configured) {
        entry_vm_entry entry;
        entry.m_info = info;
        state.m_entry_vms[info.m_id] = std::move(entry);
    }
    auto& own = state.m_entry_vms[self];
    own.m_info.m_id = self;
    own.m_state = entry_vm_state::live;
    own.m_heartbeat.m_id = self;
    own.m_heartbeat.m_availability_zone = own.m_info.m_availability_zone;
    own.m_heartbeat.m_incarnation = own_incarnation;
    return state;
}

auto apply_heartbeat(membership_state& state, const heartbeat& received, const time_point now)
    -> std::vector<membership_change>
{
    std::vector<membership_change> changes;
    const auto found = state.m_entry_vms.find(received.m_id);
    if (found == state.m_entry_vms.end() || is_self(state, found->second) || received.m_incarnation == incarnation{} ||
        received.m_availability_zone != found->second.m_info.m_availability_zone) {
        return changes;
    }
    auto& entry = found->second;
    const auto known = entry.m_heartbeat.m_incarnation;
    if (received.m_incarnation < known ||
        (received.m_incarnation == known && received.m_sequence <= entry.m_heartbeat.m_sequence)) {
        return changes;
    }
    const auto replaced = received.m_incarnation > known;
    if (replaced) {
        // A list without the earlier incarnation is not significant for this one.
        entry.m_unlisted = false;
        entry.m_was_listed = false;
    }
    entry.m_heartbeat = received;
    entry.m_last_heartbeat_time = now;
    update_state(state, entry, now, replaced ? known : incarnation{}, changes);
    return changes;
}

auto apply_vm_list(membership_state& state, const std::set<entry_vm_id>& listed, const time_point now)
    -> std::vector<membership_change>
{
    std::vector<membership_change> changes;
    for (auto& [id, entry] : state.m_entry_vms) {
        const auto present = listed.count(id) != 0;
        const auto was_unlisted = entry.m_unlisted;
        entry.m_was_listed = entry.m_was_listed || present;
        entry.m_unlisted = entry.m_was_listed && !present;
        const auto is_newly_unlisted = entry.m_unlisted && !was_unlisted && !is_self(state, entry);
        update_state(state, entry, now, is_newly_unlisted ? entry.m_heartbeat.m_incarnation : incarnation{}, changes);
    }
    return changes;
}

auto apply_timeouts(membership_state& state, const time_point now) -> std::vector<membership_change>
{
    std::vector<membership_change> changes;
    for (auto& [id, entry] : state.m_entry_vms) {
        update_state(state, entry, now, incarnation{}, changes);
    }
    return changes;
}

auto apply_pause(membership_state& state, const milliseconds pause) -> void
{
    for (auto& [id, entry] : state.m_entry_vms) {
        entry.m_last_heartbeat_time += pause;
    }
}

auto reachable_entry_vms(const membership_state& state, const availability_zone_id& zone) -> std::vector<entry_vm_id>
{
    std::vector<entry_vm_id> ids;
    for (const auto& [id, entry] : state.m_entry_vms) {
        if (entry.m_info.m_availability_zone == zone &&
            (entry.m_state == entry_vm_state::live || entry.m_state == entry_vm_state::suspect)) {
            ids.push_back(id);
        }
    }
    return ids;
}

auto entry_vms_not_removed(const membership_state& state, const availability_zone_id& zone) -> std::vector<entry_vm_id>
{
    std::vector<entry_vm_id> ids;
    for (const auto& [id, entry] : state.m_entry_vms) {
        if (entry.m_info.m_availability_zone == zone && entry.m_state != entry_vm_state::gone) {
            ids.push_back(id);
        }
    }
    return ids;
}

auto next_heartbeat_receiver(const membership_state& state, const availability_zone_id& zone,
                             const std::size_t sequence) -> entry_vm_id
{
    const auto candidates = entry_vms_not_removed(state, zone);
    return candidates.empty() ? entry_vm_id{} : candidates.at(sequence % candidates.size());
}

} // namespace cicadalug
