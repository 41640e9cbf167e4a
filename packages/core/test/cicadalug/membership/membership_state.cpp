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

[[nodiscard]] auto three_in_a() -> membership_state
{
    return make_membership(entry_vm_id{"a1"}, incarnation{1},
                           {info("a1", "a"), info("a2", "a"), info("a3", "a"), info("b1", "b")});
}

[[nodiscard]] auto beat(const std::string& id, const std::uint64_t started, const std::uint64_t sequence) -> heartbeat
{
    heartbeat sent;
    sent.m_id = entry_vm_id{id};
    sent.m_availability_zone = availability_zone_id{id.substr(0, 1)};
    sent.m_incarnation = incarnation{started};
    sent.m_sequence = sequence;
    return sent;
}

/** @brief What an observer who keeps every delivered message would conclude about one entry VM. */
struct naive_member {
    std::vector<std::pair<heartbeat, time_point>> m_received;
    std::vector<bool> m_lists;

    [[nodiscard]] auto expected(const time_point now) const -> entry_vm_state
    {
        heartbeat newest;
        time_point heard;
        std::size_t lists_before{0};
        for (const auto& [received, at] : m_received) {
            const auto is_newer = received.m_incarnation > newest.m_incarnation;
            if (is_newer ||
                (received.m_incarnation == newest.m_incarnation && received.m_sequence > newest.m_sequence)) {
                lists_before = is_newer ? static_cast<std::size_t>(received.m_control_epoch.value()) : lists_before;
                newest = received;
                heard = at;
            }
        }
        const std::vector<bool> lists{m_lists.begin() + static_cast<std::ptrdiff_t>(lists_before), m_lists.end()};
        if (!lists.empty() && !lists.back() && std::find(lists.begin(), lists.end(), true) != lists.end()) {
            return entry_vm_state::gone;
        }
        if (newest.m_incarnation == incarnation{} || now - heard >= milliseconds{3'000}) {
            return entry_vm_state::unreachable;
        }
        return now - heard >= milliseconds{1'500} ? entry_vm_state::suspect : entry_vm_state::live;
    }
};

// Guards against a delayed or repeated heartbeat that keeps a silent entry VM live, a timeout that makes one gone, and
// a gone one that keeps its slot shares.
RC_GTEST_PROP(membership_state, agrees_with_an_observer_who_keeps_everything, ())
{
    auto state = three_in_a();
    naive_member naive;
    time_point now{seconds{100}};
    std::vector<heartbeat> sent;
    auto started = std::uint64_t{1};
    const auto steps = *rc::gen::inRange(1, 100);
    for (int count = 0; count < steps; ++count) {
        now += milliseconds{*rc::gen::inRange(0, 900)};
        static_cast<void>(apply_timeouts(state, now));
        const auto action = *rc::gen::inRange(0, 6);
        if (action == 0) {
            ++started;
        }
        else if (action == 1) {
            const auto listed = *rc::gen::arbitrary<bool>();
            naive.m_lists.push_back(listed);
            static_cast<void>(
                apply_vm_list(state, listed ? std::set<entry_vm_id>{entry_vm_id{"a2"}} : std::set<entry_vm_id>{}, now));
        }
        else if (action < 4) {
            sent.push_back(beat("a2", started, sent.size() + 1));
        }
        else if (!sent.empty()) {
            auto delivered = sent.at(*rc::gen::inRange<std::size_t>(0, sent.size()));
            static_cast<void>(apply_heartbeat(state, delivered, now));
            // The epoch is free to note how many lists came before this delivery.
            delivered.m_control_epoch = epoch{naive.m_lists.size()};
            naive.m_received.emplace_back(delivered, now);
        }
        const auto& member = state.m_entry_vms.at(entry_vm_id{"a2"});
        RC_ASSERT(member.m_state == naive.expected(now));
        const auto view = reachable_entry_vms(state, zone_a);
        const auto in_view = std::find(view.begin(), view.end(), entry_vm_id{"a2"}) != view.end();
        RC_ASSERT(in_view == (member.m_state == entry_vm_state::live || member.m_state == entry_vm_state::suspect));
        RC_ASSERT(std::find(view.begin(), view.end(), entry_vm_id{"a1"}) != view.end());
    }
}

// Guards against waiting for the confirmation of an incarnation that was replaced.
TEST(membership_state, newer_incarnation_makes_the_earlier_one_gone)
{
    auto state = three_in_a();
    const time_point now{seconds{1}};
    static_cast<void>(apply_heartbeat(state, beat("a2", 5, 9), now));
    const auto changes = apply_heartbeat(state, beat("a2", 6, 1), now);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().m_ended_incarnation, incarnation{5});
    EXPECT_TRUE(apply_heartbeat(state, beat("a2", 5, 10), now).empty());
}

// Guards against a datagram of another deployment that changes the table.
TEST(membership_state, unknown_sender_and_wrong_zone_change_nothing)
{
    auto state = three_in_a();
    auto foreign = beat("a2", 1, 1);
    foreign.m_availability_zone = availability_zone_id{"b"};
    EXPECT_TRUE(apply_heartbeat(state, foreign, time_point{seconds{1}}).empty());
    EXPECT_TRUE(apply_heartbeat(state, beat("x9", 1, 1), time_point{seconds{1}}).empty());
    EXPECT_EQ(reachable_entry_vms(state, zone_a).size(), 1U);
}

// Guards against a process that wakes from a pause and takes all slots because it heard no one meanwhile.
TEST(membership_state, own_pause_does_not_count_as_silence_of_the_others)
{
    auto state = three_in_a();
    static_cast<void>(apply_heartbeat(state, beat("a2", 1, 1), time_point{seconds{10}}));
    apply_pause(state, milliseconds{20'000});
    static_cast<void>(apply_timeouts(state, time_point{milliseconds{30'100}}));
    EXPECT_EQ(reachable_entry_vms(state, zone_a).size(), 2U);
}

// Guards against calling an entry VM of another zone unreachable between two of its heartbeats, which take turns.
TEST(membership_state, silence_of_another_zone_is_measured_by_its_turns)
{
    auto state = three_in_a();
    static_cast<void>(apply_heartbeat(state, beat("b1", 1, 1), time_point{seconds{10}}));
    static_cast<void>(apply_timeouts(state, time_point{seconds{14}}));
    EXPECT_EQ(state.m_entry_vms.at(entry_vm_id{"b1"}).m_state, entry_vm_state::live);
    static_cast<void>(apply_timeouts(state, time_point{seconds{28}}));
    EXPECT_EQ(state.m_entry_vms.at(entry_vm_id{"b1"}).m_state, entry_vm_state::unreachable);
}

} // namespace
