#ifndef CICADALUG_TEST_FLEET_KV_MODEL_HPP
#define CICADALUG_TEST_FLEET_KV_MODEL_HPP

#include <cicadalug/base/ids.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadalug::test {

/** @brief Fault that affects a write between the client and the key-value service. */
enum class kv_fault : std::uint8_t { none, response_lost, request_lost, delayed };

/** @brief In-memory model of the key-value service: compare-and-swap on versions, with faults. */
class kv_model {
public:
    struct entry {
        version m_version;
        nlohmann::json m_value;
    };
    enum class put_result : std::uint8_t { applied, conflict, unknown };

    [[nodiscard]] auto read(const std::string& key) const -> entry
    {
        const auto found = m_entries.find(key);
        return found == m_entries.end() ? entry{} : found->second;
    }

    [[nodiscard]] auto entries() const -> const std::map<std::string, entry>& { return m_entries; }

    auto put(const std::string& key, const version expected, const nlohmann::json& value, const kv_fault fault)
        -> put_result
    {
        if (fault == kv_fault::request_lost) {
            return put_result::unknown;
        }
        if (fault == kv_fault::delayed) {
            m_delayed.push_back({key, expected, value});
            return put_result::unknown;
        }
        const auto applied = compare_and_swap(key, expected, value);
        if (fault == kv_fault::response_lost) {
            return put_result::unknown;
        }
        return applied ? put_result::applied : put_result::conflict;
    }

    /** @brief Delivers one of the delayed writes. */
    auto deliver_delayed(const std::size_t index) -> void
    {
        if (!m_delayed.empty()) {
            const auto place = m_delayed.begin() + static_cast<std::ptrdiff_t>(index % m_delayed.size());
            const auto write = *place;
            m_delayed.erase(place);
            compare_and_swap(write.m_key, write.m_expected, write.m_value);
        }
    }

private:
    struct delayed_write {
        std::string m_key;
        version m_expected;
        nlohmann::json m_value;
    };

    auto compare_and_swap(const std::string& key, const version expected, const nlohmann::json& value) -> bool
    {
        if (read(key).m_version != expected) {
            return false;
        }
        m_entries[key] = {version{++m_revision}, value};
        return true;
    }

    std::map<std::string, entry> m_entries;
    std::vector<delayed_write> m_delayed;
    std::uint64_t m_revision{0};
};

} // namespace cicadalug::test

#endif
