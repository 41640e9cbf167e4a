#ifndef CICADALUG_BASE_NEAREST_NAME_HPP
#define CICADALUG_BASE_NEAREST_NAME_HPP

#include <span>
#include <string>
#include <string_view>

namespace cicadalug {

/**
 * @brief Finds the known name that is closest to a misspelled one.
 * @param name The unknown name.
 * @param known All known names.
 * @return The known name with the smallest edit distance, or an empty view if none is similar enough.
 */
[[nodiscard]] auto nearest_name(std::string_view name, std::span<const std::string_view> known) -> std::string_view;

/**
 * @brief Formats the message of a finding for an unknown name.
 * @param what Kind of the named thing, for example "member".
 * @param name The unknown name.
 * @param known All known names.
 * @return A message that suggests the closest known name if one is similar enough, and lists all known names otherwise.
 */
[[nodiscard]] auto unknown_name_message(std::string_view what, std::string_view name,
                                        std::span<const std::string_view> known) -> std::string;

} // namespace cicadalug

#endif
