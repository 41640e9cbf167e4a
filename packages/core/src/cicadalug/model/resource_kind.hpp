#ifndef CICADALUG_MODEL_RESOURCE_KIND_HPP
#define CICADALUG_MODEL_RESOURCE_KIND_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cicadalug {

/** @brief Kind of a resource that operators declare. */
enum class resource_kind : std::uint8_t { pool, service, wave, team, room, vm, policy };

/** @brief Names of all kinds in the order of the enumeration. */
inline constexpr std::array<std::string_view, 7> resource_kind_names{"pool", "service", "wave",  "team",
                                                                     "room", "vm",      "policy"};

/**
 * @brief Returns the name of a kind.
 * @param kind The kind.
 * @return The name as used in keys and paths.
 */
[[nodiscard]] constexpr auto to_string(const resource_kind kind) noexcept -> std::string_view
{
    return resource_kind_names.at(static_cast<std::size_t>(kind));
}

/**
 * @brief Finds a kind by its name.
 * @param name The name.
 * @return The kind, or no value if there is none with that name.
 */
[[nodiscard]] constexpr auto parse_resource_kind(const std::string_view name) noexcept -> std::optional<resource_kind>
{
    for (std::size_t index = 0; index < resource_kind_names.size(); ++index) {
        if (resource_kind_names.at(index) == name) {
            return static_cast<resource_kind>(index);
        }
    }
    return std::nullopt;
}

} // namespace cicadalug

#endif
