#include <cicadalug/http/http_connection.hpp>
#include <cicadalug/replication/change_sender.hpp>
#include <cicadalug/replication/peer_sync.hpp>
#include <cicadalug/replication/snapshot.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Time between two attempts to load the configuration at startup. */
constexpr milliseconds load_retry_interval{500};
/** @brief Time for a peer to respond at startup; after it the next peer is tried. */
constexpr milliseconds load_timeout{500};
constexpr milliseconds transfer_timeout{5'000};
/**
 * @brief Score of digest differences at which entries are transferred. A heartbeat with the same difference as the last
 * one scores 2, one with another difference scores 1. A change that is still in transit thus causes no transfer, and
 * replicas that change all the time are still reconciled.
 */
constexpr int transfer_threshold{4};

} // namespace

peer_sync::peer_sync(const asio::any_io_executor& executor, platform_client& platform, replica& local_replica,
                     membership_service& members, const availability_zone_id& zone)
    : m_executor{executor}, m_platform{platform}, m_replica{local_replica}, m_members{members}, m_zone{zone}
{
}

auto peer_sync::scope_for(const availability_zone_id& zone) const -> replica_scope
{
    return zone == m_zone ? replica_scope::zone : replica_scope::resources;
}

auto peer_sync::fill_heartbeat(const availability_zone_id& receiver_zone, heartbeat& filled) const -> void
{
    filled.m_applied = m_replica.highest();
    filled.m_digest = fold(m_replica.digest(scope_for(receiver_zone)));
}

auto peer_sync::load() -> asio::awaitable<void>
{
    asio::steady_timer timer{m_executor};
    while (!m_replica.loaded()) {
        // Loading from a peer of the own zone saves platform calls and includes the VM records; a peer of another zone
        // does not have these records.
        auto done = co_await load_from_peers(true);
        if (!done) {
            done = co_await load_from_platform();
        }
        if (!done) {
            done = co_await load_from_peers(false);
        }
        if (done) {
            m_replica.set_loaded();
            LOG(INFO) << "event=configuration_loaded version=" << m_replica.highest();
            co_return;
        }
        timer.expires_after(load_retry_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto peer_sync::load_from_peers(const bool own_zone) -> asio::awaitable<bool>
{
    const auto table = m_members.table();
    for (const auto& [id, entry] : table.m_entry_vms) {
        if (id != table.m_self && (entry.m_info.m_availability_zone == m_zone) == own_zone) {
            const auto done = co_await fetch(id, "above=0", load_timeout);
            if (done) {
                co_return true;
            }
        }
    }
    co_return false;
}

auto peer_sync::load_from_platform() -> asio::awaitable<bool>
{
    const std::array<std::string, 2> prefixes{std::string{resource_prefix}, fleet_prefix(m_zone)};
    for (const auto& prefix : prefixes) {
        const auto read = co_await m_platform.range(prefix);
        if (!read) {
            co_return false;
        }
        std::vector<versioned_entry> entries;
        for (const auto& entry : read.assume_value().m_entries) {
            entries.push_back({entry.m_key, {entry.m_version, entry.m_value, entry.m_deleted}});
        }
        m_replica.merge_full_read(prefix, read.assume_value().m_revision, entries);
    }
    co_return true;
}

auto peer_sync::fetch(const entry_vm_id peer, const std::string query, const milliseconds timeout)
    -> asio::awaitable<bool>
{
    const auto table = m_members.table();
    const auto known = table.m_entry_vms.find(peer);
    findings found;
    if (known == table.m_entry_vms.end()) {
        co_return false;
    }
    const auto endpoint = parse_endpoint(known->second.m_info.m_address, peer.str(), found);
    if (!found.empty()) {
        co_return false;
    }
    const auto target = std::string{snapshot_path} + "?zone=" + percent_encode(m_zone.str()) + '&' + query;
    http_request request{http::verb::get, beast::string_view{target.data(), target.size()}, 11};
    const auto response = co_await http_fetch(m_executor, endpoint, std::move(request), timeout);
    if (!response || response.assume_value().result() != http::status::ok) {
        co_return false;
    }
    const auto entries = parse_snapshot(response.assume_value().body());
    if (!entries) {
        co_return false;
    }
    m_replica.merge(*entries);
    co_return true;
}

auto peer_sync::receive(const datagram& message) -> void
{
    if (const auto* received = std::get_if<heartbeat>(&message.m_body)) {
        compare_digests(*received);
        return;
    }
    const auto* change = std::get_if<record_change>(&message.m_body);
    if (change == nullptr) {
        return;
    }
    if (change->m_has_value) {
        const auto changed = m_replica.merge({change->m_entry});
        const auto table = m_members.table();
        const auto sender = table.m_entry_vms.find(message.m_sender);
        // A sender in another zone sends a change to one entry VM of this zone only.
        if (sender != table.m_entry_vms.end() && sender->second.m_info.m_availability_zone != m_zone) {
            send_changes_to_zone(m_members, changed);
        }
    }
    else if (change->m_entry.m_value.m_version > m_replica.find(change->m_entry.m_key).m_version) {
        asio::co_spawn(m_executor, fetch_value(message.m_sender, change->m_entry.m_key), asio::detached);
    }
}

auto peer_sync::fetch_value(const entry_vm_id peer, const std::string key) -> asio::awaitable<void>
{
    // A failed transfer is repaired by the comparison of digests.
    static_cast<void>(co_await fetch(peer, "key=" + percent_encode(key), transfer_timeout));
}

auto peer_sync::compare_digests(const heartbeat& received) -> void
{
    auto& comparison = m_comparisons[received.m_id];
    const auto own = fold(m_replica.digest(scope_for(received.m_availability_zone)));
    const auto same = comparison.m_own_digest == own && comparison.m_peer_digest == received.m_digest;
    comparison.m_own_digest = own;
    comparison.m_peer_digest = received.m_digest;
    if (own == received.m_digest) {
        comparison.m_difference_score = 0;
        return;
    }
    comparison.m_difference_score += same ? 2 : 1;
    if (comparison.m_difference_score >= transfer_threshold && !comparison.m_is_transferring) {
        comparison.m_is_transferring = true;
        asio::co_spawn(m_executor, reconcile(received.m_id), asio::detached);
    }
}

auto peer_sync::reconcile(const entry_vm_id peer) -> asio::awaitable<void>
{
    const auto table = m_members.table();
    const auto scope = scope_for(table.m_entry_vms.at(peer).m_info.m_availability_zone);
    const auto done = co_await fetch(peer, "digest=" + to_hex(m_replica.digest(scope)), transfer_timeout);
    VLOG(1) << "event=copies_compared peer=" << peer << " done=" << done;
    auto& comparison = m_comparisons[peer];
    comparison.m_difference_score = 0;
    comparison.m_is_transferring = false;
}

} // namespace cicadalug
