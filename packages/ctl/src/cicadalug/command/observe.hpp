#ifndef CICADALUG_COMMAND_OBSERVE_HPP
#define CICADALUG_COMMAND_OBSERVE_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/command/context.hpp>

namespace cicadalug {

/** @brief What to watch. */
struct watch_options {
    /** @brief Changes above this version are shown. */
    version m_after;
    /** @brief Time to watch; zero: until the stream breaks. */
    milliseconds m_limit{0};
};

/**
 * @brief Shows each change of a resource as it happens.
 * @param context Where from and to.
 * @param options What to watch.
 * @return The exit code.
 */
[[nodiscard]] auto watch(const command_context& context, const watch_options& options) -> exit_code;

/**
 * @brief Shows zones, entry VMs and the version in force.
 * @param context Where from and to.
 * @return The exit code.
 */
[[nodiscard]] auto status(const command_context& context) -> exit_code;

/**
 * @brief Shows how far a wave is in each availability zone, with an account of every VM.
 * @param context Where from and to.
 * @param name Name of the wave.
 * @return The exit code.
 */
[[nodiscard]] auto wave_status(const command_context& context, const std::string& name) -> exit_code;

/**
 * @brief Shows the VMs with their pool and phase.
 * @param context Where from and to.
 * @return The exit code.
 */
[[nodiscard]] auto list_vms(const command_context& context) -> exit_code;

} // namespace cicadalug

#endif
