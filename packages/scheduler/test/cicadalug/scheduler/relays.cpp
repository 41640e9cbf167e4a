#include <cicadalug/scheduler/relays.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cicadalug::test {

namespace {

constexpr time_point now{milliseconds{100'000}};

[[nodiscard]] auto make_relay(const std::string& name, const std::string& zone, const std::size_t in_flight = 0)
    -> relay_state
{
    relay_state relay;
    relay.m_entry_vm = entry_vm_id{name};
    relay.m_zone = availability_zone_id{zone};
    relay.m_last_contact = now;
    relay.m_in_flight = in_flight;
    return relay;
}

} // namespace

// Guards against a decider of 1,100 workers that sends all calls itself, and against relays where they gain nothing.
TEST(relays, are_needed_only_for_more_workers_than_the_decider_can_call)
{
    EXPECT_TRUE(needs_relays(1'100, 0.5));
    EXPECT_TRUE(needs_relays(100, 0.12));
    EXPECT_FALSE(needs_relays(49, 0.25));
}

// Guards against weak entry VMs, which serve clients, as relays of a strong decider, and against no relay at all where
// only weak ones are left.
TEST(relays, weak_entry_vms_are_relays_only_of_a_weak_decider)
{
    EXPECT_TRUE(may_be_relay(0.5, 0.5));
    EXPECT_FALSE(may_be_relay(0.12, 0.5));
    EXPECT_TRUE(may_be_relay(0.12, 0.12));
    EXPECT_FALSE(may_be_relay(0.12, std::nullopt));
}

// Guards against calls that are handed to a relay that is suspended, cut off or gone.
TEST(relays, a_silent_relay_gets_no_calls)
{
    auto silent = make_relay("a", "north");
    silent.m_last_contact = now - relay_silence_limit - milliseconds{1};
    EXPECT_FALSE(choose_relay({silent}, availability_zone_id{"north"}, now));
    const std::vector<relay_state> relays{silent, make_relay("b", "south", 50)};
    EXPECT_EQ(choose_relay(relays, availability_zone_id{"north"}, now), 1U);
}

// Guards against all calls of a zone on one relay, and against calls that cross zones without need.
TEST(relays, the_least_loaded_relay_of_the_workers_zone_is_chosen)
{
    const std::vector<relay_state> relays{make_relay("a", "south"), make_relay("b", "north", 9),
                                          make_relay("c", "north", 3), make_relay("d", "south")};
    EXPECT_EQ(choose_relay(relays, availability_zone_id{"north"}, now), 2U);
    EXPECT_EQ(choose_relay(relays, availability_zone_id{"south"}, now), 0U);
    EXPECT_TRUE(choose_relay(relays, availability_zone_id{"west"}, now));
}

// Guards against more polls than the decider can answer; a relay that is gone makes room for another one.
TEST(relays, a_zone_has_a_limited_number_of_relays)
{
    std::vector<relay_state> relays;
    for (std::size_t index = 0; index < relays_per_zone; ++index) {
        relays.push_back(make_relay(std::to_string(index), "north"));
    }
    EXPECT_TRUE(admits_relay(relays, entry_vm_id{"0"}, availability_zone_id{"north"}, now));
    EXPECT_FALSE(admits_relay(relays, entry_vm_id{"new"}, availability_zone_id{"north"}, now));
    EXPECT_TRUE(admits_relay(relays, entry_vm_id{"new"}, availability_zone_id{"south"}, now));
    relays.front().m_last_contact = now - milliseconds{5'000};
    EXPECT_TRUE(admits_relay(relays, entry_vm_id{"new"}, availability_zone_id{"north"}, now));
}

// Guards against starts that a partition or a suspended entry VM has held up for longer than their time.
TEST(relays, time_in_transit_counts_against_the_time_of_a_call)
{
    constexpr milliseconds timeout{800};
    const auto time_left = [timeout](const milliseconds round_trip, const milliseconds held) {
        const auto answered = now + round_trip;
        return earliest_handover(now, round_trip, held) + timeout - answered;
    };
    EXPECT_EQ(time_left(milliseconds{153}, milliseconds{150}), milliseconds{797});
    EXPECT_LE(time_left(milliseconds{5'000}, milliseconds{150}), milliseconds{0});
    EXPECT_EQ(time_left(milliseconds{100}, milliseconds{150}), timeout) << "clocks may differ in rate";
}

} // namespace cicadalug::test
