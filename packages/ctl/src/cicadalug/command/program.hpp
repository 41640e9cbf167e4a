#ifndef CICADALUG_COMMAND_PROGRAM_HPP
#define CICADALUG_COMMAND_PROGRAM_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace cicadalug {

/**
 * @brief Runs cicadalugctl.
 * @param arguments The arguments without the name of the program.
 * @param out Receives the output.
 * @param error Receives findings and failures.
 * @return The exit code, see exit_code.hpp.
 */
[[nodiscard]] auto run_program(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& error)
    -> int;

} // namespace cicadalug

#endif
