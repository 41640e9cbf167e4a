#ifndef CICADALUG_BASE_NEAREST_NAME_HPP
#define CICADALUG_BASE_NEAREST_NAME_HPP

#include <span>
#include <string>
#include <string_view>

namespace cicadalug {

/**
 * @brief Finds the known name that a misspelled one was probably meant to be.
 * @param name The unknown name.
 * @param known All known names.
 * @return The known name with the smallest edit distance, or an empty view if none is near.
 */
[[nodiscard]] auto nearest_name(std::string_view name, std::span<const std::string_view> known) -> std::string_view;

/**
 * @brief Formats the message of a finding about an unknown name.
 * @param what What is unknown, for example "member".
 * @param name The unknown name.
 * @param known All known names.
 * @return A message that names the nearest known name if there is one, and all known names otherwise.
 */
[[nodiscard]] auto unknown_name_message(std::string_view what, std::string_view name,
                                        std::span<const std::string_view> known) -> std::string;

} // namespace cicadalug

#endif
