#ifndef CICADALUG_ENTRY_WAIT_LINE_HPP
#define CICADALUG_ENTRY_WAIT_LINE_HPP

#include <cicadalug/scheduler/wait_cause.hpp>
#include <cicadalug/telemetry/log_line.hpp>

namespace cicadalug {

/**
 * @brief Describes why a task waits. Counts that are zero are left out.
 * @param wait The task.
 * @param token Fencing token of the decider's term.
 */
[[nodiscard]] auto make_wait_line(const task_wait& wait, fencing_token token) -> log_line;

} // namespace cicadalug

#endif
