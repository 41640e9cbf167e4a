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
    /** @brief Query parameters by name, percent-decoded. */
    std::map<std::string, std::string> m_query;
};

/**
 * @brief Parses the target of a request.
 * @param target Path and query as sent.
 * @return The decoded target; a malformed escape sequence is left unchanged.
 */
[[nodiscard]] auto parse_target(std::string_view target) -> http_target;

/**
 * @brief Percent-encodes a text for use in a path or a query. Slashes are not encoded.
 * @param text Text to encode.
 * @return The text with all characters encoded except unreserved ones and slashes.
 */
[[nodiscard]] auto percent_encode(std::string_view text) -> std::string;

/**
 * @brief Returns a numeric query parameter.
 * @param target Decoded target.
 * @param name Name of the parameter.
 * @param fallback Value if the parameter is missing or not a number.
 * @return Value of the parameter, or the fallback.
 */
[[nodiscard]] auto query_number(const http_target& target, const std::string& name, unsigned long long fallback)
    -> unsigned long long;

} // namespace cicadalug

#endif
