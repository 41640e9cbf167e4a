#ifndef CICADALUG_OUTPUT_TABLE_HPP
#define CICADALUG_OUTPUT_TABLE_HPP

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace cicadalug {

/** @brief Rows of text below a row of headings. */
struct table {
    std::vector<std::string> m_headings;
    /** @brief Each row has one cell for each heading. */
    std::vector<std::vector<std::string>> m_rows;
};

/**
 * @brief Creates a table of resources with the columns name, version and each spec member.
 * @param items Resources of one kind in the JSON form of the API.
 * @return The table.
 */
[[nodiscard]] auto resource_table(const std::vector<nlohmann::json>& items) -> table;

/**
 * @brief Creates a table of JSON objects.
 * @param items The objects.
 * @param members Names of the members, one for each column.
 * @return The table; a missing member gives an empty cell.
 */
[[nodiscard]] auto object_table(const nlohmann::json& items, const std::vector<std::string>& members) -> table;

/**
 * @brief Formats a JSON value as the text of a table cell.
 * @param value The value.
 * @return The text, strings without quotes and each control character replaced by "?".
 */
[[nodiscard]] auto cell_text(const nlohmann::json& value) -> std::string;

/** @brief Writes a table with aligned columns. */
auto operator<<(std::ostream& stream, const table& value) -> std::ostream&;

} // namespace cicadalug

#endif
