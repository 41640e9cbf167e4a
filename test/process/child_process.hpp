#ifndef CICADALUG_PROCESS_CHILD_PROCESS_HPP
#define CICADALUG_PROCESS_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <string>
#include <vector>

namespace cicadalug::process_test {

/** @brief A process that a test started. The destructor kills it by its pid if it is still running. */
class child_process {
public:
    /**
     * @brief Starts a program.
     * @param program Path of the program.
     * @param arguments Command line arguments, without the program name.
     */
    child_process(const std::string& program, const std::vector<std::string>& arguments);

    child_process(const child_process&) = delete;
    child_process(child_process&& other) noexcept;
    auto operator=(const child_process&) -> child_process& = delete;
    auto operator=(child_process&&) -> child_process& = delete;
    ~child_process();

    /** @brief Sends a signal to the process. */
    auto signal(int number) const -> void;

    /** @brief Stops the process with SIGSTOP, and waits until all of its threads have stopped. */
    auto stop() const -> void;

    /** @brief Waits until the process exits. @return Its exit code, or 128 plus the signal that terminated it. */
    auto wait() -> int;

private:
    pid_t m_pid{-1};
};

/** @brief Waits until a TCP port accepts connections. @return False if it does not accept one within 5 s. */
[[nodiscard]] auto wait_for_port(const std::string& endpoint) -> bool;

/**
 * @brief Returns a loopback address that no other test process of this run uses, so that tests can run concurrently on
 * fixed ports.
 */
[[nodiscard]] auto loopback_address() -> std::string;

} // namespace cicadalug::process_test

#endif
