#include <cicadalug/platform/memory_platform.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cicadalug {

namespace {

class memory_watch final : public platform_watch {
public:
    explicit memory_watch(std::deque<kv_watch_event> events) : m_events{std::move(events)} {}

    [[nodiscard]] auto next() -> asio::awaitable<platform_result<kv_watch_event>> override
    {
        if (m_events.empty()) {
            co_return platform_error{platform_error_kind::unknown, "end of stream", {}};
        }
        auto event = std::move(m_events.front());
        m_events.pop_front();
        co_return std::move(event);
    }

private:
    std::deque<kv_watch_event> m_events;
};

} // namespace

auto memory_platform::next_fault() -> memory_platform_fault
{
    if (m_faults.empty()) {
        return memory_platform_fault::none;
    }
    const auto fault = m_faults.front();
    m_faults.pop_front();
    return fault;
}

template<typename Type, typename Function>
auto memory_platform::call(Function function) -> platform_result<Type>
{
    const auto fault = next_fault();
    if (fault == memory_platform_fault::unavailable) {
        return platform_error{platform_error_kind::unavailable, "connection refused", {}};
    }
    if (fault != memory_platform_fault::lost_request) {
        platform_result<Type> done = function();
        if (fault == memory_platform_fault::none) {
            return done;
        }
    }
    return platform_error{platform_error_kind::unknown, "the response was lost", {}};
}

auto memory_platform::get(const std::string key) -> asio::awaitable<platform_result<kv_entry>>
{
    co_return call<kv_entry>([&]() -> platform_result<kv_entry> {
        const auto found = m_entries.find(key);
        if (found != m_entries.end() && !found->second.m_deleted) {
            return found->second;
        }
        kv_entry none;
        none.m_key = key;
        return none;
    });
}

auto memory_platform::range(const std::string prefix) -> asio::awaitable<platform_result<kv_range>>
{
    co_return call<kv_range>([&]() -> platform_result<kv_range> {
        kv_range all{version{m_revision}, {}};
        for (const auto& [key, entry] : m_entries) {
            if (key.rfind(prefix, 0) == 0 && !entry.m_deleted) {
                all.m_entries.push_back(entry);
            }
        }
        return all;
    });
}

auto memory_platform::write(const kv_write& request) -> platform_result<version>
{
    if (!request.m_lease.empty() && m_leases.count(request.m_lease) == 0) {
        return platform_error{platform_error_kind::rejected, "no such lease", {}};
    }
    auto& entry = m_entries[request.m_key];
    const auto current = entry.m_deleted ? version{} : entry.m_version;
    if (current != request.m_expected) {
        auto conflicting = entry;
        conflicting.m_version = current;
        return platform_error{platform_error_kind::conflict, "the key has another version", conflicting};
    }
    entry = {request.m_key, request.m_value, version{++m_revision}, request.m_write_id, request.m_lease, false};
    return entry.m_version;
}

auto memory_platform::put_once(const kv_write write_request) -> asio::awaitable<platform_result<version>>
{
    co_return call<version>([&] { return write(write_request); });
}

auto memory_platform::grant_lease(const milliseconds ttl) -> asio::awaitable<platform_result<lease_id>>
{
    co_return call<lease_id>([&]() -> platform_result<lease_id> {
        lease_id lease{"l" + std::to_string(++m_lease_count)};
        m_leases[lease] = ttl;
        return lease;
    });
}

auto memory_platform::keep_alive(const lease_id lease) -> asio::awaitable<platform_result<lease_id>>
{
    co_return call<lease_id>([&]() -> platform_result<lease_id> {
        if (m_leases.count(lease) == 0) {
            return platform_error{platform_error_kind::not_found, "no such lease", {}};
        }
        return lease;
    });
}

auto memory_platform::revoke_lease(const lease_id lease) -> asio::awaitable<platform_result<lease_id>>
{
    co_return call<lease_id>([&]() -> platform_result<lease_id> {
        end_lease(lease);
        return lease;
    });
}

auto memory_platform::end_lease(const lease_id& lease) -> void
{
    m_leases.erase(lease);
    for (auto& [key, entry] : m_entries) {
        if (!lease.empty() && entry.m_lease == lease) {
            entry = {key, {}, version{++m_revision}, {}, {}, true};
        }
    }
}

auto memory_platform::watch(const std::string prefix, const version after)
    -> asio::awaitable<platform_result<std::unique_ptr<platform_watch>>>
{
    co_return call<std::unique_ptr<platform_watch>>([&]() -> platform_result<std::unique_ptr<platform_watch>> {
        std::deque<kv_watch_event> events;
        for (const auto& [key, entry] : m_entries) {
            if (key.rfind(prefix, 0) == 0 && entry.m_version > after) {
                events.push_back({entry, {}});
            }
        }
        std::sort(events.begin(), events.end(), [](const auto& left, const auto& right) {
            return left.m_change->m_version < right.m_change->m_version;
        });
        events.push_back({std::nullopt, version{m_revision}});
        return std::unique_ptr<platform_watch>{std::make_unique<memory_watch>(std::move(events))};
    });
}

auto memory_platform::list_vms(const availability_zone_id zone)
    -> asio::awaitable<platform_result<std::vector<platform_vm>>>
{
    co_return call<std::vector<platform_vm>>([&]() -> platform_result<std::vector<platform_vm>> {
        std::vector<platform_vm> listed;
        std::copy_if(m_vms.begin(), m_vms.end(), std::back_inserter(listed),
                     [&](const auto& vm) { return vm.m_availability_zone == zone; });
        return listed;
    });
}

auto memory_platform::reboot(const vm_id vm) -> asio::awaitable<platform_result<vm_id>>
{
    co_return call<vm_id>([&]() -> platform_result<vm_id> {
        const auto found = std::find_if(m_vms.begin(), m_vms.end(), [&](const auto& item) { return item.m_vm == vm; });
        if (found == m_vms.end()) {
            return platform_error{platform_error_kind::not_found, "no such VM", {}};
        }
        ++found->m_boot;
        return vm;
    });
}

} // namespace cicadalug
