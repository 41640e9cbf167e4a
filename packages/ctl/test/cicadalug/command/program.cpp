#include <cicadalug/command/program.hpp>
#include <cicadalug/http/http_server.hpp>
#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/model/resource.hpp>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <map>
#include <sstream>
#include <thread>

namespace {

using namespace cicadalug;
using nlohmann::json;

/** @brief In-memory operators' API that runs on its own thread; writes are compare-and-swap by version. */
class fake_api {
public:
    ~fake_api()
    {
        m_context.stop();
        m_thread.join();
    }

    [[nodiscard]] auto address() const -> std::string
    {
        std::ostringstream text;
        text << m_server.endpoint();
        return text.str();
    }

    std::map<std::string, json> m_items;
    std::uint64_t m_version{0};
    int m_writes{0};
    /** @brief True to raise the stored version just before the next write, as a concurrent operator's write would. */
    bool m_concurrent_write{false};

private:
    [[nodiscard]] auto handle(const http_request& request) -> http_response
    {
        const std::string path{request.target()};
        if (request.method() == http::verb::get) {
            return read(path);
        }
        auto& item = m_items[path];
        if (std::exchange(m_concurrent_write, false)) {
            item["version"] = ++m_version;
        }
        const auto current = item.is_null() ? 0 : item["version"].get<std::uint64_t>();
        const auto expected = request.count(http::field::if_none_match) != 0
                                  ? std::string{"\"0\""}
                                  : std::string{request[http::field::if_match]};
        if (expected != '"' + std::to_string(current) + '"') {
            return json_response(http::status::conflict, {{"version", current}, {"findings", json::array()}});
        }
        ++m_writes;
        item = json::parse(request.body());
        item["version"] = ++m_version;
        return json_response(http::status::ok, item);
    }

    [[nodiscard]] auto read(const std::string& path) const -> http_response
    {
        if (const auto position = m_items.find(path); position != m_items.end()) {
            return json_response(http::status::ok, position->second);
        }
        if (std::count(path.begin(), path.end(), '/') > 3) {
            return findings_response(http::status::not_found, findings{"name", "no such resource"});
        }
        auto items = json::array();
        for (const auto& [key, item] : m_items) {
            if (key.rfind(path + '/', 0) == 0) {
                items.push_back(item);
            }
        }
        return json_response(http::status::ok, {{"items", items}});
    }

    asio::io_context m_context{1};
    http_server m_server{m_context, {asio::ip::address_v4::loopback(), 0}, {}, [this](http_exchange& exchange) {
                             return exchange.respond(handle(exchange.request()));
                         }};
    std::thread m_thread{[this] {
        m_context.run();
    }};
};

struct program_result {
    int m_code{0};
    std::string m_out;
    std::string m_error;
};

/** @brief Returns a file name that is unique to this process, as the tests run concurrently in separate processes. */
[[nodiscard]] auto document_file() -> std::string
{
    return ::testing::TempDir() + "cicadalugctl-test-" + std::to_string(::getpid()) + ".yaml";
}

class program : public ::testing::Test {
protected:
    [[nodiscard]] auto run(std::vector<std::string> arguments) const -> program_result
    {
        arguments.insert(arguments.begin(), {"--entry-vm", m_api.address()});
        std::ostringstream out;
        std::ostringstream error;
        const auto code = run_program(arguments, out, error);
        return {code, out.str(), error.str()};
    }

    [[nodiscard]] auto apply_text(const std::string& text, const std::vector<std::string>& options = {}) const
        -> program_result
    {
        const auto file = document_file();
        std::ofstream{file} << text;
        std::vector<std::string> arguments{"apply", file};
        arguments.insert(arguments.end(), options.begin(), options.end());
        return run(arguments);
    }

