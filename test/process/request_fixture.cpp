#include "request_fixture.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <thread>

namespace cicadalug::process_test {

namespace {

constexpr int first_upstream_port{9001};
constexpr int first_control_port{9501};
constexpr int first_entry_vm_port{8001};

[[nodiscard]] auto endpoint_of(const std::string& text) -> tcp_endpoint
{
    findings errors;
    return parse_endpoint(text, "endpoint", errors);
}

} // namespace

request_fixture::request_fixture(const std::size_t entry_vms) : m_entry_vm_count{entry_vms}, m_host{loopback_address()}
{
}

request_fixture::~request_fixture()
{
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        std::remove(execution_log_path(index).c_str());
    }
}

auto request_fixture::address(const int first_port, const std::size_t index) const -> std::string
{
    return m_host + ':' + std::to_string(first_port + static_cast<int>(index));
}

auto request_fixture::entry_vm_address(const std::size_t index) const -> std::string
{
    return address(first_entry_vm_port, index);
}

auto request_fixture::execution_log_path(const std::size_t upstream) const -> std::string
{
    return "executions-" + std::to_string(::getpid()) + '-' + std::to_string(upstream) + ".log";
}

auto request_fixture::add_upstream(const arguments& extra_arguments) -> void
{
    const auto index = m_upstreams.size();
    arguments all{"--listen",  address(first_upstream_port, index), "--execution-log", execution_log_path(index),
                  "--control", address(first_control_port, index)};
    all.insert(all.end(), extra_arguments.begin(), extra_arguments.end());
    m_upstreams.emplace_back(CICADALUG_STANDIN_DIRECTORY "/upstream_standin", all);
    ASSERT_TRUE(wait_for_port(address(first_control_port, index)));
}

auto request_fixture::add_entry_vm(const arguments& extra_arguments) -> void
{
    const auto index = m_entry_vms.size();
    arguments all{"--listen", entry_vm_address(index), "--id", "entry-" + std::to_string(index), "--service", "quotes"};
    for (std::size_t upstream = 0; upstream < m_upstreams.size(); ++upstream) {
        all.insert(all.end(), {"--upstream", address(first_upstream_port, upstream)});
    }
    for (std::size_t other = 0; other < m_entry_vm_count; ++other) {
        if (other != index) {
            all.insert(all.end(), {"--peer", "entry-" + std::to_string(other) + '=' + entry_vm_address(other)});
        }
    }
    all.insert(all.end(), extra_arguments.begin(), extra_arguments.end());
    m_entry_vms.emplace_back(CICADALUG_CICADALUGD, all);
    ASSERT_TRUE(wait_for_port(entry_vm_address(index)));
}

auto request_fixture::send(const client_request& sent, const std::size_t entry_vm,
                           const std::chrono::milliseconds timeout) const -> client_response
{
    http_request request{http::verb::post, sent.m_target, 11};
    if (!sent.m_id.empty()) {
        request.set("X-Request-Id", sent.m_id);
    }
    for (const auto& [name, value] : sent.m_headers) {
        request.set(name, value);
    }
    request.body() = sent.m_body;
    const auto result = http_fetch_blocking(endpoint_of(entry_vm_address(entry_vm)), std::move(request), timeout);
    if (!result) {
        return {"closed", 0, {}, std::nullopt};
    }
    const auto& response = result.assume_value();
    return {std::string{response["X-Outcome"]}, response.result_int(), response.body(), response};
}

auto request_fixture::send_many(const int count, const int threads, const client_request& request_template) const
    -> std::map<std::string, client_response>
{
    std::map<std::string, client_response> responses;
    std::mutex mutex;
    std::atomic<int> next{0};
    const auto work = [&] {
        for (auto number = next++; number < count; number = next++) {
            auto sent = request_template;
            sent.m_id = 'r' + std::to_string(number);
            sent.m_body = "body of " + sent.m_id;
            auto response = send(sent);
            const std::lock_guard lock{mutex};
            responses[sent.m_id] = std::move(response);
        }
    };
    std::vector<std::thread> running;
    running.reserve(static_cast<std::size_t>(threads));
    for (int index = 0; index < threads; ++index) {
        running.emplace_back(work);
    }
    for (auto& thread : running) {
        thread.join();
    }
    return responses;
}

auto request_fixture::request_ticket(const std::size_t entry_vm) const -> std::string
{
    const auto response = send({{}, R"({"count": 2})", {}, "/v1/tickets"}, entry_vm);
    const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
    return body.is_object() ? body.value("/tickets/0"_json_pointer, std::string{}) : std::string{};
}

auto request_fixture::control_upstream(const nlohmann::json& changes, const std::size_t upstream) const
    -> nlohmann::json
{
    http_request request{http::verb::post, "/", 11};
    request.body() = changes.dump();
    const auto response = http_fetch_blocking(endpoint_of(address(first_control_port, upstream)), std::move(request),
                                              std::chrono::milliseconds{2'000});
    return response ? nlohmann::json::parse(response.assume_value().body(), nullptr, false) : nlohmann::json{};
}

auto request_fixture::executions() const -> std::map<std::string, int>
{
    std::map<std::string, int> counts;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        std::ifstream log{execution_log_path(index)};
        for (std::string id; std::getline(log, id);) {
            ++counts[id];
        }
    }
    return counts;
}

auto request_fixture::wait_for_executions(const std::size_t count) const -> bool
{
    constexpr std::chrono::milliseconds interval{5};
    for (int attempt = 0; attempt < 1'000 && executions().size() < count; ++attempt) {
        std::this_thread::sleep_for(interval);
    }
    return executions().size() >= count;
}

auto expect_consistent_outcomes(const std::map<std::string, client_response>& responses,
                                const std::map<std::string, int>& executions) -> void
{
    for (const auto& [id, response] : responses) {
        const auto execution = executions.find(id);
        const auto runs = execution == executions.end() ? 0 : execution->second;
        EXPECT_LE(runs, 1) << id;
        if (response.m_outcome == "not-run") {
            EXPECT_EQ(runs, 0) << id << ' ' << response.m_body;
        }
        else if (response.m_outcome == "answered" && response.m_status == 200) {
            EXPECT_EQ(runs, 1) << id;
            std::string expected{"done "};
            expected.append(id).append(" body of ").append(id);
            EXPECT_EQ(response.m_body, expected);
        }
    }
}

auto count_outcome(const std::map<std::string, client_response>& responses, const std::string& outcome) -> int
{
    return static_cast<int>(std::count_if(responses.begin(), responses.end(),
                                          [&](const auto& entry) { return entry.second.m_outcome == outcome; }));
}

} // namespace cicadalug::process_test
