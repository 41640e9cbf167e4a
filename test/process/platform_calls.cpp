#include "deployment.hpp"

#include <gtest/gtest.h>

#include <iostream>
#include <thread>

namespace {

using namespace cicadalug;
using namespace cicadalug::process_test;

constexpr milliseconds measurement_time{8'000};
constexpr milliseconds settling_time{2'000};
/** @brief Calls per second allowed beyond the steady state, such as one more lease renewal in the measurement time. */
constexpr double tolerance{0.5};

struct load_figures {
    /** @brief Platform calls per second; each waiting watch counts as one. */
    double m_calls{0};
    /** @brief Datagram bytes per second that one entry VM sends and receives. */
    double m_sent_bytes{0};
    double m_received_bytes{0};
};

[[nodiscard]] auto datagram_bytes(const deployment& fleet, const std::string& name) -> double
{
    double sum{0};
    for (std::size_t index = 0; index < fleet.count(); ++index) {
        sum += call(http::verb::get, fleet.address(index), "/v1/status").m_body["datagrams"].value(name, 0.0);
    }
    return sum / static_cast<double>(fleet.count());
}

[[nodiscard]] auto measure(const deployment& fleet, const bool with_changes) -> load_figures
{
    const auto calls = fleet.control_platform()["calls"].get<double>();
    const auto sent = datagram_bytes(fleet, "sent_bytes");
    const auto received = datagram_bytes(fleet, "received_bytes");
    const auto start = std::chrono::steady_clock::now();
    for (int change = 0; std::chrono::steady_clock::now() < start + measurement_time; ++change) {
        if (with_changes) {
            const auto index = static_cast<std::size_t>(change) % fleet.count();
            EXPECT_EQ(fleet.put_room(index, "r" + std::to_string(change), 1'000, "*").m_status, 201U);
        }
        std::this_thread::sleep_until(start + (change + 1) * milliseconds{1'000});
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    const auto counts = fleet.control_platform();
    return {(counts["calls"].get<double>() - calls) / taken.count() + counts["waiting_watches"].get<double>(),
            (datagram_bytes(fleet, "sent_bytes") - sent) / taken.count(),
            (datagram_bytes(fleet, "received_bytes") - received) / taken.count()};
}

[[nodiscard]] auto measure_two_zones(const std::size_t size, const bool with_changes) -> load_figures
{
    deployment fleet{{size, size}};
    fleet.start_platform();
    fleet.start_all();
    EXPECT_TRUE(fleet.wait_ready());
    std::this_thread::sleep_for(settling_time);
    const auto figures = measure(fleet, with_changes);
    std::cout << "2 zones of " << size << " entry VMs, " << (with_changes ? "one change per second" : "idle") << ": "
              << figures.m_calls << " platform calls/s, datagram bytes/s of an entry VM: " << figures.m_sent_bytes
              << " sent, " << figures.m_received_bytes << " received\n";
    return figures;
}

// Guards against a rate of platform calls that grows with the number of entry VMs.
TEST(platform_calls, do_not_grow_with_entry_vms_when_idle)
{
    const auto small = measure_two_zones(2, false);
    const auto large = measure_two_zones(4, false);
    EXPECT_LE(large.m_calls, small.m_calls + tolerance);
}

// Guards against a change that makes each entry VM call the platform.
TEST(platform_calls, do_not_grow_with_entry_vms_when_resources_change)
{
    const auto small = measure_two_zones(2, true);
    const auto large = measure_two_zones(4, true);
    EXPECT_LE(large.m_calls, small.m_calls + tolerance);
}

} // namespace