    fake_api m_api;
};

const std::string pool_and_service{"kind: service\nname: quotes\nspec: {pool: quotes, promised_vms: 4}\n---\n"
                                   "kind: pool\nname: quotes\nspec: {}\n"};

// Guards against writes of unchanged resources or in a dry run, and against wrong differences in the output.
TEST_F(program, apply_writes_and_prints_only_differences)
{
    const auto dry_run = apply_text(pool_and_service, {"--dry-run"});
    EXPECT_EQ(dry_run.m_code, 0);
    EXPECT_EQ(m_api.m_writes, 0);
    EXPECT_NE(dry_run.m_out.find("service/quotes would be created\n"), std::string::npos) << dry_run.m_out;

    EXPECT_EQ(apply_text(pool_and_service).m_code, 0);
    EXPECT_EQ(m_api.m_writes, 2);
    auto changed = pool_and_service;
    changed.replace(changed.find(": 4"), 3, ": 5");
    const auto second = apply_text(changed);
    EXPECT_EQ(second.m_out, "service/quotes changed, version 3\n  - promised_vms: 4\n  + promised_vms: 5\n"
                            "1 of 2 resources unchanged\n");
}

// Guards against a write that overwrites the concurrent change of another operator.
TEST_F(program, version_conflict_changes_nothing)
{
    ASSERT_EQ(apply_text(pool_and_service).m_code, 0);
    m_api.m_concurrent_write = true;
    const auto conflict = apply_text("kind: pool\nname: quotes\nspec: {spare: true}\n");
    EXPECT_EQ(conflict.m_code, 3);
    EXPECT_EQ(conflict.m_error,
              "pool/quotes: lost race: another write came first; the version in force is 3. Nothing was "
              "changed; read it again and repeat the change.\n"
              "0 of 1 resources were written before.\n");
    EXPECT_EQ(apply_text("kind: pool\nname: quotes\nversion: 1\nspec: {spare: true}\n").m_code, 3);
    EXPECT_EQ(m_api.m_writes, 2);
    m_api.m_concurrent_write = true;
    EXPECT_EQ(apply_text("kind: pool\nname: quotes\nspec: {spare: true}\n", {"--force"}).m_code, 0);
}

// Guards against an error that is found only after other resources were written.
TEST_F(program, all_errors_are_listed_and_nothing_is_written)
{
    const auto result = apply_text("kind: pool\nname: quotes\nspec: {}\n---\n"
                                   "kind: service\nname: quotes\nspec:\n  pool: qotes\n  promissed_vms: 4\n");
    EXPECT_EQ(result.m_code, 2);
    const auto file = document_file();
    EXPECT_EQ(result.m_error,
              file + ":8:3: spec.promised_vms: is missing\n" + file +
                  ":9:18: spec.promissed_vms: unknown member 'promissed_vms'; did you mean 'promised_vms'?\n" + file +
                  ":8:9: spec.pool: unknown pool 'qotes'; did you mean 'quotes'?\n"
                  "3 findings; nothing was changed.\n");
    EXPECT_EQ(m_api.m_writes, 0);
}

// Guards against maintenance commands that write the wrong resource or overwrite an existing wave.
TEST_F(program, drain_and_wave_write_their_resource)
{
    EXPECT_EQ(run({"drain", "c1-04"}).m_out, "vm/c1-04 created, version 1\n");
    EXPECT_EQ(run({"drain", "c1-04"}).m_out, "vm/c1-04 unchanged, version 1\n");
    EXPECT_EQ(run({"undrain", "c1-04"}).m_out, "vm/c1-04 changed, version 2\n");
    EXPECT_EQ(run({"wave", "start", "spring", "--pool", "quotes"}).m_code, 0);
    EXPECT_EQ(run({"wave", "start", "spring", "--pool", "quotes"}).m_code, 3);
    EXPECT_EQ(run({"wave", "pause", "spring"}).m_code, 0);
    EXPECT_EQ(m_api.m_items["/v1/resources/wave/spring"]["spec"]["paused"], true);
    EXPECT_EQ(run({"wave", "resume", "autumn"}).m_code, 4);
}

// Guards against a response of another program version that terminates the process.
TEST_F(program, malformed_response_is_an_error)
{
    m_api.m_items["/v1/resources/pool/odd"] = {{"name", 5}, {"spec", "text"}, {"version", "x"}};
    EXPECT_EQ(run({"list", "pool"}).m_code, 1);
    EXPECT_EQ(run({"delete", "pool", "odd"}).m_code, 1);
}

// Guards against exit codes that change; scripts rely on them.
TEST_F(program, exit_codes)
{
    EXPECT_EQ(run({"get", "pool", "none"}).m_code, 4);
    EXPECT_EQ(run({"list", "pol"}).m_code, 2);
    EXPECT_EQ(run({"list", "pool", "--output", "xml"}).m_code, 2);
    EXPECT_EQ(run({"--help"}).m_code, 0);
    std::ostringstream ignored;
    EXPECT_EQ(run_program({"--entry-vm", "127.0.0.1:1", "status"}, ignored, ignored), 1);
    EXPECT_EQ(run_program({"--entry-vm", "127.0.0.1:1," + m_api.address(), "status"}, ignored, ignored), 0);
    EXPECT_EQ(run({"list", "pool", "--output", "json"}).m_out, "[]\n");
}

} // namespace
