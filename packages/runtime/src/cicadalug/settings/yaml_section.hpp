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
 * @brief Reads one mapping of a YAML document and collects all errors with their line and column.
 * @note Thread safety: used by one thread.
 */
class yaml_section {
public:
    /**
     * @brief Constructs a reader of a mapping.
     * @param node The mapping; any other node is a finding.
     * @param file File name used in the findings.
     * @param found Receives the findings; outlives the section.
     */
    yaml_section(const YAML::Node& node, std::string_view file, findings& found);

    /**
     * @brief Reads a required non-empty string.
     * @param key Key of the value.
     * @return The string, empty after a finding.
     */
    [[nodiscard]] auto required_text(std::string_view key) -> std::string;

    /**
     * @brief Reads an optional non-empty string.
     * @param key Key of the value.
     * @return The string, empty if the key is missing or after a finding.
     */
    [[nodiscard]] auto optional_text(std::string_view key) -> std::string;

    /**
     * @brief Reads an optional integer.
     * @param key Key of the value.
     * @param fallback Value if the key is missing or after a finding.
     * @param lowest Smallest allowed value.
     * @param highest Largest allowed value.
     * @return The integer, or the fallback.
     */
    [[nodiscard]] auto integer(std::string_view key, std::int64_t fallback, std::int64_t lowest, std::int64_t highest)
        -> std::int64_t;

    /**
     * @brief Returns a nested node.
     * @param key Key of the node.
     * @param required True if a missing key is a finding.
     * @return The node, undefined if the key is missing or null.
     */
    [[nodiscard]] auto child(std::string_view key, bool required) -> YAML::Node;

    /** @brief Adds a finding for each unknown and each repeated key. Must be called after all keys were read. */
    auto finish() -> void;

    /**
     * @brief Returns the location of a key's value, or of the mapping if it has no such key.
     * @param key Key of the value.
     * @return File, line and column, counted from 1.
     */
    [[nodiscard]] auto place_of(std::string_view key) const -> std::string;

private:
    YAML::Node m_node;
    std::string_view m_file;
    findings& m_found;
    std::vector<std::string> m_read_keys;
};

/**
 * @brief Formats the location of a YAML mark.
 * @param file File name.
 * @param mark Line and column, counted from 0.
 * @return "file:line:column", counted from 1.
 */
[[nodiscard]] auto yaml_place(std::string_view file, const YAML::Mark& mark) -> std::string;

} // namespace cicadalug

#endif
