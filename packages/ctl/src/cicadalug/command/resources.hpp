#ifndef CICADALUG_COMMAND_RESOURCES_HPP
#define CICADALUG_COMMAND_RESOURCES_HPP

#include <cicadalug/command/context.hpp>

#include <string>

namespace cicadalug {

/**
 * @brief Prints one resource.
 * @param context The command context.
 * @param kind The kind.
 * @param name The name.
 * @return The exit code.
 */
[[nodiscard]] auto get(const command_context& context, resource_kind kind, const std::string& name) -> exit_code;

/**
 * @brief Prints all resources of a kind.
 * @param context The command context.
 * @param kind The kind.
 * @return The exit code.
 */
[[nodiscard]] auto list(const command_context& context, resource_kind kind) -> exit_code;

/**
 * @brief Deletes a resource.
 * @param context The command context.
 * @param kind The kind.
 * @param name The name.
 * @param expected Required current version; zero: the version is read first.
 * @return The exit code.
 */
[[nodiscard]] auto erase(const command_context& context, resource_kind kind, const std::string& name, version expected)
    -> exit_code;

} // namespace cicadalug

#endif
