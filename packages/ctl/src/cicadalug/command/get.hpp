#ifndef CICADALUG_COMMAND_GET_HPP
#define CICADALUG_COMMAND_GET_HPP

#include <cicadalug/http/message.hpp>

#include <iosfwd>
#include <string>

namespace cicadalug {

/**
 * @brief Reads one path of an entry VM and prints the answer.
 * @param entry_vm Address of the entry VM.
 * @param target Path to read.
 * @param out Gets the body of the answer.
 * @return 0 after an answer with a status below 400, 1 otherwise.
 */
[[nodiscard]] auto get_path(const tcp_endpoint& entry_vm, const std::string& target, std::ostream& out) -> int;

} // namespace cicadalug

#endif
