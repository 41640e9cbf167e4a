#include <cicadalug/model/json_text.hpp>

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadalug {

namespace {

constexpr int deepest_nesting{32};

/** @brief Formats the line and the column of a byte; the first byte has offset 1. */
[[nodiscard]] auto position_of(const std::string_view text, const std::size_t offset) -> std::string
{
    const auto before = text.substr(0, std::min(offset, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto last_feed = before.rfind('\n');
    const auto column = last_feed == std::string_view::npos ? offset : offset - last_feed - 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(std::max<std::size_t>(column, 1));
}

/** @brief Watches the parser for duplicate members and deep nesting. */
class structure_check {
public:
    [[nodiscard]] auto operator()(const int depth, const nlohmann::json::parse_event_t event,
                                  const nlohmann::json& parsed) -> bool
    {
        using event_t = nlohmann::json::parse_event_t;
        if (event == event_t::object_start || event == event_t::array_start) {
            if (depth >= deepest_nesting) {
                m_too_deep = true;
                return false;
            }
            m_members.emplace_back();
        }
        else if ((event == event_t::object_end || event == event_t::array_end) && !m_members.empty()) {
            m_members.pop_back();
        }
        else if (event == event_t::key && !m_members.empty()) {
            const auto& name = parsed.get_ref<const std::string&>();
            if (!m_members.back().insert(name).second) {
                m_found.add(name, "is given more than once in one object");
            }
        }
        return true;
    }

    [[nodiscard]] auto found() const -> findings
    {
        auto all = m_found;
        if (m_too_deep) {
            all.add("document", "is nested more than " + std::to_string(deepest_nesting) + " levels deep");
        }
        return all;
    }

private:
    std::vector<std::set<std::string>> m_members;
    findings m_found;
    bool m_too_deep{false};
};

} // namespace

auto parse_json_text(const std::string_view text) -> result<nlohmann::json>
{
    structure_check check;
    try {
        auto value =
            nlohmann::json::parse(text.begin(), text.end(),
                                  [&check](const int depth, const nlohmann::json::parse_event_t event,
                                           const nlohmann::json& parsed) { return check(depth, event, parsed); });
        if (auto found = check.found(); !found.empty()) {
            return found;
        }
        return value;
    }
    catch (const nlohmann::json::parse_error& error) {
        const auto end = error.byte > text.size();
        return findings{position_of(text, error.byte), end ? "the JSON text ends too early" : "is not valid JSON"};
    }
    catch (const nlohmann::json::exception&) {
        return findings{"document", "holds a number that is out of range"};
    }
}

} // namespace cicadalug
