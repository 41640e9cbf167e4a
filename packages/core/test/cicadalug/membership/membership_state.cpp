#include <cicadalug/membership/membership_state.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace {

using namespace cicadalug;

const availability_zone_id zone_a{"a"};

[[nodiscard]] auto info(const std::string& id, const std::string& zone) -> entry_vm_info
{
    return {entry_vm_id{id}, availability_zone_id{zone}, {}, {}};
}

[[nodiscard]] auto make_table() -> membership_state
{
    return make_membership(entry_vm_id{"a1"}, incarnation{1},
                           {info("a1", "a"), info("a2", "a"), info("a3", "a"), info("b1", "b")});
}

[[nodiscard]] auto make_heartbeat(const std::string& id, const std::uint64_t incarnation_number,
                                  const std::uint64_t sequence) -> heartbeat
{
    heartbeat sent;
    sent.m_id = entry_vm_id{id};
    sent.m_availability_zone = availability_zone_id{id.substr(0, 1)};
    sent.m_incarnation = incarnation{incarnation_number};
    sent.m_sequence = sequence;
    return sent;
}

/**
 * @brief Reference model that keeps every delivered message and derives the expected state of one entry VM from all of
 * them.
 */
struct reference_member {
    std::vector<std::pair<heartbeat, time_point>> m_received;
    std::vector<bool> m_lists;

    [[nodiscard]] auto expected(const time_point now) const -> entry_vm_state
    {
        heartbeat newest;
        time_point received_at;
        std::size_t lists_before{0};
        for (const auto& [received, at] : m_received) {
            const auto is_newer = received.m_incarnation > newest.m_incarnation;
            if (is_newer ||
                (received.m_incarnation == newest.m_incarnation && received.m_sequence > newest.m_sequence)) {
                lists_before = is_newer ? static_cast<std::size_t>(received.m_control_epoch.value()) : lists_before;
                newest = received;
                received_at = at;
            }
        }
        const std::vector<bool> lists{m_lists.begin() + static_cast<std::ptrdiff_t>(lists_before), m_lists.end()};
        if (!lists.empty() && !lists.back() && std::find(lists.begin(), lists.end(), true) != lists.end()) {
            return entry_vm_state::gone;
        }
        if (newest.m_incarnation == incarnation{} || now - received_at >= milliseconds{3'000}) {
            return entry_vm_state::unreachable;
        }
        return now - received_at >= milliseconds{1'500} ? entry_vm_state::suspect : entry_vm_state::live;
    }
};

// Guards against a delayed or repeated heartbeat that keeps an unresponsive entry VM live, a timeout that sets the
// state gone, and an entry VM in state gone that keeps its slot shares.
RC_GTEST_PROP(membership_state, matches_a_reference_model_that_keeps_all_messages, ())
{
    auto state = make_table();
    reference_member reference;
    time_point now{seconds{100}};
    std::vector<heartbeat> sent;
    auto incarnation_number = std::uint64_t{1};
    const auto steps = *rc::gen::inRange(1, 100);
    for (int count = 0; count < steps; ++count) {
        now += milliseconds{*rc::gen::inRange(0, 900)};
        static_cast<void>(apply_timeouts(state, now));
        const auto action = *rc::gen::inRange(0, 6);
        if (action == 0) {
            ++incarnation_number;
        }
        else if (action == 1) {
            const auto listed = *rc::gen::arbitrary<bool>();
            reference.m_lists.push_back(listed);
            static_cast<void>(
                apply_vm_list(state, listed ? std::set<entry_vm_id>{entry_vm_id{"a2"}} : std::set<entry_vm_id>{}, now));
        }
        else if (action < 4) {
            sent.push_back(make_heartbeat("a2", incarnation_number, sent.size() + 1));
        }
        else if (!sent.empty()) {
            auto delivered = sent.at(*rc::gen::inRange<std::size_t>(0, sent.size()));
            static_cast<void>(apply_heartbeat(state, delivered, now));
            // The epoch is unused here, so it stores the number of lists before this delivery.
            delivered.m_control_epoch = epoch{reference.m_lists.size()};
            reference.m_received.emplace_back(delivered, now);
        }
        const auto& member = state.m_entry_vms.at(entry_vm_id{"a2"});
        RC_ASSERT(member.m_state == reference.expected(now));
        const auto view = reachable_entry_vms(state, zone_a);
        const auto in_view = std::find(view.begin(), view.end(), entry_vm_id{"a2"}) != view.end();
        RC_ASSERT(in_view == (member.m_state == entry_vm_state::live || member.m_state == entry_vm_state::suspect));
        RC_ASSERT(std::find(view.begin(), view.end(), entry_vm_id{"a1"}) != view.end());
    }
}

// Guards against waiting for the confirmation of an incarnation that was replaced by a newer one.
TEST(membership_state, newer_incarnation_ends_the_earlier_one)
{
    auto state = make_table();
    const time_point now{seconds{1}};
    static_cast<void>(apply_heartbeat(state, make_heartbeat("a2", 5, 9), now));
    const auto changes = apply_heartbeat(state, make_heartbeat("a2", 6, 1), now);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().m_ended_incarnation, incarnation{5});
    EXPECT_TRUE(apply_heartbeat(state, make_heartbeat("a2", 5, 10), now).empty());
}

// Guards against changing the table because of a datagram of another deployment.
TEST(membership_state, unknown_sender_and_wrong_zone_change_nothing)
{
    auto state = make_table();
    auto foreign = make_heartbeat("a2", 1, 1);
    foreign.m_availability_zone = availability_zone_id{"b"};
    EXPECT_TRUE(apply_heartbeat(state, foreign, time_point{seconds{1}}).empty());
    EXPECT_TRUE(apply_heartbeat(state, make_heartbeat("x9", 1, 1), time_point{seconds{1}}).empty());
    EXPECT_EQ(reachable_entry_vms(state, zone_a).size(), 1U);
}

// Guards against a process that resumes after a pause and uses all slots because it received no heartbeats meanwhile.
TEST(membership_state, own_pause_does_not_count_as_missing_heartbeats)
{
    auto state = make_table();
    static_cast<void>(apply_heartbeat(state, make_heartbeat("a2", 1, 1), time_point{seconds{10}}));
    apply_pause(state, milliseconds{20'000});
    static_cast<void>(apply_timeouts(state, time_point{milliseconds{30'100}}));
    EXPECT_EQ(reachable_entry_vms(state, zone_a).size(), 2U);
}

// Guards against treating an entry VM of another zone as unreachable between two of its heartbeats, which go to the
// receivers in round-robin order.
TEST(membership_state, timeouts_of_another_zone_allow_for_its_heartbeat_rotation)
{
    auto state = make_table();
    static_cast<void>(apply_heartbeat(state, make_heartbeat("b1", 1, 1), time_point{seconds{10}}));
    static_cast<void>(apply_timeouts(state, time_point{seconds{14}}));
    EXPECT_EQ(state.m_entry_vms.at(entry_vm_id{"b1"}).m_state, entry_vm_state::live);
    static_cast<void>(apply_timeouts(state, time_point{seconds{28}}));
    EXPECT_EQ(state.m_entry_vms.at(entry_vm_id{"b1"}).m_state, entry_vm_state::unreachable);
}

} // namespace
