#include "request_scene.hpp"

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
    findings found;
    return parse_endpoint(text, "endpoint", found);
}

} // namespace

request_scene::request_scene(const std::size_t entry_vms) : m_entry_vm_count{entry_vms}, m_host{loopback_address()} {}

request_scene::~request_scene()
{
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        std::remove(log_of(index).c_str());
    }
}

auto request_scene::address(const int first_port, const std::size_t index) const -> std::string
{
    return m_host + ':' + std::to_string(first_port + static_cast<int>(index));
}

auto request_scene::entry_vm_address(const std::size_t index) const -> std::string
{
    return address(first_entry_vm_port, index);
}

auto request_scene::log_of(const std::size_t upstream) const -> std::string
{
    return "executions-" + std::to_string(::getpid()) + '-' + std::to_string(upstream) + ".log";
}

auto request_scene::add_upstream(const arguments& more) -> void
{
    const auto index = m_upstreams.size();
    arguments all{"--listen",  address(first_upstream_port, index), "--execution-log", log_of(index),
                  "--control", address(first_control_port, index)};
    all.insert(all.end(), more.begin(), more.end());
    m_upstreams.emplace_back(CICADALUG_STANDIN_DIRECTORY "/upstream_standin", all);
    ASSERT_TRUE(wait_for_port(address(first_control_port, index)));
}

auto request_scene::add_entry_vm(const arguments& more) -> void
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
    all.insert(all.end(), more.begin(), more.end());
    m_entry_vms.emplace_back(CICADALUG_CICADALUGD, all);
    ASSERT_TRUE(wait_for_port(entry_vm_address(index)));
}

auto request_scene::send(const call& sent, const std::size_t entry_vm, const std::chrono::milliseconds timeout) const
    -> reply
{
    http_request request{http::verb::post, sent.m_target, 11};
    if (!sent.m_id.empty()) {
        request.set("X-Request-Id", sent.m_id);
    }
    for (const auto& [name, value] : sent.m_headers) {
        request.set(name, value);
    }
    request.body() = sent.m_body;
    const auto answer = http_fetch_blocking(endpoint_of(entry_vm_address(entry_vm)), std::move(request), timeout);
    if (!answer) {
        return {"closed", 0, {}, std::nullopt};
    }
    const auto& response = answer.assume_value();
    return {std::string{response["X-Outcome"]}, response.result_int(), response.body(), response};
}

auto request_scene::send_many(const int count, const int threads, const call& sample) const
    -> std::map<std::string, reply>
{
    std::map<std::string, reply> replies;
    std::mutex mutex;
    std::atomic<int> next{0};
    const auto work = [&] {
        for (auto number = next++; number < count; number = next++) {
            auto sent = sample;
            sent.m_id = 'r' + std::to_string(number);
            sent.m_body = "body of " + sent.m_id;
            auto answer = send(sent);
            const std::lock_guard lock{mutex};
            replies[sent.m_id] = std::move(answer);
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
    return replies;
}

auto request_scene::take_ticket(const std::size_t entry_vm) const -> std::string
{
    const auto answer = send({{}, R"({"count": 2})", {}, "/v1/tickets"}, entry_vm);
    const auto body = nlohmann::json::parse(answer.m_body, nullptr, false);
    return body.is_object() ? body.value("/tickets/0"_json_pointer, std::string{}) : std::string{};
}

auto request_scene::control(const nlohmann::json& changes, const std::size_t upstream) const -> nlohmann::json
{
    http_request request{http::verb::post, "/", 11};
    request.body() = changes.dump();
    const auto answer = http_fetch_blocking(endpoint_of(address(first_control_port, upstream)), std::move(request),
                                            std::chrono::milliseconds{2'000});
    return answer ? nlohmann::json::parse(answer.assume_value().body(), nullptr, false) : nlohmann::json{};
}

auto request_scene::executions() const -> std::map<std::string, int>
{
    std::map<std::string, int> counts;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        std::ifstream log{log_of(index)};
        for (std::string id; std::getline(log, id);) {
            ++counts[id];
        }
    }
    return counts;
}

auto request_scene::wait_for_executions(const std::size_t count) const -> bool
{
    constexpr std::chrono::milliseconds interval{5};
    for (int attempt = 0; attempt < 1'000 && executions().size() < count; ++attempt) {
        std::this_thread::sleep_for(interval);
    }
    return executions().size() >= count;
}

auto expect_truthful(const std::map<std::string, reply>& replies, const std::map<std::string, int>& executions) -> void
{
    for (const auto& [id, answer] : replies) {
        const auto found = executions.find(id);
        const auto runs = found == executions.end() ? 0 : found->second;
        EXPECT_LE(runs, 1) << id;
        if (answer.m_outcome == "not-run") {
            EXPECT_EQ(runs, 0) << id << ' ' << answer.m_body;
        }
        else if (answer.m_outcome == "answered" && answer.m_status == 200) {
            EXPECT_EQ(runs, 1) << id;
            std::string expected{"done "};
            expected.append(id).append(" body of ").append(id);
            EXPECT_EQ(answer.m_body, expected);
        }
    }
}

auto count_outcome(const std::map<std::string, reply>& replies, const std::string& outcome) -> int
{
    return static_cast<int>(std::count_if(replies.begin(), replies.end(),
                                          [&](const auto& entry) { return entry.second.m_outcome == outcome; }));
}

} // namespace cicadalug::process_test
