#ifndef CICADALUG_PROCESS_REQUEST_SCENE_HPP
#define CICADALUG_PROCESS_REQUEST_SCENE_HPP

#include "child_process.hpp"

#include <cicadalug/http/http_connection.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadalug::process_test {

using arguments = std::vector<std::string>;

/** @brief What a caller sends. */
struct call {
    std::string m_id{};
    std::string m_body{"40 brackets"};
    /** @brief Further headers, by name. */
    std::map<std::string, std::string> m_headers{};
    std::string m_target{"/v1/services/quotes/requests"};
};

/** @brief What a caller learns. */
struct reply {
    /** @brief "answered", "not-run" or "unknown", or "closed" if there was no response. */
    std::string m_outcome;
    unsigned m_status{0};
    std::string m_body;
    std::optional<http_response> m_response;
};

/** @brief Upstream stand-ins and entry VMs of one test, all on one address of the loopback range. */
class request_scene {
public:
    /** @brief Constructs an empty scene. @param entry_vms Number of entry VMs that share the slots. */
    explicit request_scene(std::size_t entry_vms = 1);
    request_scene(const request_scene&) = delete;
    request_scene(request_scene&&) = delete;
    auto operator=(const request_scene&) -> request_scene& = delete;
    auto operator=(request_scene&&) -> request_scene& = delete;
    ~request_scene();

    /** @brief Starts an upstream and waits until it listens. */
    auto add_upstream(const arguments& more = {}) -> void;

    /** @brief Starts an entry VM that knows all upstreams and the other entry VMs. */
    auto add_entry_vm(const arguments& more = {}) -> void;

    [[nodiscard]] auto entry_vm(std::size_t index = 0) -> child_process& { return m_entry_vms.at(index); }

    /** @brief Sends a request to an entry VM and waits for its end. */
    [[nodiscard]] auto send(const call& sent, std::size_t entry_vm = 0,
                            std::chrono::milliseconds timeout = std::chrono::milliseconds{8'000}) const -> reply;

    /** @brief Sends requests r0, r1 and so on from several threads, and returns what their callers learned, by id. */
    [[nodiscard]] auto send_many(int count, int threads, const call& sample = {}) const -> std::map<std::string, reply>;

    /** @brief Takes a ticket at an entry VM. */
    [[nodiscard]] auto take_ticket(std::size_t entry_vm = 0) const -> std::string;

    /** @brief Changes the behaviour of an upstream and returns its state. */
    auto control(const nlohmann::json& changes, std::size_t upstream = 0) const -> nlohmann::json;

    /** @brief Returns how often each request ran, by the execution logs of all upstreams. */
    [[nodiscard]] auto executions() const -> std::map<std::string, int>;

    /** @brief Waits until the upstreams have run a number of requests. @return False if they do not within 5 s. */
    [[nodiscard]] auto wait_for_executions(std::size_t count) const -> bool;

    [[nodiscard]] auto entry_vm_address(std::size_t index = 0) const -> std::string;

private:
    [[nodiscard]] auto address(int first_port, std::size_t index) const -> std::string;
    [[nodiscard]] auto log_of(std::size_t upstream) const -> std::string;

    std::size_t m_entry_vm_count;
    std::string m_host;
    std::vector<child_process> m_upstreams;
    std::vector<child_process> m_entry_vms;
};

/** @brief Checks what callers learned against the execution logs: not-run did not run, answered ran, nothing twice. */
auto expect_truthful(const std::map<std::string, reply>& replies, const std::map<std::string, int>& executions) -> void;

/** @brief Counts the replies with an outcome. */
[[nodiscard]] auto count_outcome(const std::map<std::string, reply>& replies, const std::string& outcome) -> int;

} // namespace cicadalug::process_test

#endif
