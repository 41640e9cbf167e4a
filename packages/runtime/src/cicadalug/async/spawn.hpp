#ifndef CICADALUG_ASYNC_SPAWN_HPP
#define CICADALUG_ASYNC_SPAWN_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string_view>

namespace cicadalug {

/**
 * @brief Runs a coroutine that nobody waits for. boost::asio::detached would discard its exception, and the coroutine
 * would have ended without a trace while the program relies on it.
 * @param executor Executor that runs the coroutine.
 * @param coroutine Coroutine to run.
 * @param name Name of the coroutine for the log line of a failure; must outlive the coroutine.
 * @param on_failure Called on the executor after the coroutine has ended with an exception. Without it, the exception
 * is thrown out of the event loop, which ends the program.
 */
auto spawn(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> coroutine, std::string_view name,
           std::function<void()> on_failure = nullptr) -> void;

} // namespace cicadalug

#endif
