#ifndef CICADALUG_COMMAND_APPLY_HPP
#define CICADALUG_COMMAND_APPLY_HPP

#include <cicadalug/command/context.hpp>

#include <string>

namespace cicadalug {

/** @brief Arguments of the command apply. */
struct apply_options {
    /** @brief A file or a directory. */
    std::string m_path;
    /** @brief True to print the differences without writing. */
    bool m_dry_run{false};
    /** @brief True to retry a write after a version conflict, which overwrites the other change. */
    bool m_force{false};
};

/**
 * @brief Writes the resources of files that differ from the stored ones. All files are validated before the first
 * write; if there is an error, nothing is changed. The writes are made one by one, referenced resources first, and stop
 * at the first that fails.
 * @param context The command context.
 * @param options The arguments.
 * @return The exit code.
 */
[[nodiscard]] auto apply(const command_context& context, const apply_options& options) -> exit_code;

} // namespace cicadalug

#endif
