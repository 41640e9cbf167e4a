#ifndef CICADALUG_SETTINGS_YAML_SECTION_HPP
#define CICADALUG_SETTINGS_YAML_SECTION_HPP

#include <cicadalug/base/finding.hpp>

#include <yaml-cpp/node/node.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/**
 * @brief Reads one mapping of a YAML document and collects all faults with their line and column.
 * @note Thread safety: used by one thread.
 */
class yaml_section {
public:
    /**
     * @brief Begins to read a mapping.
     * @param node The mapping; anything else is a finding.
     * @param file Name of the file for the findings.
     * @param found Gets the findings; outlives the section.
     */
    yaml_section(const YAML::Node& node, std::string_view file, findings& found);

    /**
     * @brief Reads a required text that is not empty.
     * @param key The key.
     * @return The text, empty after a finding.
     */
    [[nodiscard]] auto required_text(std::string_view key) -> std::string;

    /**
     * @brief Reads an optional text that is not empty.
     * @param key The key.
     * @return The text, empty if there is none.
     */
    [[nodiscard]] auto optional_text(std::string_view key) -> std::string;

    /**
     * @brief Reads an optional integer.
     * @param key The key.
     * @param fallback Value without the key or after a finding.
     * @param lowest Smallest value.
     * @param highest Largest value.
     * @return The integer.
     */
    [[nodiscard]] auto integer(std::string_view key, std::int64_t fallback, std::int64_t lowest, std::int64_t highest)
        -> std::int64_t;

    /**
     * @brief Reads a nested node.
     * @param key The key.
     * @param required True if a missing key is a finding.
     * @return The node, undefined if there is none.
     */
    [[nodiscard]] auto child(std::string_view key, bool required) -> YAML::Node;

    /** @brief Adds a finding for each unknown and each repeated key. To be called after all keys were read. */
    auto finish() -> void;

    /**
     * @brief Returns the place of a key, or of the mapping if it has no such key.
     * @param key The key.
     * @return File, line and column, counted from 1.
     */
    [[nodiscard]] auto place_of(std::string_view key) const -> std::string;

private:
    YAML::Node m_node;
    std::string_view m_file;
    findings& m_found;
    std::vector<std::string> m_known;
};

/**
 * @brief Formats the place of a YAML mark.
 * @param file Name of the file.
 * @param mark Line and column, counted from 0.
 * @return "file:line:column", counted from 1.
 */
[[nodiscard]] auto yaml_place(std::string_view file, const YAML::Mark& mark) -> std::string;

} // namespace cicadalug

#endif
