#ifndef CICADALUG_MODEL_JSON_TEXT_HPP
#define CICADALUG_MODEL_JSON_TEXT_HPP

#include <cicadalug/base/result.hpp>

#include <nlohmann/json.hpp>

#include <string_view>

namespace cicadalug {

/**
 * @brief Parses a JSON text from outside. Duplicate members and nesting above 32 levels are faults: the first hide a
 * value from the reader, the second exhausts the stack when the value is written again.
 * @param text The text.
 * @return The value, or findings with line and column.
 * @note Thread safety: can be called concurrently.
 */
[[nodiscard]] auto parse_json_text(std::string_view text) -> result<nlohmann::json>;

} // namespace cicadalug

#endif
