#ifndef CICADALUG_ENTRY_ENTRY_PROGRAM_HPP
#define CICADALUG_ENTRY_ENTRY_PROGRAM_HPP

#include <cicadalug/adapter/deployment_settings.hpp>
#include <cicadalug/base/result.hpp>

namespace cicadalug {

/**
 * @brief Runs an entry VM on the users' platform until SIGTERM.
 * @param settings Settings of the deployment, from the platform.
 * @return Nothing after a graceful shutdown, or findings if a listening address is not available.
 */
[[nodiscard]] auto run_entry_program(const deployment_settings& settings) -> findings;

} // namespace cicadalug

#endif
