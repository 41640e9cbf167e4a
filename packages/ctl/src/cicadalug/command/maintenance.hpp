#ifndef CICADALUG_COMMAND_MAINTENANCE_HPP
#define CICADALUG_COMMAND_MAINTENANCE_HPP

#include <cicadalug/command/context.hpp>
#include <cicadalug/model/wave.hpp>

#include <string>

namespace cicadalug {

/**
 * @brief Requests that a VM accepts no new work, or that it accepts work again. Its assigned pool is kept.
 * @param context The command context.
 * @param vm Name of the VM.
 * @param drain True to drain.
 * @return The exit code; done if the VM is already in the requested state.
 */
[[nodiscard]] auto set_drain(const command_context& context, const std::string& vm, bool drain) -> exit_code;

/**
 * @brief Creates a maintenance wave.
 * @param context The command context.
 * @param new_wave The wave.
 * @return The exit code; version_conflict if a wave of that name exists.
 */
[[nodiscard]] auto start_wave(const command_context& context, const wave& new_wave) -> exit_code;

/**
 * @brief Pauses or resumes a wave.
 * @param context The command context.
 * @param name Name of the wave.
 * @param paused True to pause.
 * @return The exit code; done if the wave is already in the requested state.
 */
[[nodiscard]] auto set_wave_paused(const command_context& context, const std::string& name, bool paused) -> exit_code;

} // namespace cicadalug

#endif
