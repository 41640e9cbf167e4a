#include <cicadalug/output/table.hpp>

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <iomanip>
#include <ostream>
#include <set>

namespace cicadalug {

namespace {

using nlohmann::json;

[[nodiscard]] auto column_heading(std::string name) -> std::string
{
    std::transform(name.begin(), name.end(), name.begin(),
                   [](const unsigned char c) { return c == '_' ? ' ' : static_cast<char>(std::toupper(c)); });
    return name;
}

auto write_row(std::ostream& stream, const std::vector<std::string>& cells, const std::vector<std::size_t>& widths)
    -> void
{
    for (std::size_t column = 0; column < cells.size(); ++column) {
        const auto last = column + 1 == cells.size();
        stream << std::left << std::setw(last ? 0 : static_cast<int>(widths[column] + 2)) << cells[column];
    }
    stream << '\n';
}

} // namespace

auto cell_text(const json& value) -> std::string
{
    if (value.is_null()) {
        return {};
    }
    auto text = value.is_string() ? value.get<std::string>()
                                  : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    // Control characters in untrusted text could move the cursor of the operator's terminal.
    std::replace_if(
        text.begin(), text.end(), [](const unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
    return text;
}

auto object_table(const json& items, const std::vector<std::string>& members) -> table
{
    table result;
    std::transform(members.begin(), members.end(), std::back_inserter(result.m_headings), column_heading);
    for (const auto& item : items) {
        std::vector<std::string> row;
        row.reserve(members.size());
        for (const auto& member : members) {
            row.push_back(item.is_object() ? cell_text(item.value(member, json{})) : std::string{});
        }
        result.m_rows.push_back(std::move(row));
    }
    return result;
}

auto resource_table(const std::vector<json>& items) -> table
{
    std::set<std::string> names;
    for (const auto& item : items) {
        const auto spec = item.value("spec", json::object());
        for (const auto& [name, value] : spec.items()) {
            names.insert(name);
        }
    }
    std::vector<std::string> members{"name", "version"};
    members.insert(members.end(), names.begin(), names.end());
    auto rows = json::array();
    for (const auto& item : items) {
        auto row = item.value("spec", json::object());
        row["name"] = item.value("name", json{});
        row["version"] = item.value("version", json{});
        rows.push_back(std::move(row));
    }
    return object_table(rows, members);
}

auto operator<<(std::ostream& stream, const table& value) -> std::ostream&
{
    std::vector<std::size_t> widths(value.m_headings.size());
    const auto widen = [&widths](const std::vector<std::string>& cells) {
        for (std::size_t column = 0; column < cells.size(); ++column) {
            widths[column] = std::max(widths[column], cells[column].size());
        }
    };
    widen(value.m_headings);
    std::for_each(value.m_rows.begin(), value.m_rows.end(), widen);
    write_row(stream, value.m_headings, widths);
    for (const auto& row : value.m_rows) {
        write_row(stream, row, widths);
    }
    return stream;
}

} // namespace cicadalug
