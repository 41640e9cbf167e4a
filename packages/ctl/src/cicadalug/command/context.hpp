#ifndef CICADALUG_COMMAND_CONTEXT_HPP
#define CICADALUG_COMMAND_CONTEXT_HPP

#include <cicadalug/client/api_client.hpp>

#include <cstdint>
#include <iosfwd>
#include <string>

namespace cicadalug {

/** @brief Form of the output. */
enum class output_format : std::uint8_t { table, json };

/** @brief What all commands work with. */
struct command_context {
    const api_client& m_client;
    output_format m_format{output_format::table};
    std::ostream& m_out;
    std::ostream& m_error;
};

/**
 * @brief Writes all findings of a failure, and after a lost race what to do.
 * @param context Where to.
 * @param failure The failure.
 * @param what What the call was about, for example "service/quotes"; may be empty.
 * @return The exit code of the failure.
 */
[[nodiscard]] auto report(const command_context& context, const api_failure& failure, const std::string& what)
    -> exit_code;

/**
 * @brief Writes findings about the input.
 * @param context Where to.
 * @param found The findings, not empty.
 * @return exit_code::invalid.
 */
[[nodiscard]] auto report_invalid(const command_context& context, const findings& found) -> exit_code;

/**
 * @brief Writes a change that was made.
 * @param context Where to.
 * @param kind Kind of the resource.
 * @param name Name of the resource.
 * @param action What was done, for example "created".
 * @param changed Version of the write.
 */
auto report_change(const command_context& context, resource_kind kind, const std::string& name,
                   const std::string& action, version changed) -> void;

/**
 * @brief Formats the name of a resource for people.
 * @param kind The kind.
 * @param name The name.
 * @return "kind/name".
 */
[[nodiscard]] auto resource_title(resource_kind kind, const std::string& name) -> std::string;

} // namespace cicadalug

#endif
