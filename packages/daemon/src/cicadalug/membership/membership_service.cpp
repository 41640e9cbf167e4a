#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/http/message.hpp>
#include <cicadalug/membership/membership_service.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <chrono>
#include <map>
#include <utility>

namespace cicadalug {

namespace asio = boost::asio;

namespace {

constexpr milliseconds tick_interval{100};
/** @brief A longer gap between two ticks means that the process was paused. */
constexpr milliseconds pause_limit{1'000};

[[nodiscard]] auto datagram_endpoint(const entry_vm_info& info) -> udp_endpoint
{
    findings ignored;
    const auto endpoint = parse_endpoint(info.m_datagram_address, info.m_id.str(), ignored);
    return {endpoint.address(), endpoint.port()};
}

[[nodiscard]] auto endpoints_of(const std::vector<entry_vm_info>& peers) -> std::map<entry_vm_id, udp_endpoint>
{
    std::map<entry_vm_id, udp_endpoint> endpoints;
    for (const auto& info : peers) {
        endpoints[info.m_id] = datagram_endpoint(info);
    }
    return endpoints;
}

[[nodiscard]] auto make_table(const entry_vm_info& own, std::vector<entry_vm_info> known, const incarnation started)
    -> membership_state
{
    known.push_back(own);
    return make_membership(own.m_id, started, known);
}

} // namespace

membership_service::membership_service(const asio::any_io_executor& executor, const entry_vm_info& own,
                                       const std::vector<entry_vm_info>& peers, const incarnation started)
    : m_executor{executor}, m_self{own.m_id}, m_zone{own.m_availability_zone},
      m_incarnation{started}, m_state{make_table(own, peers, started)}, m_socket{executor,
                                                                                 datagram_endpoint(own),
                                                                                 own.m_id,
                                                                                 started,
                                                                                 endpoints_of(peers),
                                                                                 [this](const datagram& message) {
                                                                                     receive(message);
                                                                                 }}
{
}

auto membership_service::start() -> void
{
    asio::co_spawn(m_executor, run(), asio::detached);
}

auto membership_service::run() -> asio::awaitable<void>
{
    asio::steady_timer timer{m_executor};
    m_last_tick = monotonic_now();
    while (true) {
        tick(monotonic_now());
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto membership_service::tick(const time_point now) -> void
{
    const auto gap = std::chrono::duration_cast<milliseconds>(now - m_last_tick);
    m_last_tick = now;
    std::vector<membership_change> changes;
    {
        const std::lock_guard lock{m_mutex};
        if (gap > pause_limit) {
            apply_pause(m_state, gap);
        }
        changes = apply_timeouts(m_state, now);
    }
    if (gap > pause_limit) {
        LOG(WARNING) << "event=process_paused ms=" << gap.count();
        for (const auto& function : m_pause_handlers) {
            function(gap);
        }
    }
    notify(changes);
    if (now >= m_next_zone_heartbeat) {
        m_next_zone_heartbeat = now + heartbeat_interval;
        send_zone_heartbeats();
    }
    if (now >= m_next_remote_heartbeat) {
        m_next_remote_heartbeat = now + zone_heartbeat_interval;
        send_remote_heartbeats();
    }
    for (const auto& function : m_tick_handlers) {
        function(now);
    }
}

auto membership_service::receive(const datagram& message) -> void
{
    if (const auto* received = std::get_if<heartbeat>(&message.m_body)) {
        if (received->m_id != message.m_sender || received->m_incarnation != message.m_incarnation) {
            return;
        }
        std::vector<membership_change> changes;
        {
            const std::lock_guard lock{m_mutex};
            changes = apply_heartbeat(m_state, *received, monotonic_now());
        }
        notify(changes);
    }
    for (const auto& function : m_datagram_handlers) {
        function(message);
    }
}

auto membership_service::notify(const std::vector<membership_change>& changes) -> void
{
    for (const auto& change : changes) {
        LOG(INFO) << "event=entry_vm_state entry_vm=" << change.m_id << " before=" << to_string(change.m_before)
                  << " after=" << to_string(change.m_after) << " gone_incarnation=" << change.m_ended_incarnation;
        for (const auto& function : m_change_handlers) {
            function(change);
        }
    }
}

auto membership_service::send_heartbeat(const entry_vm_id& to, const availability_zone_id& zone) -> void
{
    heartbeat sent;
    sent.m_id = m_self;
    sent.m_availability_zone = m_zone;
    sent.m_incarnation = m_incarnation;
    sent.m_sequence = ++m_sequence;
    if (m_heartbeat_source) {
        m_heartbeat_source(zone, sent);
    }
    m_socket.send(to, sent);
}

auto membership_service::send_zone_heartbeats() -> void
{
    for (const auto& [id, entry] : table().m_entry_vms) {
        if (id != m_self && entry.m_info.m_availability_zone == m_zone) {
            send_heartbeat(id, m_zone);
        }
    }
}

auto membership_service::next_heartbeat_receivers(const std::size_t rotation) const -> std::vector<entry_vm_info>
{
    const auto state = table();
    std::set<availability_zone_id> zones;
    for (const auto& [id, entry] : state.m_entry_vms) {
        if (entry.m_info.m_availability_zone != m_zone) {
            zones.insert(entry.m_info.m_availability_zone);
        }
    }
    std::vector<entry_vm_info> targets;
    for (const auto& zone : zones) {
        const auto target = next_heartbeat_receiver(state, zone, rotation);
        if (!target.empty()) {
            targets.push_back(state.m_entry_vms.at(target).m_info);
        }
    }
    return targets;
}

auto membership_service::send_remote_heartbeats() -> void
{
    for (const auto& target : next_heartbeat_receivers(m_rotation++)) {
        send_heartbeat(target.m_id, target.m_availability_zone);
    }
}

auto membership_service::table() const -> membership_state
{
    const std::lock_guard lock{m_mutex};
    return m_state;
}

auto membership_service::apply_platform_vm_list(const std::set<entry_vm_id>& listed) -> void
{
    asio::dispatch(m_executor, [this, listed] {
        std::vector<membership_change> changes;
        {
            const std::lock_guard lock{m_mutex};
            changes = apply_vm_list(m_state, listed, monotonic_now());
        }
        notify(changes);
    });
}

auto membership_service::send_to_zone(const datagram_body& body) -> void
{
    for (const auto& [id, entry] : table().m_entry_vms) {
        if (id != m_self && entry.m_info.m_availability_zone == m_zone && entry.m_state != entry_vm_state::gone) {
            m_socket.send(id, body);
        }
    }
}

auto membership_service::send_to_other_zones(const datagram_body& body) -> void
{
    const auto state = table();
    // The message is sent only once, so a live entry VM is chosen instead of the next one of the rotation.
    std::map<availability_zone_id, entry_vm_id> targets;
    for (const auto& [id, entry] : state.m_entry_vms) {
        if (entry.m_info.m_availability_zone != m_zone && entry.m_state == entry_vm_state::live) {
            targets.emplace(entry.m_info.m_availability_zone, id);
        }
    }
    for (const auto& [zone, id] : targets) {
        m_socket.send(id, body);
    }
}

} // namespace cicadalug
