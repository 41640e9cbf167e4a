#include "scenario.hpp"

#include <cicadalug/async/spawn.hpp>

#include <algorithm>

// The entry VMs are stopped and started in turn, 1.3 s apart, the decider first, during a wave of upkeep. One order for
// a machine gets no answer.

namespace {

using namespace cicadalug;
using namespace cicadalug::review;

constexpr milliseconds order_delay{8'000};
/** @brief All entry VMs are in touch by then. */
constexpr milliseconds until_wave{3'000};
constexpr milliseconds restart_gap{1'300};
constexpr milliseconds until_first_stop{50};
/** @brief lease_ms of the settings. */
constexpr std::int64_t handover_ms{3'000};
constexpr milliseconds limit{20'000};
constexpr milliseconds observed_time{5'000};

[[nodiscard]] auto wave_of(const int number, const char* machine) -> std::string
{
    return json{{"wave", number}, {"machines", {machine}}, {"duration_s", 20}, {"cap", 1}}.dump();
}

/** @brief Finds orders for one machine by two holders in touch within the handover time. */
[[nodiscard]] auto find_turn(const scenario& deployment, const std::vector<machine_order>& orders) -> std::string
{
    for (auto later = orders.begin(); later != orders.end(); ++later) {
        const auto found = std::find_if(orders.begin(), later, [&](const machine_order& order) {
            return order.m_machine == later->m_machine && order.m_holder != later->m_holder &&
                   later->m_at_ms - order.m_at_ms < handover_ms &&
                   deployment.is_in_touch(order.m_holder, order.m_at_ms) &&
                   deployment.is_in_touch(later->m_holder, later->m_at_ms);
        });
        if (found != later) {
            return "ONE: " + found->m_holder + " and " + later->m_holder + " order the upkeep of " + later->m_machine +
                   " within " + std::to_string(later->m_at_ms - found->m_at_ms) + " ms";
        }
    }
    return {};
}

[[nodiscard]] auto tell(scenario& deployment) -> asio::awaitable<verdict>
{
    auto& platform = deployment.platform();
    bool held{false};
    platform.m_plan_order = [&held](const machine_order& order) {
        const bool holds = !held && order.m_machine == "m-0";
        held = held || holds;
        return holds ? order_plan{order_action::hold, order_delay} : order_plan{};
    };
    co_await deployment.sleep(until_wave);
    platform.put("op/wave/1", wave_of(1, "m-0"));
    const bool ordered = co_await deployment.until([&] { return !platform.m_orders.empty(); }, limit);
    const auto first = deployment.decider();
    if (!ordered || first >= deployment.entry_count()) {
        co_return deployment.conclude(verdict::could_not_run, "no upkeep was ordered");
    }
    co_await deployment.sleep(until_first_stop);
    if (deployment.has_trouble()) {
        deployment.stop_and_start_again(first);
    }
    platform.put("op/wave/2", wave_of(2, "m-1"));
    co_await deployment.sleep(restart_gap);
    const auto second = deployment.decider();
    if (deployment.has_trouble() && second < deployment.entry_count() && second != first) {
        deployment.stop_and_start_again(second);
    }
    co_await deployment.sleep(observed_time);
    const auto turn = find_turn(deployment, platform.m_orders);
    co_return turn.empty() ? deployment.conclude(verdict::held, "no two holders took turns at a machine")
                           : deployment.conclude(verdict::broken, turn);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    scenario deployment{3, argc, argv};
    for (const auto* rack : {"r-1", "r-2", "r-3", "r-4"}) {
        deployment.platform().add_machine(rack, 2'000);
    }
    return deployment.run([&deployment] { return tell(deployment); });
}
