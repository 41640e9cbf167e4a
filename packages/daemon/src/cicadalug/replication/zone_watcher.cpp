#include <cicadalug/platform/compare_and_swap.hpp>
#include <cicadalug/replication/change_sender.hpp>
#include <cicadalug/replication/zone_watcher.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace cicadalug {

namespace {

/** @brief Interval of watch attempts while the platform fails: with two prefixes, at most 4 calls per second. */
constexpr milliseconds watch_retry{500};

[[nodiscard]] auto to_versioned_entry(const kv_entry& source) -> versioned_entry
{
    return {source.m_key, {source.m_version, source.m_value, source.m_deleted}};
}

/** @brief Summarizes the platform's VM list for the entry VMs of a zone. */
[[nodiscard]] auto to_platform_vm_list(const std::vector<platform_vm>& vms, const membership_state& table)
    -> platform_vm_list
{
    platform_vm_list list;
    for (const auto& vm : vms) {
        const entry_vm_id as_entry_vm{vm.m_vm.str()};
        if (table.m_entry_vms.contains(as_entry_vm)) {
            list.m_entry_vms.insert(as_entry_vm);
        }
        else if (vm.m_leaving) {
            list.m_leaving.insert(vm.m_vm);
        }
    }
    return list;
}

} // namespace

zone_watcher::zone_watcher(const asio::any_io_executor& executor, platform_client& platform, write_id_source& ids,
                           replica& local_replica, membership_service& members, const availability_zone_id& zone,
                           const milliseconds vm_list_interval)
    : m_executor{executor}, m_platform{platform}, m_ids{ids}, m_replica{local_replica}, m_members{members},
      m_zone{zone}, m_vm_list_interval{vm_list_interval}
{
}

auto zone_watcher::begin() -> void
{
    m_active = true;
    const auto term = ++m_term;
    asio::co_spawn(m_executor, watch(std::string{resource_prefix}, term), asio::detached);
    asio::co_spawn(m_executor, watch(fleet_prefix(m_zone), term), asio::detached);
    asio::co_spawn(m_executor, poll_vm_list(term), asio::detached);
}

auto zone_watcher::end() -> void
{
    m_active = false;
}

auto zone_watcher::sleep_for(const milliseconds time) -> asio::awaitable<void>
{
    asio::steady_timer timer{m_executor, time};
    co_await timer.async_wait(asio::use_awaitable);
}

auto zone_watcher::merge_and_forward(const std::vector<versioned_entry>& entries) -> void
{
    // Forwarded even if the replica has the entries already: it may have received them from a peer that sent them to no
    // other entry VM.
    m_replica.merge(entries);
    send_changes_to_zone(m_members, entries);
}

auto zone_watcher::watch(const std::string prefix, const std::uint64_t term) -> asio::awaitable<void>
{
    // A replica may lack a change below its highest version, so each term begins with a full read.
    version after;
    while (is_current(term) && after == version{}) {
        after = co_await read_all(prefix);
        if (after == version{}) {
            co_await sleep_for(watch_retry);
        }
    }
    while (is_current(term)) {
        after = co_await watch_changes(prefix, after, term);
        if (is_current(term)) {
            co_await sleep_for(watch_retry);
        }
    }
}

auto zone_watcher::read_all(const std::string prefix) -> asio::awaitable<version>
{
    const auto read = co_await m_platform.range(prefix);
    if (!read) {
        co_return version{};
    }
    std::vector<versioned_entry> entries;
    for (const auto& entry : read.assume_value().m_entries) {
        entries.push_back(to_versioned_entry(entry));
    }
    const auto revision = read.assume_value().m_revision;
    send_changes_to_zone(m_members, m_replica.merge_full_read(prefix, revision, entries));
    // A store without any write has revision zero; the watch then starts at the first write.
    co_return std::max(revision, version{1});
}

auto zone_watcher::watch_changes(const std::string prefix, version after, const std::uint64_t term)
    -> asio::awaitable<version>
{
    auto opened = co_await m_platform.watch(prefix, after);
    if (!opened) {
        LOG_EVERY_N(WARNING, 20) << "event=watch_failed prefix=" << prefix << " error=\""
                                 << opened.assume_error().m_message << '"';
        co_return after;
    }
    const auto watch = std::move(opened).assume_value();
    while (is_current(term)) {
        const auto event = co_await watch->next();
        if (!event) {
            LOG(WARNING) << "event=watch_ended prefix=" << prefix << " version=" << after << " error=\""
                         << event.assume_error().m_message << '"';
            co_return after;
        }
        const auto& change = event.assume_value().m_change;
        if (change) {
            merge_and_forward({to_versioned_entry(*change)});
        }
        after = std::max(after, change ? change->m_version : event.assume_value().m_progress);
    }
    co_return after;
}

auto zone_watcher::poll_vm_list(const std::uint64_t term) -> asio::awaitable<void>
{
    platform_vm_list published;
    bool is_published = false;
    while (is_current(term)) {
        const auto vms = co_await m_platform.list_vms(m_zone);
        if (vms && is_current(term)) {
            const auto list = to_platform_vm_list(vms.assume_value(), m_members.table());
            // The value is written when it changes, and once per term to supersede writes of an earlier control holder.
            if (!is_published || !(list == published)) {
                is_published = co_await publish_vm_list(list);
                published = list;
            }
        }
        co_await sleep_for(m_vm_list_interval);
    }
}

auto zone_watcher::publish_vm_list(const platform_vm_list list) -> asio::awaitable<bool>
{
    const auto current_entry = co_await m_platform.get(vm_list_key(m_zone));
    if (!current_entry) {
        co_return false;
    }
    const auto& found = current_entry.assume_value();
    if (found.m_version != version{}) {
        merge_and_forward({to_versioned_entry(found)});
    }
    kv_write write;
    write.m_key = vm_list_key(m_zone);
    write.m_value = to_json_text(list);
    write.m_expected = found.m_version;
    write.m_write_id = m_ids.next();
    if (found.m_version != version{} && found.m_value == write.m_value) {
        co_return true;
    }
    const auto written = co_await compare_and_swap(m_platform, write);
    if (written) {
        merge_and_forward({{write.m_key, {written.assume_value(), write.m_value, false}}});
    }
    co_return written.has_value();
}

} // namespace cicadalug
