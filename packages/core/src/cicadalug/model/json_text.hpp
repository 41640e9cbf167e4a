#ifndef CICADALUG_MODEL_JSON_TEXT_HPP
#define CICADALUG_MODEL_JSON_TEXT_HPP

#include <cicadalug/base/result.hpp>

#include <nlohmann/json.hpp>

#include <string_view>

namespace cicadalug {

/**
 * @brief Parses untrusted JSON text. Duplicate members and more than 32 levels of nesting are errors: a duplicate hides
 * a value from the reader, and deep nesting exhausts the stack when the value is serialized again.
 * @param text The text.
 * @return The value, or findings. Their location is the line and column of a syntax error, the name of a duplicate
 * member, or "document".
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto parse_json_text(std::string_view text) -> result<nlohmann::json>;

} // namespace cicadalug

#endif
