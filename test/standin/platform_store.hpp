#ifndef CICADALUG_STANDIN_PLATFORM_STORE_HPP
#define CICADALUG_STANDIN_PLATFORM_STORE_HPP

#include <cicadalug/base/time.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cicadalug::standin {

namespace asio = boost::asio;

/** @brief HTTP status and JSON body of a response. */
struct store_response {
    unsigned m_status{200};
    nlohmann::json m_body;
};

/**
 * @brief Keys with store-wide revisions, leases, and the list of VMs, whose changes become visible after a delay.
 * @note Thread safety: to be used by one thread only.
 */
class platform_store {
public:
    using clock = std::chrono::steady_clock;

    /** @brief Largest value of a key, in bytes. */
    static constexpr std::size_t max_value_bytes{1'048'576};

    [[nodiscard]] auto revision() const noexcept -> std::uint64_t { return m_revision; }

    [[nodiscard]] auto get(const std::string& key) const -> store_response
    {
        const auto found = m_entries.find(key);
        if (found == m_entries.end() || found->second.m_deleted) {
            return {404, {{"key", key}, {"revision", m_revision}}};
        }
        return {200, entry_json(key, found->second)};
    }

    [[nodiscard]] auto range(const std::string& prefix) const -> store_response
    {
        auto entries = nlohmann::json::array();
        for (auto it = m_entries.lower_bound(prefix); it != m_entries.end() && it->first.rfind(prefix, 0) == 0; ++it) {
            if (!it->second.m_deleted) {
                entries.push_back(entry_json(it->first, it->second));
            }
        }
        return {200, {{"revision", m_revision}, {"entries", std::move(entries)}}};
    }

    [[nodiscard]] auto put(const std::string& key, const nlohmann::json& body) -> store_response
    {
        if (!body.is_object() || !body.contains("value") || !body["value"].is_string() ||
            !body.contains("expected_version") || !body["expected_version"].is_number_unsigned()) {
            return {400, {{"error", "value or expected_version is missing"}}};
        }
        auto value = body["value"].get<std::string>();
        if (value.size() > max_value_bytes) {
            return {413, {{"error", "the value is larger than 1 MB"}}};
        }
        const auto lease = body.value("lease", std::string{});
        if (!lease.empty() && m_leases.count(lease) == 0) {
            return {412, {{"error", "no such lease"}}};
        }
        const auto found = m_entries.find(key);
        const auto present = found != m_entries.end() && !found->second.m_deleted;
        const auto current = present ? found->second.m_version : 0;
        if (body["expected_version"].get<std::uint64_t>() != current) {
            return {409, present ? entry_json(key, found->second) : nlohmann::json{{"key", key}, {"version", 0}}};
        }
        m_entries[key] = {std::move(value), body.value("write_id", std::string{}), lease, ++m_revision, false};
        notify();
        return {200, {{"version", m_revision}}};
    }

    [[nodiscard]] auto grant_lease(const nlohmann::json& body, const clock::time_point now) -> store_response
    {
        if (!body.is_object() || !body.contains("ttl_ms")) {
            return {400, {{"error", "ttl_ms is missing"}}};
        }
        const milliseconds ttl{body["ttl_ms"].get<int>()};
        const auto id = "l" + std::to_string(++m_lease_count);
        m_leases[id] = {ttl, now + ttl};
        return {200, {{"lease", id}, {"ttl_ms", ttl.count()}}};
    }

    [[nodiscard]] auto keep_alive(const std::string& id, const clock::time_point now) -> store_response
    {
        expire(now);
        const auto found = m_leases.find(id);
        if (found == m_leases.end()) {
            return {404, {{"error", "no such lease"}}};
        }
        found->second.m_expires_at = now + found->second.m_ttl;
        return {200, {{"lease", id}, {"ttl_ms", found->second.m_ttl.count()}}};
    }

    [[nodiscard]] auto revoke_lease(const std::string& id) -> store_response
    {
        if (m_leases.erase(id) == 0) {
            return {404, {{"error", "no such lease"}}};
        }
        for (auto& [key, entry] : m_entries) {
            if (!entry.m_deleted && entry.m_lease == id) {
                entry = {{}, {}, {}, ++m_revision, true};
            }
        }
        notify();
        return {200, nlohmann::json::object()};
    }

    /** @brief Revokes the expired leases and deletes the keys bound to them. */
    auto expire(const clock::time_point now) -> void
    {
        std::vector<std::string> ended;
        for (const auto& [id, lease] : m_leases) {
            if (lease.m_expires_at <= now) {
                ended.push_back(id);
            }
        }
        for (const auto& id : ended) {
            static_cast<void>(revoke_lease(id));
        }
    }

    /** @brief Returns one JSON line for each key with a prefix that changed after a revision, in order of revision. */
    [[nodiscard]] auto changes_after(const std::string& prefix, const std::uint64_t after) const -> std::string
    {
        std::map<std::uint64_t, std::string> lines;
        for (auto it = m_entries.lower_bound(prefix); it != m_entries.end() && it->first.rfind(prefix, 0) == 0; ++it) {
            if (it->second.m_version > after) {
                lines[it->second.m_version] = entry_json(it->first, it->second).dump() + '\n';
            }
        }
        std::string text;
        for (const auto& [ignored, line] : lines) {
            text += line;
        }
        return text;
    }

    /** @brief Waits until a key with the prefix has changed after a revision, or until the limit has passed. */
    [[nodiscard]] auto wait_for_change(asio::io_context& context, std::string prefix, const std::uint64_t after,
                                       const milliseconds limit) -> asio::awaitable<void>
    {
        const auto end = clock::now() + limit;
        while (clock::now() < end && changes_after(prefix, after).empty()) {
            m_waiters.emplace_back(context, end);
            const auto self = std::prev(m_waiters.end());
            boost::system::error_code ignored;
            co_await self->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            m_waiters.erase(self);
        }
    }

