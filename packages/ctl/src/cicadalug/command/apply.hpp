#ifndef CICADALUG_COMMAND_APPLY_HPP
#define CICADALUG_COMMAND_APPLY_HPP

#include <cicadalug/command/context.hpp>

#include <string>

namespace cicadalug {

/** @brief What to apply. */
struct apply_options {
    /** @brief File or folder. */
    std::string m_path;
    /** @brief True to show the difference only. */
    bool m_dry_run{false};
    /** @brief True to repeat a write that lost a race on top of the other one. */
    bool m_force{false};
};

/**
 * @brief Writes the resources of files that differ from those in force. All files are checked before the first write;
 * with a fault nothing is changed. The writes are made one by one, in the order of their references, and stop at the
 * first that fails.
 * @param context Where to.
 * @param options What to apply.
 * @return The exit code.
 */
[[nodiscard]] auto apply(const command_context& context, const apply_options& options) -> exit_code;

} // namespace cicadalug

#endif
