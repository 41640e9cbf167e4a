#include <cicadalug/base/nearest_name.hpp>
#include <cicadalug/settings/yaml_section.hpp>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <system_error>

namespace cicadalug {

auto yaml_place(const std::string_view file, const YAML::Mark& mark) -> std::string
{
    return std::string{file} + ':' + std::to_string(mark.line + 1) + ':' + std::to_string(mark.column + 1);
}

yaml_section::yaml_section(const YAML::Node& node, const std::string_view file, findings& found)
    : m_node{node}, m_file{file}, m_found{found}
{
    if (!m_node.IsMap()) {
        m_found.add(yaml_place(m_file, m_node.Mark()), "must be a mapping of keys to values");
    }
}

auto yaml_section::child(const std::string_view key, const bool required) -> YAML::Node
{
    m_read_keys.emplace_back(key);
    if (!m_node.IsMap()) {
        return YAML::Node{YAML::NodeType::Undefined};
    }
    const auto& mapping = m_node;
    auto value = mapping[std::string{key}];
    if (!value.IsDefined() || value.IsNull()) {
        if (required) {
            m_found.add(yaml_place(m_file, m_node.Mark()), "'" + std::string{key} + "' is missing");
        }
        return YAML::Node{YAML::NodeType::Undefined};
    }
    return value;
}

auto yaml_section::required_text(const std::string_view key) -> std::string
{
    const auto value = child(key, true);
    if (!value.IsDefined()) {
        return {};
    }
    if (!value.IsScalar() || value.Scalar().empty()) {
        m_found.add(yaml_place(m_file, value.Mark()), "'" + std::string{key} + "' must be a non-empty string");
        return {};
    }
    return value.Scalar();
}

auto yaml_section::optional_text(const std::string_view key) -> std::string
{
    if (!m_node.IsMap() || !static_cast<const YAML::Node&>(m_node)[std::string{key}].IsDefined()) {
        m_read_keys.emplace_back(key);
        return {};
    }
    return required_text(key);
}

auto yaml_section::integer(const std::string_view key, const std::int64_t fallback, const std::int64_t lowest,
                           const std::int64_t highest) -> std::int64_t
{
    const auto value = child(key, false);
    if (!value.IsDefined()) {
        return fallback;
    }
    std::int64_t number{};
    const auto text = value.IsScalar() ? value.Scalar() : std::string{};
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc{} || end != text.data() + text.size() || number < lowest || number > highest) {
        m_found.add(yaml_place(m_file, value.Mark()), "'" + std::string{key} + "' must be an integer from " +
                                                          std::to_string(lowest) + " to " + std::to_string(highest));
        return fallback;
    }
    return number;
}

auto yaml_section::finish() -> void
{
    if (!m_node.IsMap()) {
        return;
    }
    const std::vector<std::string_view> read_keys{m_read_keys.begin(), m_read_keys.end()};
    std::set<std::string> seen;
    for (const auto& entry : m_node) {
        const auto location = yaml_place(m_file, entry.first.Mark());
        const auto name = entry.first.IsScalar() ? entry.first.Scalar() : std::string{};
        if (std::find(read_keys.begin(), read_keys.end(), name) == read_keys.end()) {
            m_found.add(location, unknown_name_message("key", name, read_keys));
        }
        else if (!seen.insert(name).second) {
            m_found.add(location, "'" + name + "' is given more than once");
        }
    }
}

auto yaml_section::place_of(const std::string_view key) const -> std::string
{
    if (m_node.IsMap()) {
        if (const auto value = m_node[std::string{key}]; value.IsDefined()) {
            return yaml_place(m_file, value.Mark());
        }
    }
    return yaml_place(m_file, m_node.Mark());
}

} // namespace cicadalug