    auto set_vms(const nlohmann::json& list, const clock::time_point now) -> void
    {
        for (const auto& vm : list.at("vms")) {
            m_vms[vm.at("vm").get<std::string>()] = vm;
        }
        // The first list is visible immediately; the list lag applies to later changes only.
        m_snapshots.assign(1, {clock::time_point::min(), vm_list_json()});
        static_cast<void>(now);
    }

    /** @brief Merges JSON members into the entry of a VM, or removes the VM if "gone" is true. */
    auto update_vm(const nlohmann::json& change, const clock::time_point now) -> void
    {
        const auto name = change.at("vm").get<std::string>();
        if (change.value("gone", false)) {
            m_vms.erase(name);
        }
        else {
            m_vms[name].update(change);
        }
        m_snapshots.push_back({now, vm_list_json()});
    }

    [[nodiscard]] auto list_vms(const std::string& zone, const clock::time_point now) -> store_response
    {
        for (const auto& [name, end] : std::exchange(m_reboots, {})) {
            if (end > now) {
                m_reboots[name] = end;
            }
            else if (m_vms.count(name) != 0) {
                update_vm({{"vm", name}, {"boot", m_vms[name].value("boot", 0) + 1}}, end);
            }
        }
        nlohmann::json newest{{"vms", nlohmann::json::array()}};
        for (const auto& [at, list] : m_snapshots) {
            if (at <= now - m_list_lag) {
                newest = list;
            }
        }
        auto& vms = newest["vms"];
        std::erase_if(vms.get_ref<nlohmann::json::array_t&>(), [&zone](const nlohmann::json& vm) {
            return !zone.empty() && vm.value("availability_zone", std::string{}) != zone;
        });
        return {200, std::move(newest)};
    }

    [[nodiscard]] auto reboot(const std::string& name, const clock::time_point now) -> store_response
    {
        if (m_vms.count(name) == 0) {
            return {404, {{"error", "no such VM"}}};
        }
        m_reboots.emplace(name, now + m_reboot_time);
        return {202, {{"vm", name}}};
    }

    [[nodiscard]] auto list_lag() const noexcept -> milliseconds { return m_list_lag; }
    auto set_list_lag(const milliseconds lag) noexcept -> void { m_list_lag = lag; }
    [[nodiscard]] auto reboot_time() const noexcept -> milliseconds { return m_reboot_time; }
    auto set_reboot_time(const milliseconds time) noexcept -> void { m_reboot_time = time; }

    /** @brief Returns the keys, leases and VMs as JSON for restore(). */
    [[nodiscard]] auto save() const -> nlohmann::json
    {
        auto entries = nlohmann::json::array();
        for (const auto& [key, entry] : m_entries) {
            entries.push_back(entry_json(key, entry));
        }
        auto leases = nlohmann::json::object();
        for (const auto& [id, lease] : m_leases) {
            leases[id] = lease.m_ttl.count();
        }
        return {{"revision", m_revision},
                {"lease_count", m_lease_count},
                {"entries", std::move(entries)},
                {"leases", std::move(leases)},
                {"vms", vm_list_json().at("vms")}};
    }

    auto restore(const nlohmann::json& saved, const clock::time_point now) -> void
    {
        if (!saved.is_object()) {
            return;
        }
        m_revision = saved.at("revision").get<std::uint64_t>();
        m_lease_count = saved.at("lease_count").get<std::uint64_t>();
        for (const auto& entry : saved.at("entries")) {
            m_entries[entry.at("key").get<std::string>()] = {
                entry.value("value", ""), entry.value("write_id", ""), entry.value("lease", ""),
                entry.at("version").get<std::uint64_t>(), entry.value("deleted", false)};
        }
        for (const auto& [id, ttl] : saved.at("leases").items()) {
            m_leases[id] = {milliseconds{ttl.get<int>()}, now + milliseconds{ttl.get<int>()}};
        }
        set_vms(saved, now);
    }

private:
    struct stored_entry {
        std::string m_value;
        std::string m_write_id;
        std::string m_lease;
        std::uint64_t m_version{0};
        bool m_deleted{false};
    };

    struct lease_state {
        milliseconds m_ttl{};
        clock::time_point m_expires_at;
    };

    [[nodiscard]] static auto entry_json(const std::string& key, const stored_entry& entry) -> nlohmann::json
    {
        return {{"key", key},
                {"value", entry.m_value},
                {"version", entry.m_version},
                {"write_id", entry.m_write_id},
                {"lease", entry.m_lease},
                {"deleted", entry.m_deleted}};
    }

    [[nodiscard]] auto vm_list_json() const -> nlohmann::json
    {
        auto list = nlohmann::json::array();
        for (const auto& [name, vm] : m_vms) {
            list.push_back(vm);
        }
        return {{"vms", std::move(list)}};
    }

    auto notify() -> void
    {
        for (auto& waiter : m_waiters) {
            waiter.cancel();
        }
    }

    std::map<std::string, stored_entry> m_entries;
    std::map<std::string, lease_state> m_leases;
    std::uint64_t m_revision{0};
    std::uint64_t m_lease_count{0};
    std::list<asio::steady_timer> m_waiters;
    std::map<std::string, nlohmann::json> m_vms;
    std::vector<std::pair<clock::time_point, nlohmann::json>> m_snapshots;
    std::map<std::string, clock::time_point> m_reboots;
    milliseconds m_list_lag{0};
    milliseconds m_reboot_time{1'000};
};

} // namespace cicadalug::standin

#endif
