#ifndef CICADALUG_DOCUMENT_RESOURCE_DOCUMENT_HPP
#define CICADALUG_DOCUMENT_RESOURCE_DOCUMENT_HPP

#include <cicadalug/base/finding.hpp>
#include <cicadalug/model/resource.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cicadalug {

/** @brief A resource read from a file, with the places of its members. */
struct resource_document {
    resource m_resource;
    /** @brief "file:line:column" by path of the member, for example "spec.pool"; the empty path is the document. */
    std::map<std::string, std::string> m_places;
};

/**
 * @brief Reads resources in YAML, of which JSON is a part; a file may hold several documents.
 * @param text The text.
 * @param file Name of the file for the findings.
 * @param found Gets all faults of shape with file, line and column.
 * @return The resources without such faults.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto parse_resource_documents(const std::string& text, std::string_view file, findings& found)
    -> std::vector<resource_document>;

/**
 * @brief Reads a file, or all files of a folder whose names end in .yaml, .yml or .json.
 * @param path The file or folder.
 * @param found Gets all faults of shape with file, line and column.
 * @return The resources without such faults, in the order of the file names.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto load_resource_documents(const std::string& path, findings& found) -> std::vector<resource_document>;

/**
 * @brief Adds findings about a resource with the place in its file before their path.
 * @param document The resource.
 * @param faults Findings whose place is a path in the resource.
 * @param found Gets them as "file:line:column: path".
 */
auto append_located(const resource_document& document, const findings& faults, findings& found) -> void;

} // namespace cicadalug

#endif
