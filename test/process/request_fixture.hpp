#ifndef CICADALUG_PROCESS_REQUEST_FIXTURE_HPP
#define CICADALUG_PROCESS_REQUEST_FIXTURE_HPP

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

/** @brief Request of a caller to an entry VM. */
struct client_request {
    std::string m_id{};
    std::string m_body{"40 brackets"};
    /** @brief Headers in addition to X-Request-Id, by name. */
    std::map<std::string, std::string> m_headers{};
    std::string m_target{"/v1/services/quotes/requests"};
};

/** @brief Response that a caller receives. */
struct client_response {
    /** @brief "answered", "not-run" or "unknown", or "closed" if there was no response. */
    std::string m_outcome;
    unsigned m_status{0};
    std::string m_body;
    std::optional<http_response> m_response;
};

/** @brief Upstream stand-ins and entry VMs of one test, all on one loopback address. */
class request_fixture {
public:
    /** @brief Starts no process. @param entry_vms Number of entry VMs that share the slots. */
    explicit request_fixture(std::size_t entry_vms = 1);
    request_fixture(const request_fixture&) = delete;
    request_fixture(request_fixture&&) = delete;
    auto operator=(const request_fixture&) -> request_fixture& = delete;
    auto operator=(request_fixture&&) -> request_fixture& = delete;
    ~request_fixture();

    /** @brief Starts an upstream and waits until its control port accepts connections. */
    auto add_upstream(const arguments& extra_arguments = {}) -> void;

    /** @brief Starts an entry VM with all upstreams added so far and with the other entry VMs as its peers. */
    auto add_entry_vm(const arguments& extra_arguments = {}) -> void;

    [[nodiscard]] auto entry_vm(std::size_t index = 0) -> child_process& { return m_entry_vms.at(index); }

    /** @brief Sends a request to an entry VM and waits for the response or the timeout. */
    [[nodiscard]] auto send(const client_request& sent, std::size_t entry_vm = 0,
                            std::chrono::milliseconds timeout = std::chrono::milliseconds{8'000}) const
        -> client_response;

    /**
     * @brief Sends requests r0, r1 and so on from several threads.
     * @param request_template Values of each request apart from its id and body.
     * @return The responses by request id.
     */
    [[nodiscard]] auto send_many(int count, int threads, const client_request& request_template = {}) const
        -> std::map<std::string, client_response>;

    /** @brief Requests tickets from an entry VM. @return One ticket, empty if none was issued. */
    [[nodiscard]] auto request_ticket(std::size_t entry_vm = 0) const -> std::string;

    /** @brief Changes the behaviour of an upstream. @return Its state, null if there was no response. */
    auto control_upstream(const nlohmann::json& changes, std::size_t upstream = 0) const -> nlohmann::json;

    /** @brief Returns the number of executions by request id, from the execution logs of all upstreams. */
    [[nodiscard]] auto executions() const -> std::map<std::string, int>;

    /** @brief Waits until the upstreams have run a number of requests. @return False if they have not within 5 s. */
    [[nodiscard]] auto wait_for_executions(std::size_t count) const -> bool;

    [[nodiscard]] auto entry_vm_address(std::size_t index = 0) const -> std::string;

private:
    [[nodiscard]] auto address(int first_port, std::size_t index) const -> std::string;
    [[nodiscard]] auto execution_log_path(std::size_t upstream) const -> std::string;

    std::size_t m_entry_vm_count;
    std::string m_host;
    std::vector<child_process> m_upstreams;
    std::vector<child_process> m_entry_vms;
};

/**
 * @brief Checks the responses against the execution logs: a request with the outcome "not-run" did not run, one that
 * was answered with status 200 ran, and none ran twice.
 */
auto expect_consistent_outcomes(const std::map<std::string, client_response>& responses,
                                const std::map<std::string, int>& executions) -> void;

/** @brief Counts the responses with an outcome. */
[[nodiscard]] auto count_outcome(const std::map<std::string, client_response>& responses, const std::string& outcome)
    -> int;

} // namespace cicadalug::process_test

#endif
