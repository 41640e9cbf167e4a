#include <cicadalug/model/fleet_view.hpp>
#include <cicadalug/order/claim.hpp>
#include <cicadalug/order/journal.hpp>

#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

// Prints the memory and CPU time that the state of an entry VM needs at several sizes, for docs/CAPACITY.md.

namespace {

using namespace cicadalug;
using stopwatch = std::chrono::steady_clock;

[[nodiscard]] auto heap_bytes() -> std::size_t
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

[[nodiscard]] auto elapsed_us(const stopwatch::time_point start) -> double
{
    return std::chrono::duration<double, std::micro>(stopwatch::now() - start).count();
}

[[nodiscard]] auto make_view(const int vms) -> fleet_view
{
    fleet_view view;
    for (int i = 0; i < vms; ++i) {
        vm_record record;
        const auto number = std::to_string(i);
        record.m_vm = vm_id{"worker-zone-11-" + number};
        record.m_availability_zone = availability_zone_id{"region-6-zone-11"};
        record.m_rack = rack_id{"region-6-zone-11-rack-" + std::to_string(i / 4)};
        record.m_room = room_id{"region-6-room-3"};
        record.m_address = "10.111.222.133:9000";
        record.m_pool = pool_id{"pool-" + std::to_string(i % 377)};
        view.m_vms.emplace(record.m_vm, std::move(record));
    }
    return view;
}

auto print_view_cost(const int vms) -> void
{
    constexpr int copies = 20;
    const auto before = heap_bytes();
    const auto view = std::make_unique<fleet_view>(make_view(vms));
    const auto bytes = heap_bytes() - before;
    const auto start = stopwatch::now();
    for (int i = 0; i < copies; ++i) {
        const auto copy = std::make_unique<fleet_view>(*view);
    }
    std::printf("view       vms=%-6d bytes=%-9zu bytes_per_vm=%-6.0f copy_us=%.0f\n", vms, bytes,
                static_cast<double>(bytes) / vms, elapsed_us(start) / copies);
}

auto print_journal_cost(const int orders) -> void
{
    constexpr std::size_t body_bytes = 512;
    journal_state state;
    state.m_availability_zone = availability_zone_id{"region-6-zone-11"};
    state.m_self = entry_vm_id{"entry-1"};
    state.m_incarnation = incarnation{1};
    state.m_limits.m_orders = static_cast<std::size_t>(orders);
    state.m_limits.m_response_bytes = static_cast<std::size_t>(orders) * body_bytes;
    const auto before = heap_bytes();
    const auto start = stopwatch::now();
    for (int i = 0; i < orders; ++i) {
        const auto tickets = issue(state, 1, time_point{});
        const auto& order = tickets.assume_value().front();
        (void)present_ticket(state, order, content_digest{1}, waiter_id{1}, time_point{});
        (void)finish(state, order_key_of(order), order_outcome::answered,
                     stored_response{200, "application/json", std::string(body_bytes, 'x')}, time_point{});
    }
    const auto per_order = elapsed_us(start) / orders;
    const auto bytes = heap_bytes() - before;
    std::printf("journal    orders=%-6d bytes=%-9zu bytes_per_order=%-6.0f us_per_order=%.2f body_bytes=%zu\n", orders,
                bytes, static_cast<double>(bytes) / orders, per_order, body_bytes);
}

auto print_claim_cost() -> void
{
    constexpr int claims = 10'000;
    std::size_t bytes{0};
    const auto start = stopwatch::now();
    for (int i = 0; i < claims; ++i) {
        const auto digest = digest_of(service_id{"orders"}, std::to_string(i));
        bytes = to_json_text({digest, availability_zone_id{"region-6-zone-11"}, entry_vm_id{"entry-1"}, incarnation{1},
                              write_id{"entry-1/1/1"}})
                    .size() +
                claim_store_key(digest).size();
    }
    std::printf("claims     stored_bytes=%zu us_per_claim=%.2f\n", bytes, elapsed_us(start) / claims);
}

} // namespace

auto main() -> int
{
    for (const auto vms : {50, 500, 1'250, 5'000, 15'000}) {
        print_view_cost(vms);
    }
    for (const auto orders : {1'000, 10'000, 20'000}) {
        print_journal_cost(orders);
    }
    print_claim_cost();
    return 0;
}
