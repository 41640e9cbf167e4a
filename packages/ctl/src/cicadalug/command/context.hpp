#ifndef CICADALUG_COMMAND_CONTEXT_HPP
#define CICADALUG_COMMAND_CONTEXT_HPP

#include <cicadalug/client/api_client.hpp>

#include <cstdint>
#include <iosfwd>
#include <string>

namespace cicadalug {

/** @brief Output format. */
enum class output_format : std::uint8_t { table, json };

/** @brief Client, output format and output streams of a command. */
struct command_context {
    const api_client& m_client;
    output_format m_format{output_format::table};
    std::ostream& m_out;
    std::ostream& m_error;
};

/**
 * @brief Prints all findings of a failure; for a version conflict, the current version and how to proceed.
 * @param context The command context.
 * @param failure The failure.
 * @param subject Resource or command of the call, for example "service/quotes"; may be empty.
 * @return The exit code of the failure.
 */
[[nodiscard]] auto report_failure(const command_context& context, const api_failure& failure,
                                  const std::string& subject) -> exit_code;

/**
 * @brief Prints findings about the input.
 * @param context The command context.
 * @param found The findings, not empty.
 * @return exit_code::invalid.
 */
[[nodiscard]] auto report_invalid(const command_context& context, const findings& found) -> exit_code;

/**
 * @brief Prints the result of a change to a resource.
 * @param context The command context.
 * @param kind Kind of the resource.
 * @param name Name of the resource.
 * @param action Result of the change, for example "created".
 * @param new_version Version of the write; zero: none is printed in a table.
 */
auto report_change(const command_context& context, resource_kind kind, const std::string& name,
                   const std::string& action, version new_version) -> void;

/**
 * @brief Formats kind and name of a resource for display.
 * @param kind The kind.
 * @param name The name.
 * @return "kind/name".
 */
[[nodiscard]] auto resource_title(resource_kind kind, const std::string& name) -> std::string;

} // namespace cicadalug

#endif
