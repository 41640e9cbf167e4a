#include <cicadalug/entry_vm/request_wiring.hpp>
#include <cicadalug/membership/drain_reporter.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace cicadalug {

namespace {

constexpr milliseconds drain_report_interval{250};
/**
 * @brief Maximum size of the pool usages in a heartbeat, in bytes; the most loaded pools are sent first. Two heartbeats
 * per second to each of three peers then take at most 4 KB/s of the 7 KB/s budget of control traffic.
 */
constexpr std::size_t max_usage_bytes{450};
/** @brief Bytes of a pool usage in addition to the name of the pool. */
constexpr std::size_t usage_entry_overhead{4};

[[nodiscard]] auto per_mille(const pool_usage& usage) -> std::uint16_t
{
    constexpr int highest{65'535};
    const auto used = static_cast<std::int64_t>(usage.m_in_use + usage.m_waiting) * 1'000;
    return static_cast<std::uint16_t>(std::min<std::int64_t>(used / std::max(1, usage.m_slots), highest));
}

} // namespace

request_wiring::request_wiring(const boost::asio::any_io_executor& executor, request_path& requests,
                               replica& local_replica, membership_service& members)
    : m_executor{executor}, m_requests{requests}, m_replica{local_replica}, m_members{members}
{
    m_requests.on_slot_message([this](const entry_vm_id& to, const slot_message& message) {
        std::visit([&](const auto& body) { m_members.send(to, body); }, message);
    });
    m_replica.subscribe([this](const auto& /*view*/, const auto& /*changed*/) {
        boost::asio::post(m_executor, [this] { apply_view(); });
    });
    m_members.on_datagram([this](const datagram& message) { receive(message); });
    m_members.on_change([this](const membership_change& /*change*/) { apply_peers(); });
    m_members.on_tick([this](const time_point now) { report_drained(now); });
}

auto request_wiring::apply_view() -> void
{
    // Always applies the newest view, so that the order of two posted calls does not matter.
    auto view = m_replica.view();
    if (m_replica.loaded() && view != m_applied) {
        m_requests.apply_view(view);
        m_applied = std::move(view);
    }
}

auto request_wiring::apply_peers() -> void
{
    std::vector<peer_entry_vm> peers;
    for (const auto& [id, entry] : m_members.table().m_entry_vms) {
        findings ignored;
        const auto has_shares = entry.m_state == entry_vm_state::live || entry.m_state == entry_vm_state::suspect;
        peers.push_back({id, entry.m_info.m_availability_zone, entry.m_heartbeat.m_incarnation,
                         parse_endpoint(entry.m_info.m_address, id.str(), ignored), has_shares});
    }
    m_requests.apply_peers(peers);
}

auto request_wiring::receive(const datagram& message) -> void
{
    m_requests.record_contact();
    if (const auto* request = std::get_if<slot_request>(&message.m_body)) {
        m_requests.receive(*request);
    }
    else if (const auto* grant = std::get_if<slot_grant>(&message.m_body)) {
        m_requests.receive(*grant);
    }
    else if (const auto* returned = std::get_if<slot_return>(&message.m_body)) {
        m_requests.receive(*returned);
    }
    else if (const auto* confirmed = std::get_if<drain_report>(&message.m_body);
             confirmed != nullptr && m_drained_handler) {
        m_drained_handler(message.m_sender, message.m_incarnation, *confirmed);
    }
}

auto request_wiring::report_drained(const time_point now) -> void
{
    if (!m_applied || now < m_next_report) {
        return;
    }
    m_next_report = now + drain_report_interval;
    const auto messages =
        make_drain_confirmations(*m_applied, [this](const vm_id& vm) { return m_requests.in_flight(vm); });
    const auto table = m_members.table();
    for (const auto& message : messages) {
        // Sent to all entry VMs of the zone, because the sender may not know the control holder yet.
        m_members.send_to_zone(message);
        if (m_drained_handler) {
            m_drained_handler(table.m_self, m_members.own_incarnation(), message);
        }
    }
}

auto request_wiring::needed_vms() const -> std::map<pool_id, int>
{
    std::map<pool_id, std::int64_t> load;
    for (const auto& usage : m_requests.usages()) {
        load[usage.m_pool] += per_mille(usage);
    }
    std::int64_t entry_vms{1};
    const auto table = m_members.table();
    const auto& zone = table.m_entry_vms.at(table.m_self).m_info.m_availability_zone;
    for (const auto& [id, entry] : table.m_entry_vms) {
        if (id == table.m_self || entry.m_state != entry_vm_state::live || entry.m_info.m_availability_zone != zone) {
            continue;
        }
        ++entry_vms;
        for (const auto& usage : entry.m_heartbeat.m_pool_loads) {
            load[usage.m_pool] += usage.m_per_mille;
        }
    }
    std::map<pool_id, std::int64_t> serving;
    for (const auto& [id, record] : m_replica.view()->m_vms) {
        serving[record.m_pool] += accepts_new_work(record) ? 1 : 0;
    }
    std::map<pool_id, int> needed;
    for (const auto& [pool, sum] : load) {
        const auto full_load = entry_vms * 1'000;
        needed[pool] = static_cast<int>((sum * serving[pool] + full_load - 1) / full_load);
    }
    return needed;
}

auto request_wiring::fill_heartbeat(heartbeat& filled) const -> void
{
    auto usages = m_requests.usages();
    std::sort(usages.begin(), usages.end(),
              [](const auto& left, const auto& right) { return per_mille(left) > per_mille(right); });
    std::size_t used = 0;
    for (const auto& usage : usages) {
        used += usage.m_pool.str().size() + usage_entry_overhead;
        if (used > max_usage_bytes || per_mille(usage) == 0) {
            break;
        }
        filled.m_pool_loads.push_back({usage.m_pool, per_mille(usage)});
    }
}

} // namespace cicadalug
