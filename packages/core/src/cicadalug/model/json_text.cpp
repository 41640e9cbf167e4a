#include <cicadalug/model/json_text.hpp>

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cicadalug {

namespace {

constexpr int max_nesting_depth{32};

/** @brief Formats the line and column of a byte offset; the first byte has offset 1. */
[[nodiscard]] auto position_of(const std::string_view text, const std::size_t offset) -> std::string
{
    const auto before = text.substr(0, std::min(offset, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto last_line_feed = before.rfind('\n');
    const auto column = last_line_feed == std::string_view::npos ? offset : offset - last_line_feed - 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(std::max<std::size_t>(column, 1));
}

/** @brief Parser callback that detects duplicate members and excessive nesting. */
class structure_checker {
public:
    [[nodiscard]] auto operator()(const int depth, const nlohmann::json::parse_event_t event,
                                  const nlohmann::json& parsed) -> bool
    {
        using event_t = nlohmann::json::parse_event_t;
        if (event == event_t::object_start || event == event_t::array_start) {
            if (depth >= max_nesting_depth) {
                m_too_deep = true;
                return false;
            }
            m_member_names.emplace_back();
        }
        else if ((event == event_t::object_end || event == event_t::array_end) && !m_member_names.empty()) {
            m_member_names.pop_back();
        }
        else if (event == event_t::key && !m_member_names.empty()) {
            const auto& name = parsed.get_ref<const std::string&>();
            if (!m_member_names.back().insert(name).second) {
                m_found.add(name, "is given more than once in one object");
            }
        }
        return true;
    }

    [[nodiscard]] auto found() const -> findings
    {
        auto all = m_found;
        if (m_too_deep) {
            all.add("document", "is nested more than " + std::to_string(max_nesting_depth) + " levels deep");
        }
        return all;
    }

private:
    std::vector<std::set<std::string>> m_member_names;
    findings m_found;
    bool m_too_deep{false};
};

} // namespace

auto parse_json_text(const std::string_view text) -> result<nlohmann::json>
{
    structure_checker checker;
    try {
        auto value =
            nlohmann::json::parse(text.begin(), text.end(),
                                  [&checker](const int depth, const nlohmann::json::parse_event_t event,
                                             const nlohmann::json& parsed) { return checker(depth, event, parsed); });
        if (auto found = checker.found(); !found.empty()) {
            return found;
        }
        return value;
    }
    catch (const nlohmann::json::parse_error& error) {
        const auto at_end = error.byte > text.size();
        return findings{position_of(text, error.byte), at_end ? "the JSON text ends too early" : "is not valid JSON"};
    }
    catch (const nlohmann::json::exception&) {
        return findings{"document", "holds a number that is out of range"};
    }
}

} // namespace cicadalug
