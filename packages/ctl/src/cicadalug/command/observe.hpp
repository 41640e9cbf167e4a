#ifndef CICADALUG_COMMAND_OBSERVE_HPP
#define CICADALUG_COMMAND_OBSERVE_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/command/context.hpp>

namespace cicadalug {

/** @brief Arguments of the command watch. */
struct watch_options {
    /** @brief Changes above this version are printed. */
    version m_after;
    /** @brief Duration of the watch; zero: until the stream breaks. */
    milliseconds m_duration{0};
};

/**
 * @brief Prints each change of a resource as it happens.
 * @param context The command context.
 * @param options The arguments.
 * @return The exit code.
 */
[[nodiscard]] auto watch(const command_context& context, const watch_options& options) -> exit_code;

/**
 * @brief Prints the availability zones, the entry VMs and the current version of the resources.
 * @param context The command context.
 * @return The exit code.
 */
[[nodiscard]] auto status(const command_context& context) -> exit_code;

/**
 * @brief Prints the progress of a wave in each availability zone and the outcome for each VM.
 * @param context The command context.
 * @param name Name of the wave.
 * @return The exit code.
 */
[[nodiscard]] auto wave_status(const command_context& context, const std::string& name) -> exit_code;

/**
 * @brief Prints the VMs with their pool and phase.
 * @param context The command context.
 * @return The exit code.
 */
[[nodiscard]] auto list_vms(const command_context& context) -> exit_code;

} // namespace cicadalug

#endif
