#include "child_process.hpp"

#include <cicadalug/http/message.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <stdexcept>
#include <thread>
#include <utility>

namespace cicadalug::process_test {

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments)
{
    std::vector<char*> raw{const_cast<char*>(program.c_str())};
    for (const auto& argument : arguments) {
        raw.push_back(const_cast<char*>(argument.c_str()));
    }
    raw.push_back(nullptr);
    if (::posix_spawn(&m_pid, program.c_str(), nullptr, nullptr, raw.data(), environ) != 0) {
        throw std::runtime_error{"cannot start program " + program};
    }
}

child_process::child_process(child_process&& other) noexcept : m_pid{std::exchange(other.m_pid, -1)} {}

child_process::~child_process()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        wait();
    }
}

auto child_process::signal(const int number) const -> void
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

auto child_process::stop() const -> void
{
    signal(SIGSTOP);
    if (m_pid > 0) {
        ::waitpid(m_pid, nullptr, WUNTRACED);
    }
}

auto child_process::wait() -> int
{
    if (m_pid <= 0) {
        return -1;
    }
    int status{};
    ::waitpid(std::exchange(m_pid, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

auto wait_for_port(const std::string& endpoint) -> bool
{
    constexpr std::chrono::milliseconds interval{20};
    constexpr int attempts{250};
    findings errors;
    const auto target = parse_endpoint(endpoint, "endpoint", errors);
    asio::io_context context;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        asio::ip::tcp::socket socket{context};
        boost::system::error_code error;
        socket.connect(target, error);
        if (!error) {
            return true;
        }
        std::this_thread::sleep_for(interval);
    }
    return false;
}

auto loopback_address() -> std::string
{
    // A pid is at most 2^22, and the tests of one run start close together, so the low 20 bits of the pid distinguish
    // them: 6 in the second octet, 7 in the third and 7 in the fourth.
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + (pid >> 14U) % 64) + '.' + std::to_string((pid >> 7U) % 128) + '.' +
           std::to_string(1 + pid % 128);
}

} // namespace cicadalug::process_test
