#include <cicadalug/replication/replica.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cicadalug {

namespace {

/** @brief Changes kept for slow watchers; a watcher that lags further behind gets all current entries again. */
constexpr std::size_t max_logged_changes{1'024};

} // namespace

replica::replica(const availability_zone_id& zone)
    : m_fleet_prefix{fleet_prefix(zone)}, m_vm_list_key{vm_list_key(zone)}, m_view{std::make_shared<const fleet_view>()}
{
}

auto replica::view() const -> std::shared_ptr<const fleet_view>
{
    const std::lock_guard lock{m_mutex};
    return m_view;
}

auto replica::subscribe(subscriber function) -> void
{
    m_subscribers.push_back(std::move(function));
}

auto replica::accepts(const std::string_view key) const -> bool
{
    return key.starts_with(resource_prefix) || key.starts_with(m_fleet_prefix) || key == m_vm_list_key;
}

auto replica::map_of(const std::string_view key) -> versioned_map&
{
    return key.starts_with(resource_prefix) ? m_resources : m_zone;
}

auto replica::merge(const std::vector<versioned_entry>& entries) -> std::vector<versioned_entry>
{
    const std::lock_guard merge_lock{m_merge_mutex};
    std::vector<versioned_entry> changed;
    {
        const std::lock_guard lock{m_mutex};
        for (const auto& entry : entries) {
            auto& map = map_of(entry.m_key);
            if (accepts(entry.m_key) && cicadalug::merge(map, entry)) {
                // Published from the map, which may have replaced an entry that was removed since by a tombstone.
                changed.push_back({entry.m_key, map.m_entries.at(entry.m_key)});
            }
        }
    }
    publish(changed);
    return changed;
}

auto replica::merge_full_read(const std::string& prefix, const version revision,
                              const std::vector<versioned_entry>& entries) -> std::vector<versioned_entry>
{
    const std::lock_guard merge_lock{m_merge_mutex};
    std::vector<versioned_entry> changed;
    {
        const std::lock_guard lock{m_mutex};
        changed = merge_range(map_of(prefix), prefix, revision, entries);
    }
    publish(changed);
    return changed;
}

auto replica::publish(const std::vector<versioned_entry>& changed) -> void
{
    if (changed.empty()) {
        return;
    }
    for (const auto& entry : changed) {
        const auto found = apply_entry(m_incremental_view, entry);
        if (!found.empty()) {
            LOG(WARNING) << "event=entry_not_applied version=" << entry.m_value.m_version << " findings=\""
                         << found.to_string() << '"';
        }
    }
    auto view = std::make_shared<const fleet_view>(m_incremental_view.m_view);
    {
        const std::lock_guard lock{m_mutex};
        m_view = view;
        m_change_log.insert(m_change_log.end(), changed.begin(), changed.end());
        m_last_sequence += changed.size();
        while (m_change_log.size() > max_logged_changes) {
            m_change_log.pop_front();
        }
    }
    for (const auto& function : m_subscribers) {
        function(view, changed);
    }
    wake_waiters();
}

auto replica::find(const std::string& key) const -> versioned_value
{
    const std::lock_guard lock{m_mutex};
    const auto& map = key.starts_with(resource_prefix) ? m_resources : m_zone;
    const auto found = map.m_entries.find(key);
    return found == map.m_entries.end() ? versioned_value{} : found->second;
}

auto replica::entries_above(const version above, const replica_scope scope) const -> std::vector<versioned_entry>
{
    const std::lock_guard lock{m_mutex};
    auto entries = cicadalug::entries_above(m_resources, above);
    if (scope == replica_scope::zone) {
        auto more = cicadalug::entries_above(m_zone, above);
        entries.insert(entries.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }
    return entries;
}

auto replica::entries_missing_in(const map_digest& peer, const replica_scope scope) const
    -> std::vector<versioned_entry>
{
    const auto own = digest(scope);
    const std::lock_guard lock{m_mutex};
    auto entries = entries_in_differing_buckets(m_resources, own, peer);
    if (scope == replica_scope::zone) {
        auto more = entries_in_differing_buckets(m_zone, own, peer);
        entries.insert(entries.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }
    return entries;
}

auto replica::digest(const replica_scope scope) const -> map_digest
{
    const std::lock_guard lock{m_mutex};
    return scope == replica_scope::zone ? combine(m_resources.m_digest, m_zone.m_digest) : m_resources.m_digest;
}

auto replica::highest() const -> version
{
    const std::lock_guard lock{m_mutex};
    return std::max(m_resources.m_highest_version, m_zone.m_highest_version);
}

auto replica::changes_after(const std::uint64_t sequence) const -> replica_changes
{
    const std::lock_guard lock{m_mutex};
    replica_changes changes{m_last_sequence, m_last_sequence - sequence <= m_change_log.size(), {}};
    if (changes.m_complete) {
        const auto count = static_cast<std::ptrdiff_t>(m_last_sequence - sequence);
        changes.m_entries.assign(m_change_log.end() - count, m_change_log.end());
    }
    return changes;
}

auto replica::wait_for_change(const std::uint64_t sequence, const milliseconds limit) -> boost::asio::awaitable<void>
{
    namespace asio = boost::asio;
    const auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor, limit);
    {
        const std::lock_guard lock{m_mutex};
        if (m_last_sequence != sequence) {
            co_return;
        }
        m_waiters.push_back(timer);
    }
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const std::lock_guard lock{m_mutex};
    m_waiters.remove(timer);
}

auto replica::wake_waiters() -> void
{
    const std::lock_guard lock{m_mutex};
    for (const auto& waiter : m_waiters) {
        // Posted to the executor of the waiter, so that the cancel runs after its wait has started.
        boost::asio::post(waiter->get_executor(), [waiter] { waiter->cancel(); });
    }
}

} // namespace cicadalug
