#ifndef CICADALUG_DOCUMENT_RESOURCE_DOCUMENT_HPP
#define CICADALUG_DOCUMENT_RESOURCE_DOCUMENT_HPP

#include <cicadalug/base/finding.hpp>
#include <cicadalug/model/resource.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief A resource read from a file, with the locations of its members. */
struct resource_document {
    resource m_resource;
    /** @brief "file:line:column" by member path, for example "spec.pool"; the empty path is the document. */
    std::map<std::string, std::string> m_locations;
};

/**
 * @brief Parses resources in YAML or JSON, a subset of YAML; the text can contain several documents.
 * @param text The text.
 * @param file Name of the file for the findings.
 * @param found Receives all errors of syntax and structure with file, line and column.
 * @return The resources without such errors.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto parse_resource_documents(const std::string& text, std::string_view file, findings& found)
    -> std::vector<resource_document>;

/**
 * @brief Reads a file, or all files of a directory whose names end in .yaml, .yml or .json.
 * @param path The file or directory.
 * @param found Receives all errors of syntax and structure with file, line and column.
 * @return The resources without such errors, in the order of the file names.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto load_resource_documents(const std::string& path, findings& found) -> std::vector<resource_document>;

/**
 * @brief Adds findings about a resource, each path prefixed with its location in the file.
 * @param document The resource.
 * @param errors Findings whose place is a path in the resource.
 * @param found Receives the findings with the place "file:line:column: path".
 */
auto append_with_location(const resource_document& document, const findings& errors, findings& found) -> void;

} // namespace cicadalug

#endif
