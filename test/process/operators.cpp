#include "deployment.hpp"

#include <cicadalug/model/resource_kind.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

struct ctl_result {
    int m_code{0};
    /** @brief Standard output and standard error. */
    std::string m_text;
};

/** @brief One entry VM with its platform, and cicadalugctl as a process. */
class operators : public ::testing::Test {
protected:
    operators()
    {
        m_deployment.start_platform();
        m_deployment.start_all();
        m_ready = m_deployment.wait_ready();
    }

    [[nodiscard]] static auto write_file(const std::string& name, const std::string& text) -> std::string
    {
        auto path = ::testing::TempDir() + loopback_address() + '-' + name;
        std::ofstream{path} << text;
        return path;
    }

    /** @brief Starts cicadalugctl in a shell that redirects its output to a file. */
    [[nodiscard]] auto start_ctl(const std::string& arguments, const std::string& output) const -> child_process
    {
        return {"/bin/sh",
                {"-c", CICADALUG_CICADALUGCTL " --entry-vm " + m_deployment.address(0) + ' ' + arguments + " >" +
                           output + " 2>&1"}};
    }

    [[nodiscard]] static auto read_file(const std::string& path) -> std::string
    {
        std::ostringstream text;
        text << std::ifstream{path}.rdbuf();
        return text.str();
    }

    [[nodiscard]] auto ctl(const std::string& arguments) const -> ctl_result
    {
        const auto output = write_file("output", "");
        const auto code = start_ctl(arguments, output).wait();
        return {code, read_file(output)};
    }

    /**
     * @brief Returns all resources with their versions. The revision of the store is no substitute, since writes of the
     * control loop increase it too.
     */
    [[nodiscard]] auto all_resources() const -> nlohmann::json
    {
        auto all = nlohmann::json::object();
        for (const auto kind : resource_kind_names) {
            const auto path = "/v1/resources/" + std::string{kind};
            all[std::string{kind}] = call(http::verb::get, m_deployment.address(0), path).m_body.at("items");
        }
        return all;
    }

    deployment m_deployment{{1}};
    bool m_ready{false};
};

// Guards against success being reported to both of two operators whose changes conflict.
TEST_F(operators, one_of_two_racing_commands_wins)
{
    ASSERT_TRUE(m_ready);
    ASSERT_EQ(ctl("apply " + write_file("base.yaml", "{kind: team, name: desk, spec: {share: 0.5}}")).m_code, 0);
    for (int round = 0; round < 10; ++round) {
        const auto current = call(http::verb::get, m_deployment.address(0), "/v1/resources/team/desk").m_body;
        const auto base = current.value("version", std::uint64_t{0});
        const auto text = [&](const int share) {
            return "{kind: team, name: desk, version: " + std::to_string(base) + ", spec: {share: 0." +
                   std::to_string(share) + "}}";
        };
        const auto first_output = write_file("first", "");
        const auto second_output = write_file("second", "");
        auto first = start_ctl("apply " + write_file("a.yaml", text(10 + round)), first_output);
        auto second = start_ctl("apply " + write_file("b.yaml", text(30 + round)), second_output);
        const auto first_code = first.wait();
        const auto second_code = second.wait();
        EXPECT_EQ(first_code + second_code, 3) << read_file(first_output) << read_file(second_output);
        const auto now = call(http::verb::get, m_deployment.address(0), "/v1/resources/team/desk").m_body;
        EXPECT_EQ(now["spec"]["share"], first_code == 0 ? (10 + round) / 100.0 : (30 + round) / 100.0);
    }
    const auto stale = ctl("apply " + write_file("a.yaml", "{kind: team, name: desk, version: 1, spec: {share: 1}}"));
    EXPECT_EQ(stale.m_code, 3);
    EXPECT_NE(stale.m_text.find("lost race"), std::string::npos) << stale.m_text;
}

// Guards against a response that lists only the first error, and against a rejected input that is partly applied.
TEST_F(operators, each_error_is_listed_and_nothing_changes)
{
    ASSERT_TRUE(m_ready);
    const auto before = all_resources();
    const auto file =
        write_file("faults.yaml", "kind: service\nname: quotes\nspec:\n  pool: quotes\n  promised_vms: -1\n"
                                  "  retry_ratio: 2\n");
    const auto result = ctl("apply " + file);
    EXPECT_EQ(result.m_code, 2);
    EXPECT_EQ(result.m_text, file + ":5:17: spec.promised_vms: must be from 0 to 1000000\n" + file +
                                 ":6:16: spec.retry_ratio: must be from 0 to 1\n" + file +
                                 ":4:9: spec.pool: unknown pool 'quotes'\n3 findings; nothing was changed.\n");

    const auto direct =
        call(http::verb::put, m_deployment.address(0), "/v1/resources/service/quotes",
             {{"kind", "service"}, {"name", "quotes"}, {"spec", {{"pool", "q"}, {"promised", 1}}}}, "*");
    EXPECT_EQ(direct.m_status, 400U);
    EXPECT_EQ(direct.m_body["findings"].size(), 3U) << direct.m_body;

    const auto large =
        call(http::verb::put, m_deployment.address(0), "/v1/resources/pool/p", std::string(2'000'000, 'x'), "*");
    EXPECT_TRUE(large.m_status == 413U || large.m_status == 0U) << large.m_status;
    const auto large_file =
        write_file("large.yaml", "{kind: pool, name: p, spec: {spare: " + std::string(2'000'000, 'x') + "}}");
    EXPECT_EQ(ctl("apply " + large_file).m_code, 2);
    EXPECT_EQ(all_resources(), before);
}

// Guards against applying a request whose connection was closed before its body was complete.
TEST_F(operators, truncated_request_changes_nothing)
{
    ASSERT_TRUE(m_ready);
    const auto before = all_resources();
    findings errors;
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    socket.connect(parse_endpoint(m_deployment.address(0), "endpoint", errors));
    const std::string body{R"({"kind":"pool","name":"p","spec":{}})"};
    asio::write(socket,
                asio::buffer("PUT /v1/resources/pool/p HTTP/1.1\r\nHost: x\r\nIf-None-Match: *\r\nContent-Length: " +
                             std::to_string(body.size() + 1) + "\r\n\r\n" + body));
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    char byte{};
    boost::system::error_code ended;
    while (!ended) {
        socket.read_some(asio::buffer(&byte, 1), ended);
    }
    EXPECT_EQ(call(http::verb::get, m_deployment.address(0), "/v1/resources/pool/p").m_status, 404U);
    EXPECT_EQ(all_resources(), before);
}

// Guards against reporting success for a change that a platform outage prevented.
TEST_F(operators, platform_outage_is_reported)
{
    ASSERT_TRUE(m_ready);
    m_deployment.control_platform({{"outage", true}});
    const auto result = ctl("--timeout-ms 10000 apply " + write_file("pool.yaml", "{kind: pool, name: p, spec: {}}"));
    EXPECT_TRUE(result.m_code == 1 || result.m_code == 5) << result.m_text;
    EXPECT_EQ(ctl("list pool").m_code, 0);
    m_deployment.control_platform({{"outage", false}});
}

} // namespace
