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
 * @brief Makes a table of resources: name, version and the members of the spec.
 * @param items Resources of one kind as the API shows them.
 * @return The table.
 */
[[nodiscard]] auto resource_table(const std::vector<nlohmann::json>& items) -> table;

/**
 * @brief Makes a table of JSON objects.
 * @param items The objects.
 * @param members Members that become columns.
 * @return The table; a missing member gives an empty cell.
 */
[[nodiscard]] auto object_table(const nlohmann::json& items, const std::vector<std::string>& members) -> table;

/**
 * @brief Formats a JSON value as a cell.
 * @param value The value.
 * @return A text without quotes around strings and without control characters.
 */
[[nodiscard]] auto cell_text(const nlohmann::json& value) -> std::string;

/** @brief Writes a table with aligned columns. */
auto operator<<(std::ostream& stream, const table& shown) -> std::ostream&;

} // namespace cicadalug

#endif
