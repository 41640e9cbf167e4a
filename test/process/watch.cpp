#include "deployment.hpp"

#include <cicadalug/http/line_stream.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <iostream>
#include <set>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;
using nlohmann::json;

constexpr auto last_name{"last"};
/** @brief Number of lines without a change, one per second, after which the test stops reading a watch. */
constexpr int idle_limit{8};

/** @brief Reads lines of GET /v1/watch up to the room `last`. @return Versions of all resources received. */
[[nodiscard]] auto watch_to_last(const std::string& endpoint, const std::uint64_t after) -> std::set<std::uint64_t>
{
    std::set<std::uint64_t> versions;
    asio::io_context context;
    const auto target = "/v1/watch?after=" + std::to_string(after);
    const auto read = [&]() -> asio::awaitable<void> {
        findings errors;
        http_request request{http::verb::get, beast::string_view{target.data(), target.size()}, 11};
        auto opened = co_await line_stream::open(context.get_executor(), parse_endpoint(endpoint, "e", errors),
                                                 std::move(request), milliseconds{2'000});
        if (!opened) {
            co_return;
        }
        const auto stream = std::move(opened).assume_value();
        auto found_last = false;
        for (int idle = 0; !found_last && idle < idle_limit;) {
            const auto line = co_await stream->next_line(milliseconds{5'000});
            if (!line) {
                co_return;
            }
            const auto body = json::parse(line.assume_value(), nullptr, false);
            if (body.contains("kind")) {
                versions.insert(body.value("version", std::uint64_t{0}));
                found_last = body.value("name", "") == last_name;
            }
            else {
                ++idle;
            }
        }
    };
    asio::co_spawn(context, read(), asio::detached);
    context.run();
    return versions;
}

// Guards against a watch that misses a change written through another entry VM, in this or another zone, or that does
// not deliver the changes made before it was opened.
TEST(watch, delivers_all_changes_after_a_version)
{
    deployment fleet{{2, 1}};
    fleet.start_platform();
    fleet.start_all();
    ASSERT_TRUE(fleet.wait_ready());
    constexpr int changes{20};
    std::vector<std::uint64_t> versions;
    for (int change = 0; change < changes / 2; ++change) {
        const auto written = fleet.put_room(0, "r" + std::to_string(change), 1'000, "*");
        ASSERT_EQ(written.m_status, 201U);
        versions.push_back(written.m_body["version"]);
    }
    ASSERT_TRUE(fleet.wait_for_room("r9", versions.back(), milliseconds{3'000}));
    auto watched = std::async(std::launch::async, [&] { return watch_to_last(fleet.address(1), versions.front()); });
    for (int change = changes / 2; change < changes; ++change) {
        const auto index = static_cast<std::size_t>(change) % fleet.count();
        const auto name = change + 1 == changes ? last_name : "r" + std::to_string(change);
        const auto written = fleet.put_room(index, name, 1'000, "*");
        ASSERT_EQ(written.m_status, 201U);
        versions.push_back(written.m_body["version"]);
        ASSERT_TRUE(fleet.wait_for_room(name, versions.back(), milliseconds{3'000}));
    }
    const auto received = watched.get();
    EXPECT_EQ(received, (std::set<std::uint64_t>{versions.begin() + 1, versions.end()}));
}

// Guards against a planned stop of the control holder that leaves its zone without a holder until the lease expires,
// and against a stop that hangs because of an open watch.
TEST(shutdown, control_holder_releases_its_lease)
{
    deployment fleet{{2}};
    fleet.start_platform();
    fleet.start_all();
    ASSERT_TRUE(fleet.wait_ready());
    const auto control_holder = fleet.index_of(fleet.control_holder(0, "a"));
    const auto other = 1 - control_holder;
    auto watcher = std::async(std::launch::async, [&] { return watch_to_last(fleet.address(control_holder), 0); });
    std::this_thread::sleep_for(milliseconds{300});
    fleet.process(control_holder).signal(SIGTERM);
    const auto taken =
        wait_until([&] { return fleet.control_holder(other, "a") == fleet.id(other); }, milliseconds{8'000});
    ASSERT_TRUE(taken);
    std::cout << "control taken over " << taken->count() << " ms after SIGTERM\n";
    EXPECT_EQ(fleet.process(control_holder).wait(), 0);
    watcher.wait();
}

} // namespace
