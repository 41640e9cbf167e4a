#ifndef CICADALUG_STANDIN_SCHEDULER_STORE_HPP
#define CICADALUG_STANDIN_SCHEDULER_STORE_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/http/message.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cicadalug::standin {

/** @brief HTTP status and JSON body of a response of the store. */
struct scheduler_store_response {
    http::status m_status{http::status::ok};
    nlohmann::json m_body = nlohmann::json::object();
};

/**
 * @brief Store of the platform of the scheduler: items with base64 values, conditional writes of several keys, leases
 * and a history of all changes.
 * @note Thread safety: to be used by one thread only.
 */
class scheduler_store {
public:
    using response = scheduler_store_response;

    [[nodiscard]] auto read(const std::string& key) const -> response
    {
        const auto found = m_items.find(key);
        return found == m_items.end() ? response{http::status::not_found, {}}
                                      : response{http::status::ok, found->second};
    }

    /** @brief Returns a page of the items with a prefix. @param after Last key of the previous page, or empty. */
    [[nodiscard]] auto list(const std::string& prefix, const std::string& after) const -> response
    {
        auto items = nlohmann::json::array();
        auto position = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
        for (; position != m_items.end() && position->first.starts_with(prefix) && items.size() < page_items;
             ++position) {
            items.push_back(position->second);
        }
        const bool more = position != m_items.end() && position->first.starts_with(prefix);
        return {http::status::ok, {{"items", std::move(items)}, {"has_more", more}, {"store_revision", m_revision}}};
    }

    /** @brief Returns the changes of keys with a prefix after a revision, in order of revision. */
    [[nodiscard]] auto changes_after(const std::string& prefix, const std::uint64_t after) const -> nlohmann::json
    {
        auto events = nlohmann::json::array();
        for (auto position = m_history.upper_bound(after); position != m_history.end(); ++position) {
            for (const auto& event : position->second) {
                if (event.at("key").get_ref<const std::string&>().starts_with(prefix)) {
                    events.push_back(event);
                }
            }
        }
        return events;
    }

    /** @brief Writes several keys if all conditions hold. @param body Body of a write request. */
    [[nodiscard]] auto write(const nlohmann::json& body) -> response
    {
        auto current = nlohmann::json::array();
        bool holds{true};
        for (const auto& condition : body.at("expected_rev")) {
            const auto found = m_items.find(condition.at("key").get<std::string>());
            const bool exists = found != m_items.end();
            const auto revision = exists ? found->second.at("revision").get<std::uint64_t>() : 0;
            holds = holds && condition.at("revision") == revision;
            if (exists) {
                current.push_back(found->second);
            }
        }
        if (!holds) {
            return {http::status::precondition_failed, {{"items", std::move(current)}}};
        }
        for (const auto& put : body.at("puts")) {
            // Base64 takes four characters for three bytes.
            if (put.at("value").get_ref<const std::string&>().size() / 4 * 3 > max_value_bytes) {
                return {http::status::bad_request, {{"error", "value too long"}}};
            }
            const auto lease = put.value("lease", std::uint64_t{0});
            if (lease != 0 && !m_leases.contains(lease)) {
                return {http::status::not_found, nlohmann::json::object()};
            }
        }
        ++m_revision;
        for (const auto& put : body.at("puts")) {
            set(put.at("key"), put.at("value"), put.value("lease", std::uint64_t{0}));
        }
        for (const auto& key : body.value("remove", nlohmann::json::array())) {
            remove(key);
        }
        return {http::status::ok, {{"revision", m_revision}}};
    }

    [[nodiscard]] auto open_lease(const milliseconds time_to_live, const time_point now) -> response
    {
        m_leases[++m_last_lease] = {time_to_live, now + time_to_live};
        return {http::status::ok, {{"lease", m_last_lease}, {"ttl_ms", time_to_live.count()}}};
    }

    [[nodiscard]] auto renew_lease(const std::uint64_t lease, const time_point now) -> response
    {
        const auto found = m_leases.find(lease);
        if (found == m_leases.end()) {
            return {http::status::not_found, nlohmann::json::object()};
        }
        found->second.m_expires_at = now + found->second.m_time_to_live;
        return {};
    }

    [[nodiscard]] auto end_lease(const std::uint64_t lease) -> response
    {
        if (m_leases.erase(lease) == 0) {
            return {http::status::not_found, nlohmann::json::object()};
        }
        ++m_revision;
        std::vector<std::string> bound;
        for (const auto& [key, item] : m_items) {
            if (item.at("lease") == lease) {
                bound.push_back(key);
            }
        }
        for (const auto& key : bound) {
            remove(key);
        }
        return {};
    }

    /** @brief Ends the expired leases and removes the keys bound to them. */
    auto expire_leases(const time_point now) -> void
    {
        std::vector<std::uint64_t> expired;
        for (const auto& [lease, state] : m_leases) {
            if (state.m_expires_at <= now) {
                expired.push_back(lease);
            }
        }
        for (const auto lease : expired) {
            static_cast<void>(end_lease(lease));
        }
    }

    [[nodiscard]] auto revision() const noexcept -> std::uint64_t { return m_revision; }

private:
    static constexpr std::size_t page_items{500};
    static constexpr std::size_t max_value_bytes{1'048'576};

    struct lease_state {
        milliseconds m_time_to_live{};
        time_point m_expires_at;
    };

    auto set(const std::string& key, const std::string& value, const std::uint64_t lease) -> void
    {
        const auto found = m_items.find(key);
        const auto created = found == m_items.end() ? nlohmann::json(m_revision) : found->second.at("created_at");
        m_items[key] = {
            {"key", key}, {"value", value}, {"revision", m_revision}, {"created_at", created}, {"lease", lease}};
        m_history[m_revision].push_back(m_items[key]);
    }

    auto remove(const std::string& key) -> void
    {
        if (m_items.erase(key) != 0) {
            m_history[m_revision].push_back({{"key", key}, {"revision", m_revision}, {"deleted", true}});
        }
    }

    std::map<std::string, nlohmann::json> m_items;
    /** @brief Events by revision; a write changes several keys at one revision. */
    std::map<std::uint64_t, std::vector<nlohmann::json>> m_history;
    std::map<std::uint64_t, lease_state> m_leases;
    std::uint64_t m_revision{0};
    std::uint64_t m_last_lease{0};
};

} // namespace cicadalug::standin

#endif
