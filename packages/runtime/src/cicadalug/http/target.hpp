#ifndef CICADALUG_HTTP_TARGET_HPP
#define CICADALUG_HTTP_TARGET_HPP

#include <map>
#include <string>
#include <string_view>

namespace cicadalug {

/** @brief Target of an HTTP request, decoded. */
struct http_target {
    /** @brief Path without the query, percent-decoded. */
    std::string m_path;
    /** @brief Names and values of the query, percent-decoded. */
    std::map<std::string, std::string> m_query;
};

/**
 * @brief Splits the target of a request.
 * @param target Path and query as sent.
 * @return The decoded target; a broken escape is kept as it is.
 */
[[nodiscard]] auto parse_target(std::string_view target) -> http_target;

/**
 * @brief Escapes a text for use in a path or a query. Slashes are kept.
 * @param text The text.
 * @return The text with all characters but unreserved ones and slashes escaped.
 */
[[nodiscard]] auto percent_encode(std::string_view text) -> std::string;

/**
 * @brief Reads a number of a query.
 * @param target The target.
 * @param name Name of the number.
 * @param fallback Value if the name is missing or no number.
 * @return The number.
 */
[[nodiscard]] auto query_number(const http_target& target, const std::string& name, unsigned long long fallback)
    -> unsigned long long;

} // namespace cicadalug

#endif
