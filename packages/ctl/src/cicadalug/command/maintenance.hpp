#ifndef CICADALUG_COMMAND_MAINTENANCE_HPP
#define CICADALUG_COMMAND_MAINTENANCE_HPP

#include <cicadalug/command/context.hpp>
#include <cicadalug/model/wave.hpp>

#include <string>

namespace cicadalug {

/**
 * @brief Asks that a VM takes no work, or that it takes work again. Its assigned pool is kept.
 * @param context Where to.
 * @param vm Name of the VM.
 * @param drain True to drain.
 * @return The exit code; done if the VM is in the wanted state already.
 */
[[nodiscard]] auto set_drain(const command_context& context, const std::string& vm, bool drain) -> exit_code;

/**
 * @brief Creates a maintenance wave.
 * @param context Where to.
 * @param started The wave.
 * @return The exit code; lost_race if a wave of that name exists.
 */
[[nodiscard]] auto start_wave(const command_context& context, const wave& started) -> exit_code;

/**
 * @brief Pauses or resumes a wave.
 * @param context Where to.
 * @param name Name of the wave.
 * @param paused True to pause.
 * @return The exit code; done if the wave is in the wanted state already.
 */
[[nodiscard]] auto set_wave_paused(const command_context& context, const std::string& name, bool paused) -> exit_code;

} // namespace cicadalug

#endif
